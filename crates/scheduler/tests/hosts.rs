//! Hosts that are moved or maintained are drained first, within the disruption budgets of
//! long-running steps.

#[path = "common/simulation.rs"]
mod simulation;

use scheduler::Action;
use scheduler::HostReply;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::Step;
use scheduler::Wave;
use simulation::Simulation;
use simulation::config;
use simulation::job;
use simulation::millis;
use simulation::seconds;
use simulation::step;
use simulation::unit;

const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

fn wave(hosts: &[&str], unavailable_hosts_max: usize) -> Wave {
    let hosts = hosts.iter().map(|host| (*host).into()).collect();
    Wave { id: 1, hosts, duration_ms: 20_000, unavailable_hosts_max }
}

fn maintained(sim: &Simulation) -> Vec<String> {
    let maintained = sim.other_actions.iter().filter_map(|action| match action {
        Action::MaintainHost { host, .. } => Some(host.to_string()),
        _ => None,
    });
    maintained.collect()
}

#[test]
fn a_host_gets_no_command_before_its_worker_has_replied() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    let long_running =
        Step { is_long_running: true, per_worker_max: 1, unavailable_max: 1, ..step(2, 1_000) };
    let record = job("a", vec![long_running], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    let used = sim.run_round()[0].worker.clone();
    sim.worker(&used).is_responsive = false;
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    sim.list_hosts_in_pool(&[("h1", &used)]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    sim.run_for(seconds(2));
    assert!(maintained(&sim).is_empty());
}

#[test]
fn a_wave_keeps_its_limit_on_unavailable_hosts() {
    let mut sim = Simulation::new(&["w1", "w2", "w3"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2"), ("h3", "w3")]);
    sim.scheduler.set_waves(vec![wave(&["h1", "h2", "h3"], 1)], sim.now);
    sim.run_for(millis(600));
    assert_eq!(maintained(&sim).len(), 1);
    let first = maintained(&sim)[0].as_str().into();
    sim.scheduler.handle_host_reply(&first, HostReply::Accepted, sim.now);
    // A list that was read before the command took effect shows the host as it was.
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2"), ("h3", "w3")]);
    sim.run_for(millis(600));
    assert_eq!(maintained(&sim).len(), 1);
}

/// A pool of two hosts of 16 cores with as many units of one core, and a wave over both hosts.
fn wave_during_a_peak(units: u32) -> Simulation {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2")]);
    sim.run_for(seconds(1));
    sim.scheduler.add_job(job("a", vec![step(units, 1_000)], sim.now), sim.now);
    sim.run_round();
    sim.scheduler.set_waves(vec![wave(&["h1", "h2"], 1)], sim.now);
    sim
}

/// Guards against a wave that drains the hosts of a pool at its peak although it has the time to
/// wait.
#[test]
fn a_wave_with_time_left_leaves_the_hosts_that_a_pool_needs() {
    let mut sim = wave_during_a_peak(28);
    sim.run_for(seconds(1));
    for index in 0..28 {
        sim.complete_run(&unit("a", 0, index), RunOutcome::Done);
    }
    assert!(maintained(&sim).is_empty());
    sim.run_for(seconds(1));
    assert_eq!(maintained(&sim).len(), 1);
}

/// Guards against a wave that is late since its hosts are needed all the time.
#[test]
fn a_wave_without_time_to_wait_drains_hosts_that_a_pool_needs() {
    let mut sim = wave_during_a_peak(40);
    sim.run_for(seconds(8));
    let loads = sim.scheduler.pool_loads(sim.now);
    assert!(loads.values().any(|load| load.unusable_hosts > 0));
}

/// Guards against a command that is dropped, while its host waits for it forever, because the table
/// was away for longer than the lease of a host when the command was to be stored.
#[test]
fn a_command_that_was_stored_late_is_sent() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1")]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    sim.scheduler.review(sim.now);
    sim.now += seconds(4);
    sim.report_all();
    sim.run_for(seconds(1));
    assert_eq!(maintained(&sim), ["h1"]);
}

#[test]
fn long_running_units_leave_a_host_one_after_another() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let long_running =
        Step { is_long_running: true, per_worker_max: 2, unavailable_max: 1, ..step(2, 1_000) };
    sim.scheduler.add_job(job("a", vec![long_running], sim.now), sim.now);
    let used = sim.run_round()[0].worker.clone();
    // The owner has been in contact with its workers for a while.
    sim.now += seconds(2);
    for running in &mut sim.worker(&used).running {
        running.progress_percent = 100;
    }
    sim.report_all();
    sim.list_hosts_in_pool(&[("h1", &used)]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    for _ in 0..5 {
        sim.now += millis(100);
        sim.run_round();
    }
    assert_eq!(
        sim.worker(&used).running.len(),
        1,
        "the second unit leaves only once the first one is available again"
    );
}

#[test]
fn a_host_command_is_sent_only_once_it_is_stored() {
    let mut sim = Simulation::new(&["w1"], config(3, NO_QUOTA));
    sim.list_hosts_in_pool(&[("h1", "w1")]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    sim.scheduler.plan(sim.now);
    sim.carry_out_actions();
    assert!(maintained(&sim).is_empty());
    sim.commit();
    sim.carry_out_actions();
    assert_eq!(maintained(&sim).len(), 1);
}

#[test]
fn a_long_running_unit_is_not_stopped_when_its_start_got_no_reply() {
    let no_quota = Resources::default();
    let mut sim = Simulation::new(&["w1"], config(3, no_quota));
    let long_running = Step { is_long_running: true, ..step(1, 1_000) };
    sim.scheduler.add_job(job("a", vec![long_running], sim.now), sim.now);
    sim.scheduler.plan(sim.now);
    sim.commit();
    let start = sim.scheduler.take_actions().into_iter().find_map(|action| match action {
        Action::Start(command) => Some(command),
        _ => None,
    });
    let start = start.expect("the start command is sent");
    // The worker does not reply to the start command, and carries it out later.
    let unknown = StartReply::Unknown;
    let StartCommand { worker, unit, run, token, .. } = &start;
    sim.scheduler.handle_start_reply(worker, unit, *run, *token, unknown, sim.now);
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(!sim.scheduler.take_actions().iter().any(is_stop));
    sim.worker("w1").add_run(&start.unit, start.run);
    assert!(sim.run_for(millis(3_000)).is_empty(), "the unit keeps running");
    assert_eq!(sim.worker("w1").running.len(), 1);
}

#[test]
fn a_new_owner_counts_units_that_may_be_stopping_as_unavailable() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let long_running =
        Step { is_long_running: true, per_worker_max: 1, unavailable_max: 1, ..step(2, 1_000) };
    let record = job("a", vec![long_running], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2")]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    let run_for = |sim: &mut Simulation, time| {
        let until = sim.now + time;
        while sim.now < until {
            sim.now += millis(100);
            for running in sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
                running.progress_percent = 100;
            }
            sim.report_all();
            sim.run_round();
        }
    };
    // The previous owner may have commanded the unit on w2 to stop; it is listed until it has
    // stopped.
    run_for(&mut sim, millis(900));
    assert_eq!(sim.worker("w1").running.len(), 1);
    run_for(&mut sim, millis(600));
    assert!(sim.worker("w1").running.is_empty(), "the unit on w2 keeps running");
}

/// A report that was made before the previous owner's stop has taken effect tells nothing of what
/// runs afterwards, however long ago the takeover was.
#[test]
fn a_new_owner_does_not_rely_on_a_report_from_the_time_of_its_takeover() {
    let mut sim = Simulation::new(&["w1", "w2"], config(3, NO_QUOTA));
    let long_running =
        Step { is_long_running: true, per_worker_max: 1, unavailable_max: 1, ..step(2, 1_000) };
    let record = job("a", vec![long_running], sim.now);
    sim.scheduler.add_job(record.clone(), sim.now);
    assert_eq!(sim.run_round().len(), 2);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[record]);
    sim.list_hosts_in_pool(&[("h1", "w1"), ("h2", "w2")]);
    sim.scheduler.set_waves(vec![wave(&["h1"], 1)], sim.now);
    for running in sim.workers.iter_mut().flat_map(|worker| &mut worker.running) {
        running.progress_percent = 100;
    }
    sim.report_all();
    // The unit on w2 stops after the report, and the replies of w2 are late.
    sim.worker("w2").running.clear();
    sim.worker("w2").is_responsive = false;
    for _ in 0..14 {
        sim.now += millis(100);
        sim.report_all();
        sim.run_round();
        assert_eq!(sim.worker("w1").running.len(), 1, "the unit on w2 may be stopped");
    }
}
