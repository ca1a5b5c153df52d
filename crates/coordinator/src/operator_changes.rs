//! Follows the configuration and the maintenance waves that operators write.

use std::sync::Arc;
use std::time::Duration;

use scheduler::Moment;
use scheduler::SortedMap;

use crate::clock;
use crate::ports::Changes;
use crate::ports::OperatorChange;
use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::RowVersion;
use crate::shared::NodeState;

/// Longest wait of a call for changes. While nothing changes, it bounds the age of the
/// configuration.
const CHANGES_WAIT: Duration = Duration::from_millis(1_000);
/// Time by which the reply of a call may exceed its wait before it counts as late.
const LATE_MAX: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Applies the operators' changes for as long as the process runs.
pub(crate) async fn run<P: Platform>(node: Arc<NodeState<P>>) {
    let mut version: Option<RowVersion> = None;
    let mut is_connected = true;
    let mut wait = CHANGES_WAIT;
    loop {
        let sent_at = clock::now();
        let read = node.platform.operator_changes(version, wait).await;
        wait = next_wait(read.is_ok(), clock::now().saturating_sub(sent_at));
        match read {
            Ok(changes) => {
                node.record_store_reply(true);
                if !std::mem::replace(&mut is_connected, true) {
                    telemetry::log::line("operators-regained").write();
                }
                version = Some(changes.version);
                apply(&node, changes, sent_at);
            }
            Err(ReadError::HistoryGone) => {
                version = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(error) => {
                node.record_store_reply(false);
                if std::mem::replace(&mut is_connected, false) {
                    telemetry::log::line("operators-lost").text("why", error).write();
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns how long the next call may wait for changes. After one that has failed or took long, as
/// in a suspended process, the last confirmed read is old already, and the next one is to reply at
/// once.
fn next_wait(has_succeeded: bool, took: Duration) -> Duration {
    match has_succeeded && took <= CHANGES_WAIT + LATE_MAX {
        true => CHANGES_WAIT,
        false => Duration::ZERO,
    }
}

fn apply<P: Platform>(node: &NodeState<P>, changes: Changes<OperatorChange>, sent_at: Moment) {
    let mut config = None;
    let mut waves = Vec::new();
    let mut evacuations = Vec::new();
    for change in changes.changed {
        match change {
            OperatorChange::Wave(wave) => waves.push(wave),
            OperatorChange::Config(found) => config = Some(found),
            OperatorChange::Evacuation(change) => evacuations.push(change),
        }
    }
    if changes.is_snapshot || !waves.is_empty() {
        node.operator_state.send_modify(|operator_state| {
            if changes.is_snapshot {
                operator_state.waves = SortedMap::default();
            }
            for wave in waves {
                operator_state.waves.insert(wave.id, wave);
            }
        });
    }
    node.record_evacuations(&evacuations, changes.is_snapshot, sent_at);
    // Changes without a newer configuration confirm that the known one is the newest.
    let known = node.operator_state.borrow().config.as_ref().map_or(0, |config| config.version);
    let version = config.as_ref().map_or(known, |config| config.version);
    node.set_config(config, version, sent_at);
}
