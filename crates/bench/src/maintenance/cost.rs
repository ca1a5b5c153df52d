//! Processor time of one planning step.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use maintenance::Evidence;
use maintenance::HostList;
use maintenance::Moment;
use maintenance::RowChanges;
use maintenance::advance_all;
use maintenance::wave;
use model::Config;
use model::ConfigRow;
use model::HostState;
use model::contract::Profile;
use services::FleetHost;
use services::FleetHostState;

use super::fleet::Shape;
use super::fleet::after;
use super::fleet::config;

/// Repeats of each step; the least time counts, the others were disturbed.
const REPEATS: usize = 15;

/// Time of the most expensive planning step at a size.
#[derive(Clone, Copy, Debug)]
pub struct StepCost {
    /// Hosts of the fleet.
    pub hosts: usize,
    /// The step in which every wave starts its first host.
    pub start: Duration,
    /// A step in which no wave may start anything, because every budget is used up.
    pub blocked: Duration,
    /// A step without waves.
    pub idle: Duration,
}

/// Measures the steps of a fleet.
pub fn measure(shape: Shape) -> StepCost {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let quiet = config(shape, Profile::Share);
    let planned = with_waves(&quiet, now);
    let mut blocked = planned.clone();
    // As many hosts of each service are out as its budget allows.
    let mut out: Vec<(model::PoolId, u32)> = Vec::new();
    for row in &mut blocked.hosts {
        let index = match out.binary_search_by(|(pool, _)| pool.cmp(&row.spec.pool)) {
            Ok(index) => index,
            Err(index) => {
                out.insert(index, (row.spec.pool.clone(), 0));
                index
            }
        };
        if out[index].1 < shape.unavailable_max {
            out[index].1 += 1;
            row.state = HostState::Draining;
        }
    }
    StepCost {
        hosts: shape.hosts,
        start: least(&planned, now),
        blocked: least(&blocked, now),
        idle: least(&quiet, now),
    }
}

fn with_waves(config: &Config, now: SystemTime) -> Config {
    let moment = Moment { version: config.version + 1, now };
    let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
    let waves = pools.filter_map(|pool| {
        let mut wave = wave::plan(config, &pool.name, moment).ok()?;
        wave.state = model::WaveState::Running;
        Some(ConfigRow::Wave(wave))
    });
    after(config, waves.collect())
}

fn least(config: &Config, now: SystemTime) -> Duration {
    let entries = config.hosts.iter().map(|row| FleetHost {
        id: row.id().clone(),
        address: row.spec.address,
        boot_count: 1,
        state: FleetHostState::Live,
        seen_at: now,
    });
    let mut config = config.clone();
    config.hosts.iter_mut().for_each(|row| row.boot_count = Some(1));
    let evidence = Evidence {
        gathered_at: now,
        hosts: Vec::new(),
        list: HostList::new(entries.collect()),
        unresponsive: Vec::new(),
    };
    let moment = Moment { version: config.version + 1, now };
    let mut best = Duration::MAX;
    for _ in 0..REPEATS {
        let began = Instant::now();
        let step: RowChanges = advance_all(&config, &evidence, |_| true, moment);
        best = best.min(began.elapsed());
        std::hint::black_box(step);
    }
    best
}
