//! Measures the durations, budgets and costs of maintenance and lending, and compares them with
//! simpler policies.

use std::time::Duration;

use bench::maintenance::cost;
use bench::maintenance::fleet::Shape;
use bench::maintenance::fleet::TARGET;
use bench::maintenance::fleet::TODAY;
use bench::maintenance::lending;
use bench::maintenance::waves;
use bench::maintenance::waves::Failures;
use bench::maintenance::waves::Policy;
use bench::maintenance::waves::WaveResult;
use clap::Parser;
use maintenance::lend::LendingPolicy;
use model::contract::Profile;
use serde_json::json;

/// Number of threads that run simulations.
const THREADS: u64 = 3;
/// Time within which every host must be maintained once.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(49 * 24 * 3_600);
/// Ordinary daily failures at the target size: 20 of 1,600 hosts, a rack every 45 days and a
/// zone twice in three years.
const ORDINARY: Failures =
    Failures { host_per_day: 20.0 / 1_600.0, rack_per_day: 1.0 / 45.0, zone_per_day: 1.5 / 365.0 };
/// Harsh failures: every run has a few failed hosts, most have a failed rack, some a failed zone.
const HARSH: Failures = Failures { host_per_day: 0.25, rack_per_day: 8.0, zone_per_day: 0.5 };

/// Measures the policies of maintenance and lending in virtual time.
#[derive(Parser)]
struct Args {
    /// Print JSON lines.
    #[arg(long)]
    json: bool,
    /// Number of runs of the waves at today's size under harsh failures, by profile and policy.
    #[arg(long, default_value_t = 1_000)]
    runs: u64,
    /// Number of runs of the waves at the target size, by profile and policy.
    #[arg(long, default_value_t = 5)]
    target_runs: u64,
    /// Number of simulated days of lending, by profile and policy.
    #[arg(long, default_value_t = 10)]
    days: u64,
    /// Measure the planning step only.
    #[arg(long)]
    steps_only: bool,
}

/// Sums over the runs of one policy.
#[derive(Clone, Copy, Default)]
struct Totals {
    runs: u64,
    unfinished: u64,
    violations: u64,
    exceeded_by_failures: u64,
    failed_hosts: u64,
    time_s: f64,
    /// Time of the longest run.
    longest: Duration,
    maintenance_host_hours: f64,
}

impl Totals {
    fn add(&mut self, run: &WaveResult) {
        self.runs += 1;
        self.unfinished += u64::from(!run.is_finished);
        self.violations += run.violations;
        self.exceeded_by_failures += run.exceeded_by_failures;
        self.failed_hosts += run.failed_hosts;
        self.time_s += run.time.as_secs_f64();
        self.longest = self.longest.max(run.time);
        self.maintenance_host_hours += run.maintenance_host_hours;
    }
}

fn main() {
    let args = Args::parse();
    let printer = Printer { json: args.json };
    measure_planning_steps(&printer);
    if args.steps_only {
        return;
    }
    for profile in [Profile::Share, Profile::Buffer] {
        let harsh_label = "today, harsh failures";
        let policies: &[Policy] = match profile {
            Profile::Share => &[Policy::Waves, Policy::OneAtATime, Policy::FixedPart],
            // The simpler policies do not depend on the profile.
            Profile::Buffer => &[Policy::Waves],
        };
        for policy in policies {
            let totals = run_waves(args.runs, TODAY, profile, *policy, HARSH);
            printer.print_waves(harsh_label, TODAY, profile, *policy, &totals);
        }
        for policy in policies {
            let totals = run_waves(args.target_runs, TARGET, profile, *policy, ORDINARY);
            printer.print_waves("target, ordinary failures", TARGET, profile, *policy, &totals);
        }
        run_lending(&printer, args.days, profile);
    }
}

fn measure_planning_steps(printer: &Printer) {
    for hosts in [100, 200, 400, 800, 1_600, 3_200] {
        let shape = if hosts == TARGET.hosts { TARGET } else { TARGET.scaled(hosts) };
        let cost = cost::measure(shape);
        let steps = [("start", cost.start), ("blocked", cost.blocked), ("idle", cost.idle)];
        for (step, time) in steps {
            let value = time.as_secs_f64() * 1e6;
            let series = format!("maintenance.step.{step}_us");
            let text = format!("planning step, {step}: {hosts} hosts, {} pools", shape.pools());
            printer.print_value(&series, hosts, value, &text, &format!("{value:.0} us"));
        }
    }
}

/// Simulates waves with `runs` different seeds.
fn run_waves(
    runs: u64,
    shape: Shape,
    profile: Profile,
    policy: Policy,
    failures: Failures,
) -> Totals {
    let threads = THREADS.min(runs);
    let run_seeds = |thread: u64| {
        let mut results = Vec::new();
        for seed in (thread..runs).step_by(threads as usize) {
            results.push(waves::run(seed, shape, profile, policy, failures));
        }
        results
    };
    let mut totals = Totals::default();
    std::thread::scope(|scope| {
        let run_seeds = &run_seeds;
        let handles: Vec<_> =
            (0..threads).map(|thread| scope.spawn(move || run_seeds(thread))).collect();
        for handle in handles {
            handle.join().expect("runs do not panic").iter().for_each(|run| totals.add(run));
        }
    });
    totals
}

/// Simulates lending under each policy, and prints the means over the days.
fn run_lending(printer: &Printer, days: u64, profile: Profile) {
    let smoothed = LendingPolicy::of(profile);
    let policies = [
        ("smoothed", Some(smoothed)),
        ("instantaneous", Some(lending::INSTANTANEOUS)),
        ("none", None),
    ];
    for (name, policy) in policies {
        let runs: Vec<_> = (0..days).map(|seed| lending::run(seed, profile, policy)).collect();
        let mean = |value: fn(&lending::LendingResult) -> f64| {
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
            printer.print_value(&series, TODAY.hosts / 2, value, &text, &format!("{value:.4}"));
        }
    }
}

/// Prints results as JSON lines or as text.
struct Printer {
    json: bool,
}

impl Printer {
    fn print_value(&self, series: &str, size: usize, value: f64, text: &str, shown: &str) {
        if self.json {
            println!("{}", json!({ "series": series, "size": size, "value": value }));
        } else {
            println!("{text}: {shown}");
        }
    }

    fn print_waves(
        &self,
        case: &str,
        shape: Shape,
        profile: Profile,
        policy: Policy,
        totals: &Totals,
    ) {
        if totals.runs == 0 {
            return;
        }
        let runs = totals.runs as f64;
        let values = [
            ("violations", totals.violations as f64),
            ("overtaken", totals.exceeded_by_failures as f64),
            ("unfinished", totals.unfinished as f64),
            ("mean_hours", totals.time_s / runs / 3_600.0),
            ("longest_hours", totals.longest.as_secs_f64() / 3_600.0),
            (
                "time_left_part",
                1.0 - totals.longest.as_secs_f64() / MAINTENANCE_PERIOD.as_secs_f64(),
            ),
            ("out_hours", totals.maintenance_host_hours / runs),
            ("failed_hosts", totals.failed_hosts as f64 / runs),
        ];
        if !self.json {
            println!("waves, {case}, {profile:?}, {policy:?}, {} runs:", totals.runs);
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
