//! Queues whose peaks come by turns: a pool must not begin its peak with the few hosts that the
//! peaks before have left to it, and hosts that no pool is about to need stand in the spare pool.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;

use rstest::rstest;
use scheduler::Action;
use scheduler::Config;
use scheduler::HostEntry;
use scheduler::HostState;
use scheduler::JobRecord;
use scheduler::Peaks;
use scheduler::Pool;
use scheduler::PoolLoad;
use scheduler::PoolLoads;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::Step;
use scheduler::WorkerRegistration;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::registration;
use simulation::seconds;
use simulation::step;

const HOST: Resources = Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 };
const BASELINE: usize = 8;

fn loads(needed: &[(&str, usize)]) -> PoolLoads {
    let load = |hosts: usize| PoolLoad {
        baseline_hosts: BASELINE,
        running: Resources { cpu_millis: hosts as u64 * 14_400, memory_mb: 0, gpus: 0 },
        host_capacity: HOST,
        ..PoolLoad::default()
    };
    needed.iter().map(|(name, hosts)| ((*name).into(), load(*hosts))).collect()
}

#[rstest]
#[case::none_has_had_a_peak(&[], &["a", "b", "c"])]
#[case::one_is_at_its_peak(&["a"], &["b", "c"])]
#[case::all_but_one_have_had_one(&["b", "a"], &["c"])]
#[case::the_first_one_comes_again(&["b", "a", "c"], &["b"])]
#[case::the_order_changes(&["a", "b", "c", "b", "a"], &["c"])]
fn the_pool_whose_peak_is_the_longest_ago_is_expected_next(
    #[case] order: &[&str],
    #[case] expected: &[&str],
) {
    let mut peaks = Peaks::default();
    let mut now = seconds(100);
    for peak in order {
        now += seconds(4);
        let needed = ["a", "b", "c"].map(|name| (name, if name == *peak { 12 } else { 1 }));
        peaks.record(&loads(&needed), now);
    }
    let found = peaks.expected_pools(&loads(&[("a", 1), ("b", 1), ("c", 1)]), now);
    let found: Vec<&str> = found.iter().map(|name| &**name).collect();
    assert_eq!(found, expected);
}

#[test]
fn a_pool_at_its_peak_is_not_expected_to_have_the_next_one() {
    let mut peaks = Peaks::default();
    let both = loads(&[("a", 12), ("b", 12)]);
    peaks.record(&both, seconds(100));
    assert!(peaks.expected_pools(&both, seconds(100)).is_empty());
}

const POOLS: [&str; 2] = ["p", "q"];

/// Returns a configuration with a queue on each pool of [`POOLS`].
fn config_with_pools() -> Arc<Config> {
    let mut config = (*config(3, Resources::default())).clone();
    let queue: Queue = config.queues.get("q").cloned().expect("the queue of the simulation");
    for pool in POOLS {
        config.pools.insert(pool.into(), Pool::default());
        let queue = Queue { pool: pool.into(), ..queue.clone() };
        config.queues.insert(format!("queue-{pool}").as_str().into(), queue);
    }
    Arc::new(config)
}

/// A host with its pool and worker.
struct FleetHost {
    name: String,
    pool: String,
    worker: String,
}

/// A fleet whose hosts move at once. A host gets a new worker with each move, and none in the spare
/// pool.
struct Fleet {
    sim: Simulation,
    hosts: Vec<FleetHost>,
    moves: usize,
}

impl Fleet {
    fn new(counts: &[(&str, usize)]) -> Self {
        let sim = Simulation::new(&[], config_with_pools());
        let mut fleet = Self { sim, hosts: Vec::new(), moves: 0 };
        for (pool, count) in counts {
            for number in 0..*count {
                let name = format!("{pool}{number}");
                let (pool, worker) = ((*pool).to_owned(), String::new());
                fleet.hosts.push(FleetHost { name: name.clone(), pool: pool.clone(), worker });
                fleet.move_host(&name, &pool);
            }
        }
        fleet.register();
        fleet
    }

    fn move_host(&mut self, name: &str, pool: &str) {
        self.moves += 1;
        let worker = format!("{name}.{}", self.moves);
        self.sim.add_worker(&worker);
        let host = self.hosts.iter_mut().find(|host| host.name == name);
        let host = host.expect("a host of the fleet");
        (host.pool, host.worker) = (pool.to_owned(), worker);
    }

    fn register(&mut self) {
        let entry = |host: &FleetHost| HostEntry {
            name: host.name.as_str().into(),
            pool: host.pool.as_str().into(),
            state: HostState::Up,
            worker: (host.pool != "spare").then(|| host.worker.as_str().into()),
        };
        let entries = self.hosts.iter().map(entry).collect();
        self.sim.scheduler.set_hosts(entries, self.sim.now, self.sim.now);
        for host in self.hosts.iter().filter(|host| host.pool != "spare") {
            let pool = host.pool.as_str().into();
            let registration = WorkerRegistration { pool, ..registration(&host.worker) };
            self.sim.scheduler.update_worker(registration, millis(0), self.sim.now);
        }
    }

    /// Runs for some time; units complete after `unit_ms`, and hosts that are told to move are in
    /// their new pool with the next list.
    fn run_for(&mut self, time_ms: u64, unit_ms: u64) {
        let mut started: Vec<(u64, scheduler::UnitKey)> = Vec::new();
        for _ in 0..time_ms / 200 {
            let starts = self.sim.run_for(millis(200));
            let now_ms = self.sim.now.as_millis() as u64;
            started.extend(starts.into_iter().map(|start| (now_ms, start.unit)));
            let (due, rest) = started.into_iter().partition(|(at_ms, _)| at_ms + unit_ms <= now_ms);
            started = rest;
            for (_, unit) in due {
                self.sim.complete_run(&unit, RunOutcome::Done);
            }
            for action in std::mem::take(&mut self.sim.other_actions) {
                if let Action::MoveHost { host, pool } = action {
                    self.move_host(&host, &pool);
                    let accepted = scheduler::HostReply::Accepted;
                    self.sim.scheduler.handle_host_reply(&host, accepted, self.sim.now);
                }
            }
            self.register();
        }
    }

    fn count(&self, pool: &str) -> usize {
        self.hosts.iter().filter(|host| host.pool == pool).count()
    }

    fn submit(&mut self, pool: &str, id: &str, units: u32) {
        let record = job(id, vec![step(units, 4_000)], self.sim.now);
        let record = JobRecord {
            queue: format!("queue-{pool}").as_str().into(),
            pool: pool.into(),
            ..(*record).clone()
        };
        self.sim.scheduler.add_job(Arc::new(record), self.sim.now);
    }
}

#[test]
fn hosts_that_a_peak_leaves_behind_go_to_the_pool_that_has_had_none_and_then_to_the_spare_pool() {
    let mut fleet = Fleet::new(&[("p", 4), ("q", 4), ("spare", 2)]);
    fleet.run_for(1_000, 1_000);
    assert_eq!((fleet.count("p"), fleet.count("q")), (4, 4), "nothing moves without need");
    // Work for nine hosts.
    fleet.submit("p", "a", 32);
    fleet.run_for(4_000, 60_000);
    assert_eq!((fleet.count("p"), fleet.count("q"), fleet.count("spare")), (9, 1, 0));
    // The peak ends: the other pool gets 60 % of its baseline back, and the rest is parked.
    for index in 0..32 {
        fleet.sim.complete_run(&simulation::unit("a", 0, index), RunOutcome::Done);
    }
    fleet.run_for(6_000, 1_000);
    assert_eq!(fleet.count("q"), 2);
    assert_eq!(fleet.count("p"), 1, "the pool whose peak is over keeps a reserve");
    assert_eq!(fleet.count("spare"), 7);
    // The second pool has its peak; afterwards the first one is expected again.
    fleet.submit("q", "b", 32);
    fleet.run_for(4_000, 60_000);
    assert!(fleet.count("q") >= 8, "{}", fleet.count("q"));
    for index in 0..32 {
        fleet.sim.complete_run(&simulation::unit("b", 0, index), RunOutcome::Done);
    }
    fleet.run_for(6_000, 1_000);
    assert_eq!((fleet.count("p"), fleet.count("q"), fleet.count("spare")), (2, 1, 7));
}

/// Guards against a pool keeping idle hosts for the next job while long-running units are spread
/// over hosts that have capacity for it.
#[test]
fn a_pool_keeps_no_idle_hosts_beside_the_free_capacity_of_others() {
    let mut fleet = Fleet::new(&[("p", 16), ("q", 4), ("spare", 2)]);
    fleet.run_for(1_000, 1_000);
    let lasting = Step { is_long_running: true, per_worker_max: 1, ..step(3, 1_000) };
    let record = job("lasting", vec![lasting], fleet.sim.now);
    let record = JobRecord { queue: "queue-p".into(), pool: "p".into(), ..(*record).clone() };
    fleet.sim.scheduler.add_job(Arc::new(record), fleet.sim.now);
    // The peak of the pool, so that another one is expected next.
    fleet.submit("p", "a", 56);
    fleet.run_for(2_000, 60_000);
    for index in 0..56 {
        fleet.sim.complete_run(&simulation::unit("a", 0, index), RunOutcome::Done);
    }
    fleet.run_for(8_000, 60_000);
    // One host for each long-running unit, and one where a unit could start again.
    assert_eq!(fleet.count("p"), 4);
}
