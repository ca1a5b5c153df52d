//! Measures the time of one planning step.

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
use super::fleet::config;
use super::fleet::with_rows;

/// Number of repeats of each step; the shortest time counts, because other work on the machine only
/// makes a step longer.
const REPEATS: usize = 15;

/// Times of the planning steps of one fleet.
#[derive(Clone, Copy, Debug)]
pub struct StepCost {
    /// Number of hosts of the fleet.
    pub hosts: usize,
    /// Time of the step in which every wave starts its first host.
    pub start: Duration,
    /// Time of a step in which no wave may start a host, because every budget is used up.
    pub blocked: Duration,
    /// Time of a step without waves.
    pub idle: Duration,
}

/// Measures the planning steps of a fleet.
pub fn measure(shape: Shape) -> StepCost {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let idle_config = config(shape, Profile::Share);
    let start_config = with_waves(&idle_config, now);
    let mut blocked_config = start_config.clone();
    // Makes as many hosts of each pool unavailable as the budget of its service allows.
    let mut unavailable: Vec<(model::PoolId, u32)> = Vec::new();
    for row in &mut blocked_config.hosts {
        let index = match unavailable.binary_search_by(|(pool, _)| pool.cmp(&row.spec.pool)) {
            Ok(index) => index,
            Err(index) => {
                unavailable.insert(index, (row.spec.pool.clone(), 0));
                index
            }
        };
        if unavailable[index].1 < shape.unavailable_max {
            unavailable[index].1 += 1;
            row.state = HostState::Draining;
        }
    }
    StepCost {
        hosts: shape.hosts,
        start: shortest_step(&start_config, now),
        blocked: shortest_step(&blocked_config, now),
        idle: shortest_step(&idle_config, now),
    }
}

/// Returns a configuration with a running wave for every pool that can have one.
fn with_waves(config: &Config, now: SystemTime) -> Config {
    let moment = Moment { version: config.version + 1, now };
    let pools = config.contracts.iter().flat_map(|contract| &contract.pools);
    let waves = pools.filter_map(|pool| {
        let mut wave = wave::plan(config, &pool.name, moment).ok()?;
        wave.state = model::WaveState::Running;
        Some(ConfigRow::Wave(wave))
    });
    with_rows(config, waves.collect())
}

/// Returns the shortest time of a planning step with this configuration.
fn shortest_step(config: &Config, now: SystemTime) -> Duration {
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
    let mut shortest = Duration::MAX;
    for _ in 0..REPEATS {
        let started_at = Instant::now();
        let changes: RowChanges = advance_all(&config, &evidence, |_| true, moment);
        shortest = shortest.min(started_at.elapsed());
        std::hint::black_box(changes);
    }
    shortest
}
