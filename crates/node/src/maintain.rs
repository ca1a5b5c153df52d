//! Carries hosts through their life cycle: gathers evidence, decides, and commits the steps.
//!
//! Every node runs this task. A step is a change of the configuration, so that of two nodes that
//! take the same step one loses, and a node that dies in the middle leaves everything that another
//! needs in the host's row.

mod evidence;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::SystemTime;

use control::ChangeError;
use events::EventKind;
use gateway::Authority;
use maintenance::Moment;
use maintenance::Step;
use model::Config;
use model::ConfigVersion;
use rand::RngExt;

use crate::follower::poll_once;
use crate::shared::Shared;

pub use evidence::absent_hosts;

/// Tries of a change that loses against others.
const CHANGE_TRIES: usize = 5;

/// Runs for as long as the node does.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let wait = shared.settings.poll_interval.mul_f64(rand::rng().random_range(0.75..1.25));
        tokio::time::sleep(wait).await;
        tick(&shared).await;
    }
}

/// Takes every step that there is evidence for.
async fn tick(shared: &Shared) {
    let config = shared.config();
    let evidence = evidence::gather(shared, &config).await;
    let decide = |config: &Config| {
        let step = maintenance::advance_all(config, &evidence, |_| true, moment(config));
        if step.is_empty() {
            let reason = "another node was faster".to_owned();
            return Err(ChangeError::Invalid { reason });
        }
        Ok(step)
    };
    if decide(&config).is_err() {
        return;
    }
    match change(shared, decide).await {
        Ok(_) | Err(ChangeError::Invalid { .. }) => {}
        Err(ChangeError::Conflict) => shared.telemetry.count("maintenance.conflict"),
        Err(_) => shared.telemetry.count("maintenance.step-failed"),
    }
}

/// Version and time of a change that follows `config`.
pub fn moment(config: &Config) -> Moment {
    Moment { version: config.version + 1, now: SystemTime::now() }
}

/// Commits the step that `decide` makes of the latest configuration; decides anew after a conflict,
/// so that checks always hold for the configuration that the change follows.
pub async fn change(
    shared: &Shared,
    decide: impl Fn(&Config) -> Result<Step, ChangeError>,
) -> Result<ConfigVersion, ChangeError> {
    let table = &*shared.platform.table;
    let mut tried = 0;
    loop {
        tried += 1;
        let decided = Mutex::new(Step::default());
        let decide_rows = |config: &Config| {
            let step = decide(config)?;
            let rows = step.rows();
            *decided.lock().expect("no holder panics") = step;
            Ok(rows)
        };
        match shared.writer.change(table, None, decide_rows).await {
            Ok(version) => {
                record(shared, &decided.into_inner().expect("no holder panics"));
                poll_once(shared).await;
                return Ok(version);
            }
            Err(ChangeError::Conflict) if tried < CHANGE_TRIES => {
                poll_once(shared).await;
            }
            Err(error) => return Err(error),
        }
    }
}

fn record(shared: &Shared, step: &Step) {
    for host in &step.hosts {
        shared.telemetry.count(&format!("host.{}", host.state));
        let kind = EventKind::HostStep {
            host: host.id().clone(),
            state: host.state,
            pool: host.spec.pool.clone(),
        };
        shared.events.record(kind, SystemTime::now());
    }
    for wave in &step.waves {
        let reason = format!("round {}", wave.round);
        let kind =
            EventKind::WaveStep { wave: wave.id.clone(), state: wave.state.to_string(), reason };
        shared.events.record(kind, SystemTime::now());
    }
}
