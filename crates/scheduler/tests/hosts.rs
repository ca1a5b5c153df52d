//! Hosts that are moved or maintained: emptied first, within the budgets of lasting steps.

#[path = "common/world.rs"]
mod world;

use scheduler::Action;
use scheduler::HostReply;
use scheduler::Resources;
use scheduler::StartReply;
use scheduler::Step;
use scheduler::Wave;
use world::World;
use world::config;
use world::job;
use world::millis;
use world::seconds;
use world::step;

const NO_BOUND: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

fn wave(hosts: &[&str], unavailable_hosts_max: usize) -> Wave {
    let hosts = hosts.iter().map(|host| (*host).into()).collect();
    Wave { id: 1, hosts, duration_ms: 20_000, unavailable_hosts_max }
}

fn maintained(world: &World) -> Vec<String> {
    let maintained = world.others.iter().filter_map(|action| match action {
        Action::MaintainHost { host, .. } => Some(host.to_string()),
        _ => None,
    });
    maintained.collect()
}

#[test]
fn a_host_is_not_ordered_before_its_worker_has_answered() {
    let mut world = World::new(&["w1", "w2", "w3"], config(3, NO_BOUND));
    let lasting =
        Step { is_long_running: true, per_worker_max: 1, unavailable_max: 1, ..step(2, 1_000) };
    let record = job("a", vec![lasting], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    let used = world.round()[0].worker.clone();
    world.worker(&used).answers = false;
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    world.list_hosts(&[("h1", &used)]);
    world.scheduler.set_waves(vec![wave(&["h1"], 1)], world.now);
    world.pass(seconds(2));
    assert!(maintained(&world).is_empty());
}

#[test]
fn no_more_hosts_of_a_wave_are_down_than_may_be() {
    let mut world = World::new(&["w1", "w2", "w3"], config(3, NO_BOUND));
    world.list_hosts(&[("h1", "w1"), ("h2", "w2"), ("h3", "w3")]);
    world.scheduler.set_waves(vec![wave(&["h1", "h2", "h3"], 1)], world.now);
    world.pass(millis(600));
    assert_eq!(maintained(&world).len(), 1);
    let first = maintained(&world)[0].as_str().into();
    world.scheduler.handle_host_reply(&first, HostReply::Accepted, world.now);
    // A list that is older than the order shows the host as it was.
    world.list_hosts(&[("h1", "w1"), ("h2", "w2"), ("h3", "w3")]);
    world.pass(millis(600));
    assert_eq!(maintained(&world).len(), 1);
}

#[test]
fn lasting_units_leave_a_host_one_after_another() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let lasting =
        Step { is_long_running: true, per_worker_max: 2, unavailable_max: 1, ..step(2, 1_000) };
    world.scheduler.add_job(job("a", vec![lasting], world.now), world.now);
    let used = world.round()[0].worker.clone();
    // The owner has known its workers for a while.
    world.now += seconds(2);
    for running in &mut world.worker(&used).running {
        running.progress_percent = 100;
    }
    world.report_all();
    world.list_hosts(&[("h1", &used)]);
    world.scheduler.set_waves(vec![wave(&["h1"], 1)], world.now);
    for _ in 0..5 {
        world.now += millis(100);
        world.round();
    }
    assert_eq!(world.worker(&used).running.len(), 1, "the other goes once this one is at work");
}

#[test]
fn a_host_order_is_sent_once_it_is_stored() {
    let mut world = World::new(&["w1"], config(3, NO_BOUND));
    world.list_hosts(&[("h1", "w1")]);
    world.scheduler.set_waves(vec![wave(&["h1"], 1)], world.now);
    world.scheduler.plan(world.now);
    world.carry_out();
    assert!(maintained(&world).is_empty());
    world.commit();
    world.carry_out();
    assert_eq!(maintained(&world).len(), 1);
}

#[test]
fn a_unit_that_lasts_is_not_stopped_because_its_start_was_not_answered() {
    let no_bound = Resources::default();
    let mut world = World::new(&["w1"], config(3, no_bound));
    let lasting = Step { is_long_running: true, ..step(1, 1_000) };
    world.scheduler.add_job(job("a", vec![lasting], world.now), world.now);
    world.scheduler.plan(world.now);
    world.commit();
    let start = world.scheduler.take_actions().into_iter().find_map(|action| match action {
        Action::Start(order) => Some(order),
        _ => None,
    });
    let start = start.expect("the unit is ordered");
    // The worker does not answer the order, and carries it out later.
    let unknown = StartReply::Unknown;
    world.scheduler.handle_start_reply(&start.worker, &start.unit, start.run, unknown, world.now);
    let is_stop = |action: &Action| matches!(action, Action::Stop { .. });
    assert!(!world.scheduler.take_actions().iter().any(is_stop));
    world.worker("w1").run(&start.unit, start.run);
    assert!(world.pass(millis(3_000)).is_empty(), "it goes on");
    assert_eq!(world.worker("w1").running.len(), 1);
}

#[test]
fn a_new_owner_counts_what_the_one_before_may_have_stopped_as_away() {
    let mut world = World::new(&["w1", "w2"], config(3, NO_BOUND));
    let lasting =
        Step { is_long_running: true, per_worker_max: 1, unavailable_max: 1, ..step(2, 1_000) };
    let record = job("a", vec![lasting], world.now);
    world.scheduler.add_job(record.clone(), world.now);
    assert_eq!(world.round().len(), 2);
    world.take_over(2, config(3, NO_BOUND), seconds(6), &[record]);
    world.list_hosts(&[("h1", "w1"), ("h2", "w2")]);
    world.scheduler.set_waves(vec![wave(&["h1"], 1)], world.now);
    let pass = |world: &mut World, time| {
        let until = world.now + time;
        while world.now < until {
            world.now += millis(100);
            for running in world.workers.iter_mut().flat_map(|worker| &mut worker.running) {
                running.progress_percent = 100;
            }
            world.report_all();
            world.round();
        }
    };
    // The unit on w2 may be one that was ordered to stop, and is listed until it has.
    pass(&mut world, millis(900));
    assert_eq!(world.worker("w1").running.len(), 1);
    pass(&mut world, millis(600));
    assert!(world.worker("w1").running.is_empty(), "the other one goes on");
}
