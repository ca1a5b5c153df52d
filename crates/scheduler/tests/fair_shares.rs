//! Fair shares of teams in a full pool: under floods, under random loads, with other shards and
//! across a change of the owner.

#[path = "common/simulation.rs"]
mod simulation;

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use scheduler::Config;
use scheduler::JobRecord;
use scheduler::Moment;
use scheduler::Policy;
use scheduler::PoolUses;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::SortedMap;
use scheduler::StartCommand;
use scheduler::Step;
use scheduler::Team;
use scheduler::UnitKey;
use simulation::Simulation;
use simulation::UNIX_MS;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };
const SHARES: &[Policy] = &[Policy::FairShares];
const WORKERS: [&str; 4] = ["w1", "w2", "w3", "w4"];
const POOL_CPU_MILLIS: u64 = 64_000;
const TICK: Duration = Duration::from_millis(100);
/// A weight at which no job is beyond the rate share of its team.
const LARGE: f64 = 1_000.0;

fn config_with_teams(weights: &[(&str, f64)]) -> Arc<Config> {
    let team = |(name, weight): &(&str, f64)| {
        ((*name).into(), Team { rate_share: *weight, quota: NO_QUOTA })
    };
    let teams = weights.iter().map(team).collect();
    Arc::new(Config { teams, ..(*config(3, NO_QUOTA)).clone() })
}

/// A simulation whose units end after the time that their job's id tells.
struct Load {
    sim: Simulation,
    /// Runs with their ends.
    runs: Vec<(UnitKey, Moment)>,
    records: SortedMap<Arc<str>, Arc<JobRecord>>,
    /// Time from submission to the start of each job.
    waits: SortedMap<Arc<str>, Duration>,
    /// Core-milliseconds that the runs of each team were given.
    work: SortedMap<Arc<str>, u64>,
}

impl Load {
    fn new(config: Arc<Config>, policies: &[Policy]) -> Self {
        Self {
            sim: Simulation::with_policies(&WORKERS, config, policies),
            runs: Vec::new(),
            records: SortedMap::default(),
            waits: SortedMap::default(),
            work: SortedMap::default(),
        }
    }

    fn submit(&mut self, team: &str, unit_count: u32, cpu_millis: u64, duration_ms: u64) {
        let id = format!("{team}-{:05}", self.records.len());
        let step = Step { estimate_ms: duration_ms, ..step(unit_count, cpu_millis) };
        let record = job(&id, vec![step], self.sim.now);
        let record = Arc::new(JobRecord { team: Some(team.into()), ..(*record).clone() });
        self.records.insert(id.as_str().into(), record.clone());
        self.sim.scheduler.add_job(record, self.sim.now);
    }

    /// Ends the runs whose time has come, and makes one round of decisions.
    fn tick(&mut self) -> Vec<StartCommand> {
        self.sim.now += TICK;
        let now = self.sim.now;
        let (ended, running) = std::mem::take(&mut self.runs).into_iter().partition(|r| r.1 <= now);
        self.runs = running;
        let ended: Vec<(UnitKey, Moment)> = ended;
        for (unit, _) in &ended {
            self.sim.complete_run(unit, RunOutcome::Done);
        }
        for running in self.sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
            running.progress_percent = (running.progress_percent + 1) % 99;
        }
        self.sim.report_all();
        self.sim.commit();
        let starts = self.sim.run_round();
        for start in &starts {
            let record = self.records.get(&start.unit.job).expect("a known job").clone();
            let step = &record.steps[0];
            self.runs.push((start.unit.clone(), now + millis(step.estimate_ms)));
            let accepted = millis(record.accepted_ms - UNIX_MS);
            self.waits.entry_or(record.id.clone(), || now - accepted);
            let team = record.team.clone().expect("a team");
            *self.work.entry_or(team, || 0) += step.estimate_ms * step.requested.cpu_millis / 1_000;
        }
        starts
    }

    /// Returns the longest wait of the jobs that `is_meant` selects, whether they have started or
    /// not.
    fn longest_wait(&self, is_meant: impl Fn(&str) -> bool) -> Duration {
        let records = self.records.values().filter(|record| is_meant(&record.id));
        let wait = |record: &Arc<JobRecord>| {
            let waited = self.sim.now - millis(record.accepted_ms - UNIX_MS);
            self.waits.get(&record.id).copied().unwrap_or(waited)
        };
        records.map(wait).max().unwrap_or_default()
    }

    fn held_by(&self, team: &str) -> u64 {
        let runs = self.runs.iter().filter_map(|(unit, _)| self.records.get(&unit.job));
        let of_team = runs.filter(|record| record.team.as_deref() == Some(team));
        of_team.map(|record| record.steps[0].requested.cpu_millis).sum()
    }
}

/// The small teams need a third of the pool and the flood four times the pool.
fn flood(policies: &[Policy]) -> Load {
    let weights = [("flood", LARGE), ("s1", LARGE), ("s2", LARGE), ("s3", LARGE), ("s4", LARGE)];
    let mut load = Load::new(config_with_teams(&weights), policies);
    for tick in 0..120 {
        load.submit("flood", 13, 2_000, 1_000);
        if tick % 4 == 0 {
            for team in ["s1", "s2", "s3", "s4"] {
                load.submit(team, 1, 2_000, 1_000);
            }
        }
        load.tick();
    }
    load
}

/// Guards against a team that floods a pool and makes the jobs of all teams late. Without shares
/// the load does so.
#[test]
fn a_flood_makes_only_its_own_jobs_late() {
    let is_small = |id: &str| id.starts_with('s');
    let latest_start = millis(1_200);
    let wait = flood(SHARES).longest_wait(is_small);
    assert!(wait <= latest_start, "{wait:?}");
    let without = flood(&[]).longest_wait(is_small);
    assert!(without > latest_start * 3, "the load is too small: {without:?}");
}

/// Returns random teams with their weights, all of which always have waiting units.
fn saturated(seed: u64, policies: &[Policy]) -> (Load, Vec<(&'static str, f64)>, Vec<u64>) {
    let mut rng = StdRng::seed_from_u64(seed);
    let names = ["a", "b", "c", "d"];
    let weights = names.map(|name| (name, f64::from(rng.random_range(1..5)) * LARGE));
    let mut load = Load::new(config_with_teams(&weights), policies);
    let mut held_sums = vec![0; names.len()];
    for tick in 0..300 {
        for name in names {
            // A backlog of more than the pool, whatever the team has got so far.
            while tick == 0 && load.records.len() < 400 {
                let team = names[load.records.len() % names.len()];
                let cpu_millis = rng.random_range(1..4) * 1_000;
                load.submit(
                    team,
                    rng.random_range(1..30),
                    cpu_millis,
                    rng.random_range(3..15) * 100,
                );
            }
            assert!(load.sim.scheduler.queued_jobs("q") > 0, "{name} has nothing waiting");
        }
        let shares = shares_of(&load);
        let started = load.tick();
        check_order(&load, &shares, &started);
        for (sum, name) in held_sums.iter_mut().zip(names) {
            *sum += if tick >= 100 { load.held_by(name) } else { 0 };
        }
    }
    (load, weights.to_vec(), held_sums)
}

/// Returns share and use of each team in the pool `p`, in thousandths.
fn shares_of(load: &Load) -> SortedMap<Arc<str>, (u64, u64)> {
    let shares = load.sim.scheduler.team_shares().flat_map(|(_, shares)| shares);
    let known = shares.filter_map(|s| Some((s.team.clone()?, (s.share_permille, s.use_permille))));
    known.collect()
}

/// No team that was above its share gets capacity that a team below its own still waits for.
fn check_order(load: &Load, before: &SortedMap<Arc<str>, (u64, u64)>, started: &[StartCommand]) {
    // Use and share of a round are those at its begin, so that what ends meanwhile and rounding
    // have to be left out.
    const MARGIN: u64 = 150;
    let team_of = |id: &Arc<str>| load.records.get(id).and_then(|record| record.team.clone());
    let after = shares_of(load);
    for start in started {
        let team = team_of(&start.unit.job).expect("a team");
        let is_above = |shares: &SortedMap<Arc<str>, (u64, u64)>| {
            shares.get(&team).is_some_and(|(share, used)| *used > share + MARGIN)
        };
        if !is_above(before) || !is_above(&after) {
            continue;
        }
        let size = load.records.get(&start.unit.job).unwrap().steps[0].requested.cpu_millis;
        for (other, (share, used)) in after.iter() {
            let is_below = used + MARGIN < *share;
            let fits = |record: &&Arc<JobRecord>| {
                record.team.as_ref() == Some(other)
                    && record.steps[0].requested.cpu_millis <= size
                    && !load.waits.contains(&record.id)
            };
            let is_waiting = load.records.values().any(|record| fits(&record));
            assert!(!is_below || !is_waiting, "{team} before {other}: {after:?}");
        }
    }
}

/// Guards against shares that do not follow the weights under random loads, against capacity that
/// is left idle for the sake of shares, and against an order that passes over a team below its
/// share.
#[rstest]
fn saturated_teams_hold_their_weights_and_the_total_work_is_the_same(
    #[values(1, 2, 3, 4, 5, 6)] seed: u64,
) {
    let (load, weights, held_sums) = saturated(seed, SHARES);
    let weight_sum: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let held_sum: u64 = held_sums.iter().sum();
    for ((name, weight), held) in weights.iter().zip(&held_sums) {
        let (share, part) = (weight / weight_sum, *held as f64 / held_sum as f64);
        assert!((share - part).abs() < 0.06, "{name} has {part:.3} instead of {share:.3}");
    }
    let (without, _, _) = saturated(seed, &[]);
    let total = |load: &Load| load.work.values().sum::<u64>() as f64;
    let ratio = total(&load) / total(&without);
    assert!((0.96..1.04).contains(&ratio), "{ratio}");
}

/// Guards against a burst that is not paid back: a team that had the pool for itself has to leave
/// more than half of it to another one at first, and not for ever.
#[test]
fn a_burst_is_paid_back() {
    let weights = [("a", LARGE), ("b", LARGE)];
    let mut load = Load::new(config_with_teams(&weights), SHARES);
    for _ in 0..60 {
        load.submit("a", 8, 4_000, 500);
        load.tick();
    }
    let mut held_by_b = Vec::new();
    for _ in 0..200 {
        load.submit("a", 8, 4_000, 500);
        load.submit("b", 8, 4_000, 500);
        load.tick();
        held_by_b.push(load.held_by("b"));
    }
    assert!(held_by_b[4] > POOL_CPU_MILLIS * 3 / 4, "{held_by_b:?}");
    assert!(held_by_b[24] > POOL_CPU_MILLIS * 11 / 20, "{held_by_b:?}");
    let later = held_by_b[150..].iter().sum::<u64>() / 50;
    assert!(later.abs_diff(POOL_CPU_MILLIS / 2) < POOL_CPU_MILLIS / 10, "{held_by_b:?}");
}

/// Guards against effects where there should be none: a pool in which everything fits, and a
/// configuration without weights.
#[rstest]
#[case::everything_fits(LARGE, 1)]
#[case::no_weights(0.0, 30)]
fn shares_change_no_decision(#[case] weight: f64, #[case] unit_count: u32) {
    let run = |policies: &[Policy]| {
        let mut load = Load::new(config_with_teams(&[("a", weight), ("b", weight)]), policies);
        let mut starts = Vec::new();
        for _ in 0..40 {
            load.submit("a", unit_count, 4_000, 400);
            load.submit("b", 1, 2_000, 300);
            starts.extend(load.tick());
        }
        starts
    };
    assert_eq!(run(SHARES), run(&[]));
}

/// Returns the use of team `a` in a full pool, in thousandths, if it uses 32 cores in another
/// shard.
fn use_with_foreign_row(age: Duration) -> u64 {
    let mut load = Load::new(config_with_teams(&[("a", LARGE), ("b", LARGE)]), SHARES);
    load.submit("b", 40, 4_000, 10_000);
    load.submit("a", 40, 4_000, 10_000);
    let used = Resources { cpu_millis: POOL_CPU_MILLIS / 2, ..Resources::default() };
    let teams = [(Some("a".into()), used)].into_iter().collect();
    let uses: PoolUses = [("p".into(), teams)].into_iter().collect();
    let written_ms = UNIX_MS + (load.sim.now - age).as_millis() as u64;
    load.sim.scheduler.set_foreign_team_uses(1, uses, written_ms);
    load.tick();
    // The shares are those before the first unit is placed.
    shares_of(&load).get("a").expect("the pool is full").1
}

/// Guards against a stale row of another shard that keeps a team from its share.
#[rstest]
#[case::fresh(seconds(1), 500)]
#[case::stale(seconds(6), 250)]
#[case::expired(seconds(16), 0)]
fn use_in_other_shards_counts_by_its_age(#[case] age: Duration, #[case] used_permille: u64) {
    assert_eq!(use_with_foreign_row(age), used_permille);
}

/// Guards against a new owner that forgets what runs, or that holds old bursts against a team.
#[test]
fn a_new_owner_counts_what_runs_and_no_recent_use() {
    let config = config_with_teams(&[("a", LARGE), ("b", LARGE)]);
    let mut load = Load::new(config.clone(), SHARES);
    load.submit("a", 8, 4_000, 100_000);
    for _ in 0..50 {
        load.tick();
    }
    let records: Vec<Arc<JobRecord>> = load.records.values().cloned().collect();
    load.sim.take_over(2, config, seconds(5), &records);
    load.submit("b", 40, 4_000, 1_000);
    load.tick();
    let shares = shares_of(&load);
    let used = shares.get("a").expect("the pool is full").1;
    assert!((500..530).contains(&used), "{shares:?}");
}

/// Guards against a team that gets its share in each shard although it already has more than that
/// in another one: over two shards, both teams get as much.
#[test]
fn a_team_that_has_one_shard_leaves_the_other_one() {
    let config = config_with_teams(&[("a", LARGE), ("b", LARGE)]);
    let mut shards = [Load::new(config.clone(), SHARES), Load::new(config, SHARES)];
    for tick in 0..300 {
        shards[0].submit("a", 8, 4_000, 500);
        shards[1].submit("a", 8, 4_000, 500);
        shards[1].submit("b", 8, 4_000, 500);
        let uses = [0, 1].map(|shard: usize| {
            shards[shard].tick();
            shards[shard].sim.scheduler.team_uses(shards[shard].sim.now).expect("weights")
        });
        if tick % 10 == 0 {
            let written_ms = UNIX_MS + shards[0].sim.now.as_millis() as u64;
            let [first, second] = uses;
            shards[0].sim.scheduler.set_foreign_team_uses(1, second, written_ms);
            shards[1].sim.scheduler.set_foreign_team_uses(0, first, written_ms);
        }
    }
    let held = [shards[0].held_by("a"), shards[1].held_by("a"), shards[1].held_by("b")];
    assert!(held[2] > POOL_CPU_MILLIS * 9 / 10 && held[0] == POOL_CPU_MILLIS, "{held:?}");
}
