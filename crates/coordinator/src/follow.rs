//! Following what operators write: the configuration and the maintenance waves.

use std::sync::Arc;
use std::time::Duration;

use scheduler::Moment;

use crate::clock;
use crate::ports::Changes;
use crate::ports::Operated as Entry;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::RowVersion;
use crate::shared::Operated;
use crate::shared::Shared;

/// Longest wait of a call for changes; bounds the age of the configuration at rest.
const CHANGES_WAIT: Duration = Duration::from_millis(1_000);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the changes for as long as the process runs.
pub(crate) async fn run<P: Platform>(shared: Arc<Shared<P>>) {
    let mut version: Option<RowVersion> = None;
    let mut is_connected = true;
    loop {
        let sent_at = clock::now();
        match shared.platform.operated(version, CHANGES_WAIT).await {
            Ok(changes) => {
                if !std::mem::replace(&mut is_connected, true) {
                    telemetry::log::line("operators-regained").write();
                }
                version = Some(changes.version);
                apply(&shared, changes, sent_at);
            }
            Err(ReadError::HistoryGone) => version = None,
            Err(error) => {
                if std::mem::replace(&mut is_connected, false) {
                    telemetry::log::line("operators-lost").text("why", error).write();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply<P: Platform>(shared: &Shared<P>, changes: Changes<Entry>, sent_at: Moment) {
    shared.operated.send_modify(|operated| {
        operated.confirmed_at = sent_at;
        if changes.is_whole {
            operated.waves = Default::default();
        }
        for entry in changes.changed {
            apply_entry(operated, entry);
        }
    });
}

fn apply_entry(operated: &mut Operated, entry: Entry) {
    match entry {
        Entry::Wave(wave) => {
            operated.waves.insert(wave.id, wave);
        }
        Entry::Config(config) => {
            let version_before = operated.config.as_ref().map_or(0, |config| config.version);
            if config.version <= version_before {
                return;
            }
            telemetry::log::line("config-in-force")
                .field("version", config.version)
                .field("version_before", version_before)
                .write();
            operated.config = Some(config);
        }
    }
}
