//! The platform's host list and reboots, with faults that a test can set.
//!
//! Each reboot raises the host's boot number. A repeat with a known operation id starts nothing new.

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

/// Faults of the host list and of reboots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetFaults {
    /// The list stays as it was when this was set.
    #[serde(rename = "list_frozen")]
    pub is_list_frozen: bool,
    /// Time that a reboot takes, in milliseconds.
    pub reboot_ms: u64,
    /// Hosts whose reboots never end.
    #[serde(rename = "never_ending")]
    pub stuck_hosts: Vec<HostId>,
    /// Hosts whose reboots the platform gives up.
    #[serde(rename = "failing")]
    pub failing_hosts: Vec<HostId>,
    /// Reboots begin and their answers are lost, this many times.
    #[serde(rename = "lose_answers")]
    pub lose_replies: u32,
}

/// A reboot that was asked for.
#[derive(Clone, Debug)]
pub struct Reboot {
    /// Host.
    pub host: HostId,
    /// Operation id.
    pub operation: OperationId,
    started: Instant,
    done: bool,
}

/// Host list and reboots in memory.
#[derive(Default)]
pub struct StandinFleet {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    listed: Vec<FleetHost>,
    frozen: Vec<FleetHost>,
    reboots: Vec<Reboot>,
    faults: FleetFaults,
}

impl StandinFleet {
    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<FleetHost>) {
        self.state.lock().expect("no holder panics").listed = hosts;
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: FleetFaults) {
        let mut state = self.state.lock().expect("no holder panics");
        state.settle();
        state.frozen = state.listed.clone();
        state.faults = faults;
    }

    /// Reboots that began, in order.
    pub fn reboots(&self) -> Vec<Reboot> {
        self.state.lock().expect("no holder panics").reboots.clone()
    }
}

impl State {
    /// Ends the reboots whose time has come, and sees the hosts that are up.
    fn settle(&mut self) {
        let reboot_time = Duration::from_millis(self.faults.reboot_ms);
        for index in 0..self.reboots.len() {
            let reboot = &self.reboots[index];
            let stuck = self.faults.stuck_hosts.contains(&reboot.host)
                || self.faults.failing_hosts.contains(&reboot.host);
            if reboot.done || stuck || reboot.started.elapsed() < reboot_time {
                continue;
            }
            self.reboots[index].done = true;
            let host = self.reboots[index].host.clone();
            for entry in self.listed.iter_mut().filter(|entry| entry.id == host) {
                entry.boot_count += 1;
            }
        }
        for entry in self.listed.iter_mut().filter(|e| e.state == FleetHostState::Live) {
            let goes_on = |reboot: &Reboot| reboot.host == entry.id && !reboot.done;
            if !self.reboots.iter().any(goes_on) {
                entry.seen_at = SystemTime::now();
            }
        }
    }

    fn reboot_state(&self, reboot: &Reboot) -> RebootState {
        if reboot.done {
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
        let mut state = self.state.lock().expect("no holder panics");
        if state.faults.is_list_frozen {
            return Ok(state.frozen.clone());
        }
        state.settle();
        Ok(state.listed.clone())
    }

    async fn reboot(
        &self,
        host: &str,
        operation: &OperationId,
    ) -> Result<RebootState, Unavailable> {
        let mut state = self.state.lock().expect("no holder panics");
        if !state.reboots.iter().any(|reboot| reboot.operation == *operation) {
            state.reboots.push(Reboot {
                host: host.into(),
                operation: operation.clone(),
                started: Instant::now(),
                done: false,
            });
        }
        state.settle();
        if state.faults.lose_replies > 0 {
            state.faults.lose_replies -= 1;
            return Err(Unavailable::new("the answer was lost"));
        }
        let found = state.reboots.iter().find(|reboot| reboot.operation == *operation);
        Ok(found.map_or(RebootState::Running, |reboot| state.reboot_state(reboot)))
    }
}
