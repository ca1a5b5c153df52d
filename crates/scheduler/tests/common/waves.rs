//! Hosts with a worker each, and a wave over them.
#![allow(dead_code, reason = "each test binary uses a part")]

use scheduler::Action;
use scheduler::HostEntry;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::Resources;
use scheduler::Wave;
use scheduler::WaveId;

use crate::simulation::Simulation;
use crate::simulation::config;

pub const NO_QUOTA: Resources = Resources { cpu_millis: 0, memory_mb: 0, gpus: 0 };

pub fn host_of(worker: &str) -> String {
    format!("h-{worker}")
}

pub fn entry(worker: &str, state: HostState) -> HostEntry {
    HostEntry {
        name: host_of(worker).as_str().into(),
        pool: "p".into(),
        state,
        worker: (state == HostState::Up).then(|| worker.into()),
    }
}

/// Delivers a list of these hosts that was requested now.
pub fn list(sim: &mut Simulation, entries: Vec<HostEntry>) {
    sim.scheduler.set_hosts(entries, sim.now, sim.now);
}

/// Lists the host of each of these workers in service.
pub fn list_up(sim: &mut Simulation, workers: &[&str]) {
    list(sim, workers.iter().map(|worker| entry(worker, HostState::Up)).collect());
}

/// Sets a wave over the hosts of these workers.
pub fn set_wave(sim: &mut Simulation, id: WaveId, workers: &[&str], unavailable_hosts_max: usize) {
    let hosts = workers.iter().map(|worker| host_of(worker).as_str().into()).collect();
    let wave = Wave { id, hosts, duration_ms: 20_000, unavailable_hosts_max };
    sim.scheduler.set_waves(vec![wave], sim.now);
}

/// Creates a pool with a host for each of these workers, and a wave over all of them.
pub fn fleet_with_wave(workers: &[&str], unavailable_hosts_max: usize) -> Simulation {
    let mut sim = Simulation::new(workers, config(3, NO_QUOTA));
    list_up(&mut sim, workers);
    set_wave(&mut sim, 1, workers, unavailable_hosts_max);
    sim
}

/// Removes and returns the hosts that were commanded to go into maintenance, in order.
pub fn take_maintained(sim: &mut Simulation) -> Vec<String> {
    let maintained = sim.other_actions.drain(..).filter_map(|action| match action {
        Action::MaintainHost { host, .. } => Some(host.to_string()),
        _ => None,
    });
    maintained.collect()
}

pub fn reply(sim: &mut Simulation, host: &str, reply: HostReply) {
    sim.scheduler.handle_host_reply(&host.into(), reply, sim.now);
}
