//! Limits of waves whose hosts are also taken by other commands than the next one of the wave.

#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/waves.rs"]
mod waves;

use scheduler::BatchLimits;
use scheduler::HostReply;
use simulation::config;
use simulation::millis;
use simulation::seconds;
use waves::NO_QUOTA;
use waves::fleet_with_wave;
use waves::list_up;
use waves::reply;
use waves::set_wave;
use waves::take_maintained;

const LIMITS: BatchLimits =
    BatchLimits { rows_max: 100, progress_rows_max: 100, bytes_max: simulation::BATCH_BYTES_MAX };

/// Guards against a wave over its limit, when the limit is lowered while one host is in maintenance
/// and the command to another is in doubt: the latter was repeated because of its name.
#[test]
fn no_command_in_doubt_is_repeated_beside_as_many_hosts_as_a_lowered_limit_allows() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 2);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1", "h-w2"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    reply(&mut sim, "h-w2", HostReply::Accepted);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.run_for(millis(1_900));
    assert!(take_maintained(&mut sim).is_empty(), "h-w2 is in maintenance");
    sim.run_for(seconds(2));
    list_up(&mut sim, &["w1", "w2"]);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
}

/// Guards against a wave over its limit, when the limit is lowered while commands are being stored.
#[test]
fn no_more_stored_commands_are_sent_than_a_lowered_limit_allows() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 2);
    sim.report_all();
    sim.scheduler.review(sim.now);
    let batch = sim.scheduler.take_batch(LIMITS, sim.now);
    assert_eq!(batch.host_commands.as_ref().map(Vec::len), Some(2));
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.scheduler.handle_commit(&batch, sim.now);
    sim.carry_out_actions();
    assert_eq!(take_maintained(&mut sim), ["h-w1"]);
}

/// Guards against a wave over its limit, when its predecessor has repeated a command under the
/// lowered limit and a successor repeats another one: both may be carried out.
#[test]
fn a_successor_repeats_the_command_that_its_predecessor_has_repeated() {
    let mut sim = fleet_with_wave(&["w1", "w2"], 2);
    sim.run_for(millis(600));
    assert_eq!(take_maintained(&mut sim), ["h-w1", "h-w2"]);
    reply(&mut sim, "h-w2", HostReply::Unknown);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
    reply(&mut sim, "h-w1", HostReply::Unknown);
    reply(&mut sim, "h-w2", HostReply::Unknown);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    sim.run_for(seconds(1));
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
    sim.take_over(2, config(3, NO_QUOTA), seconds(6), &[]);
    set_wave(&mut sim, 1, &["w1", "w2"], 1);
    for _ in 0..10 {
        sim.run_for(seconds(1));
        list_up(&mut sim, &["w1", "w2"]);
    }
    assert_eq!(take_maintained(&mut sim), ["h-w2"]);
}
