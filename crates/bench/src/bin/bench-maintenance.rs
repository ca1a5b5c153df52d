//! Prints what the policy of maintenance costs and keeps, beside simpler policies.

use std::time::Duration;

use bench::maintenance::cost;
use bench::maintenance::fleet::Shape;
use bench::maintenance::fleet::TARGET;
use bench::maintenance::fleet::TODAY;
use bench::maintenance::lending;
use bench::maintenance::waves;
use bench::maintenance::waves::Failures;
use bench::maintenance::waves::Policy;
use bench::maintenance::waves::WaveRun;
use clap::Parser;
use maintenance::lend::LendingPolicy;
use model::contract::Profile;
use serde_json::json;

/// Threads that run seeds.
const THREADS: u64 = 3;
/// Time in which every host must be maintained once.
const ROUND: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Failures of an ordinary day at the target size: 20 of 1,600 hosts, a rack every 45 days and a
/// zone twice in three years.
const ORDINARY: Failures =
    Failures { host_per_day: 20.0 / 1_600.0, rack_per_day: 1.0 / 45.0, zone_per_day: 1.5 / 365.0 };
/// Failures that bring a few lost hosts into every run, a rack into most and a zone into some.
const HARSH: Failures = Failures { host_per_day: 0.25, rack_per_day: 8.0, zone_per_day: 0.5 };

/// Measures the policy of maintenance in virtual time.
#[derive(Parser)]
struct Args {
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
    /// Seeded runs of the waves at today's size under harsh failures, for each profile and policy.
    #[arg(long, default_value_t = 1_000)]
    runs: u64,
    /// Seeded runs of the waves at the target size.
    #[arg(long, default_value_t = 5)]
    target_runs: u64,
    /// Seeded days of lending.
    #[arg(long, default_value_t = 10)]
    days: u64,
    /// Measure the planning step only.
    #[arg(long)]
    steps_only: bool,
}

/// Sums over runs.
#[derive(Clone, Copy, Default)]
struct Sum {
    runs: u64,
    unfinished: u64,
    violations: u64,
    overtaken: u64,
    failed: u64,
    time_s: f64,
    longest: Duration,
    out_hours: f64,
}

impl Sum {
    fn add(&mut self, run: &WaveRun) {
        self.runs += 1;
        self.unfinished += u64::from(!run.finished);
        self.violations += run.violations;
        self.overtaken += run.overtaken;
        self.failed += run.failed;
        self.time_s += run.time.as_secs_f64();
        self.longest = self.longest.max(run.time);
        self.out_hours += run.out_hours;
    }
}

fn main() {
    let args = Args::parse();
    let printer = Printer { json: args.json };
    planning_steps(&printer);
    if args.steps_only {
        return;
    }
    for profile in [Profile::Share, Profile::Buffer] {
        let harsh = "today, harsh failures";
        let policies: &[Policy] = match profile {
            Profile::Share => &[Policy::Waves, Policy::OneAtATime, Policy::FixedPart],
            // The simpler policies know no profile.
            Profile::Buffer => &[Policy::Waves],
        };
        for policy in policies {
            let sum = wave_runs(args.runs, TODAY, profile, *policy, HARSH);
            printer.waves(harsh, TODAY, profile, *policy, &sum);
        }
        for policy in policies {
            let sum = wave_runs(args.target_runs, TARGET, profile, *policy, ORDINARY);
            printer.waves("target, ordinary failures", TARGET, profile, *policy, &sum);
        }
        lending_days(&printer, args.days, profile);
    }
}

fn planning_steps(printer: &Printer) {
    for hosts in [100, 200, 400, 800, 1_600, 3_200] {
        let shape = if hosts == TARGET.hosts { TARGET } else { TARGET.scaled(hosts) };
        let cost = cost::measure(shape);
        let steps = [("start", cost.start), ("blocked", cost.blocked), ("idle", cost.idle)];
        for (step, time) in steps {
            let value = time.as_secs_f64() * 1e6;
            let series = format!("maintenance.step.{step}_us");
            let text = format!("planning step, {step}: {hosts} hosts, {} pools", shape.pools());
            printer.line(&series, hosts, value, &text, &format!("{value:.0} us"));
        }
    }
}

fn wave_runs(runs: u64, shape: Shape, profile: Profile, policy: Policy, failures: Failures) -> Sum {
    let threads = THREADS.min(runs);
    let of_thread = |thread: u64| {
        let mut results = Vec::new();
        for seed in (thread..runs).step_by(threads as usize) {
            results.push(waves::run(seed, shape, profile, policy, failures));
        }
        results
    };
    let mut sum = Sum::default();
    std::thread::scope(|scope| {
        let of_thread = &of_thread;
        let handles: Vec<_> =
            (0..threads).map(|thread| scope.spawn(move || of_thread(thread))).collect();
        for handle in handles {
            handle.join().expect("runs do not panic").iter().for_each(|run| sum.add(run));
        }
    });
    sum
}

fn lending_days(printer: &Printer, days: u64, profile: Profile) {
    let own = LendingPolicy::of(profile);
    let policies =
        [("smoothed", Some(own)), ("instantaneous", Some(lending::INSTANTANEOUS)), ("none", None)];
    for (name, policy) in policies {
        let runs: Vec<_> = (0..days).map(|seed| lending::run(seed, profile, policy)).collect();
        let mean = |value: fn(&lending::LendingRun) -> f64| {
            runs.iter().map(value).sum::<f64>() / days as f64
        };
        let values = [
            ("moves a day", "moves", mean(|run| run.moves as f64)),
            ("share error", "share_error", mean(|run| run.share_error)),
            ("buffer", "buffer", mean(|run| run.buffer)),
        ];
        for (label, key, value) in values {
            let series = format!("maintenance.lending.{profile:?}.{name}.{key}").to_lowercase();
            let text = format!("lending, {profile:?}, {name}: {label}");
            printer.line(&series, TODAY.hosts / 2, value, &text, &format!("{value:.4}"));
        }
    }
}

struct Printer {
    json: bool,
}

impl Printer {
    fn line(&self, series: &str, size: usize, value: f64, text: &str, shown: &str) {
        if self.json {
            println!("{}", json!({ "series": series, "size": size, "value": value }));
        } else {
            println!("{text}: {shown}");
        }
    }

    fn waves(&self, case: &str, shape: Shape, profile: Profile, policy: Policy, sum: &Sum) {
        if sum.runs == 0 {
            return;
        }
        let runs = sum.runs as f64;
        let values = [
            ("violations", sum.violations as f64),
            ("overtaken", sum.overtaken as f64),
            ("unfinished", sum.unfinished as f64),
            ("mean_hours", sum.time_s / runs / 3_600.0),
            ("longest_hours", sum.longest.as_secs_f64() / 3_600.0),
            ("time_left_part", 1.0 - sum.longest.as_secs_f64() / ROUND.as_secs_f64()),
            ("out_hours", sum.out_hours / runs),
            ("failed_hosts", sum.failed as f64 / runs),
        ];
        if !self.json {
            println!("waves, {case}, {profile:?}, {policy:?}, {} runs:", sum.runs);
            let shown = values.map(|(key, value)| format!("{key} {value:.3}"));
            println!("  {}", shown.join(", "));
            return;
        }
        for (key, value) in values {
            let series = format!("maintenance.waves.{profile:?}.{policy:?}.{key}").to_lowercase();
            println!("{}", json!({ "series": series, "size": shape.hosts, "value": value }));
        }
    }
}
