//! Stand-in for the platform's host list and reboots, with faults that a test can set.
//!
//! Each completed reboot increments the host's boot count. Reboot requests are idempotent: a
//! repeated operation id starts no second reboot.

use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_trait::async_trait;
use model::HostId;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;
use services::Fleet;
use services::FleetHost;
use services::FleetHostState;
use services::RebootState;
use services::Unavailable;

/// Faults of the host list and of reboots; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetFaults {
    /// The list is returned as it was when the faults were set.
    #[serde(rename = "list_frozen")]
    pub is_list_frozen: bool,
    /// Duration of a reboot, in milliseconds.
    pub reboot_ms: u64,
    /// Hosts whose reboots never complete and stay reported as running.
    #[serde(rename = "never_ending")]
    pub stuck_hosts: Vec<HostId>,
    /// Hosts whose reboots are reported as failed.
    #[serde(rename = "failing")]
    pub failing_hosts: Vec<HostId>,
    /// Number of coming reboot requests that take effect but whose replies are lost.
    #[serde(rename = "lose_answers")]
    pub lose_replies: u32,
}

/// A reboot that was requested.
#[derive(Clone, Debug)]
pub struct Reboot {
    /// Host to reboot.
    pub host: HostId,
    /// Operation id of the request.
    pub operation: OperationId,
    started: Instant,
    is_done: bool,
}

/// In-memory host list and reboots.
#[derive(Default)]
pub struct StandinFleet {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    hosts: Vec<FleetHost>,
    /// Host list at the time when the faults were set.
    frozen_hosts: Vec<FleetHost>,
    reboots: Vec<Reboot>,
    faults: FleetFaults,
}

impl StandinFleet {
    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<FleetHost>) {
        self.state.lock().expect("lock is never poisoned").hosts = hosts;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: FleetFaults) {
        let mut state = self.state.lock().expect("lock is never poisoned");
        state.complete_due_reboots();
        state.frozen_hosts = state.hosts.clone();
        state.faults = faults;
    }

    /// Returns all reboots in the order in which they were started.
    pub fn reboots(&self) -> Vec<Reboot> {
        self.state.lock().expect("lock is never poisoned").reboots.clone()
    }
}

impl State {
    /// Completes the reboots whose duration has passed, and updates `seen_at` of the live hosts that
    /// are not rebooting.
    fn complete_due_reboots(&mut self) {
        let reboot_time = Duration::from_millis(self.faults.reboot_ms);
        for index in 0..self.reboots.len() {
            let reboot = &self.reboots[index];
            let never_completes = self.faults.stuck_hosts.contains(&reboot.host)
                || self.faults.failing_hosts.contains(&reboot.host);
            if reboot.is_done || never_completes || reboot.started.elapsed() < reboot_time {
                continue;
            }
            self.reboots[index].is_done = true;
            let host = self.reboots[index].host.clone();
            for entry in self.hosts.iter_mut().filter(|entry| entry.id == host) {
                entry.boot_count += 1;
            }
        }
        for entry in self.hosts.iter_mut().filter(|e| e.state == FleetHostState::Live) {
            let is_running = |reboot: &Reboot| reboot.host == entry.id && !reboot.is_done;
            if !self.reboots.iter().any(is_running) {
                entry.seen_at = SystemTime::now();
            }
        }
    }

    fn reboot_state(&self, reboot: &Reboot) -> RebootState {
        if reboot.is_done {
            RebootState::Done
        } else if self.faults.failing_hosts.contains(&reboot.host) {
            RebootState::Failed
        } else {
            RebootState::Running
        }
    }
}

#[async_trait]
impl Fleet for StandinFleet {
    async fn hosts(&self) -> Result<Vec<FleetHost>, Unavailable> {
        let mut state = self.state.lock().expect("lock is never poisoned");
        if state.faults.is_list_frozen {
            return Ok(state.frozen_hosts.clone());
        }
        state.complete_due_reboots();
        Ok(state.hosts.clone())
    }

    async fn reboot(
        &self,
        host: &str,
        operation: &OperationId,
    ) -> Result<RebootState, Unavailable> {
        let mut state = self.state.lock().expect("lock is never poisoned");
        if !state.reboots.iter().any(|reboot| reboot.operation == *operation) {
            state.reboots.push(Reboot {
                host: host.into(),
                operation: operation.clone(),
                started: Instant::now(),
                is_done: false,
            });
        }
        state.complete_due_reboots();
        if state.faults.lose_replies > 0 {
            state.faults.lose_replies -= 1;
            return Err(Unavailable::new("the reply was lost"));
        }
        let reboot = state.reboots.iter().find(|reboot| reboot.operation == *operation);
        Ok(reboot.map_or(RebootState::Running, |reboot| state.reboot_state(reboot)))
    }
}
