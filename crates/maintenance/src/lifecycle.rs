//! Life cycle of a host as a typestate over its row.
//!
//! Each state is a type that offers only the transitions out of that state, so code with a
//! transition that the life cycle does not have does not compile. A transition consumes the host
//! and increments the epoch of its row.

use std::marker::PhantomData;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::ConfigVersion;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::StopReason;

/// Accepts new work.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// Accepts no new work; running work finishes.
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// Runs no work.
#[derive(Clone, Copy, Debug)]
pub struct Drained;
/// Is rebooted by the platform.
#[derive(Clone, Copy, Debug)]
pub struct Rebooting;
/// Is up again, but its backend server has not yet been shown to be healthy.
#[derive(Clone, Copy, Debug)]
pub struct Returning;
/// Is absent or broken.
#[derive(Clone, Copy, Debug)]
pub struct Failed;

/// Evidence that no node has work running on a host, and that none will start any.
#[derive(Clone, Copy, Debug)]
pub struct Idle(pub(crate) ());

/// Evidence that a host has booted since its state began.
#[derive(Clone, Copy, Debug)]
pub struct Booted {
    pub(crate) boot_count: Option<u64>,
}

/// Evidence that a host's backend server is healthy.
#[derive(Clone, Copy, Debug)]
pub struct Healthy(pub(crate) ());

/// Time and configuration version of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Version that the change will produce.
    pub version: ConfigVersion,
    /// Current time.
    pub now: SystemTime,
}

impl Moment {
    /// Returns the time since the Unix epoch in milliseconds; 0 for a time before it.
    pub fn now_ms(&self) -> u64 {
        self.now.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
    }
}

/// A host in state `S`.
#[derive(Clone, Debug)]
pub struct Host<S> {
    row: HostRow,
    state: PhantomData<S>,
}

/// A host in any state.
#[derive(Clone, Debug)]
#[allow(missing_docs)]
pub enum AnyHost {
    Serving(Host<Serving>),
    Draining(Host<Draining>),
    Drained(Host<Drained>),
    Rebooting(Host<Rebooting>),
    Returning(Host<Returning>),
    Failed(Host<Failed>),
}

impl From<&HostRow> for AnyHost {
    fn from(row: &HostRow) -> Self {
        match row.state {
            HostState::Serving => Self::Serving(Host::from_row(row)),
            HostState::Draining => Self::Draining(Host::from_row(row)),
            HostState::Drained => Self::Drained(Host::from_row(row)),
            HostState::Rebooting => Self::Rebooting(Host::from_row(row)),
            HostState::Returning => Self::Returning(Host::from_row(row)),
            HostState::Failed => Self::Failed(Host::from_row(row)),
        }
    }
}

impl<S> Host<S> {
    /// Returns the row of the host.
    pub fn row(&self) -> &HostRow {
        &self.row
    }

    /// Returns the row of the host for storing it.
    pub fn into_row(self) -> HostRow {
        self.row
    }

    fn from_row(row: &HostRow) -> Self {
        Self { row: row.clone(), state: PhantomData }
    }

    fn transition_to<T>(mut self, state: HostState, moment: Moment) -> Host<T> {
        self.row.state = state;
        self.row.epoch += 1;
        self.row.since_version = moment.version;
        self.row.since_ms = moment.now_ms();
        Host { row: self.row, state: PhantomData }
    }

    fn with_reason(mut self, reason: Option<StopReason>) -> Self {
        self.row.reason = reason;
        self
    }
}

impl Host<Serving> {
    /// Stops new work on the host. The caller has checked the availability budget.
    pub fn drain(
        self,
        reason: StopReason,
        move_to: Option<PoolId>,
        moment: Moment,
    ) -> Host<Draining> {
        let mut host = self.with_reason(Some(reason)).transition_to(HostState::Draining, moment);
        host.row.move_to = move_to;
        host
    }

    /// Records that the host failed while it was serving.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.with_reason(Some(reason)).transition_to(HostState::Failed, moment)
    }
}

impl Host<Draining> {
    /// Lets the host accept new work again; its running work was never interrupted.
    pub fn cancel(self, moment: Moment) -> Host<Serving> {
        let mut host = self.with_reason(None).transition_to(HostState::Serving, moment);
        host.row.move_to = None;
        host
    }

    /// Records that no work is running any more.
    pub fn drained(self, _idle: Idle, moment: Moment) -> Host<Drained> {
        self.transition_to(HostState::Drained, moment)
    }

    /// Records that the host failed while it was draining.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.with_reason(Some(reason)).transition_to(HostState::Failed, moment)
    }
}

impl Host<Drained> {
    /// Puts the host into the pool that it moves to.
    pub fn change_pool(self, moment: Moment) -> Host<Returning> {
        let mut host =
            self.with_reason(Some(StopReason::Move)).transition_to(HostState::Returning, moment);
        if let Some(pool) = host.row.move_to.take() {
            host.row.spec.pool = pool;
        }
        host
    }

    /// Lets the platform reboot the host. `boot_count` is that of the current boot, if it is known.
    pub fn reboot(self, boot_count: Option<u64>, moment: Moment) -> Host<Rebooting> {
        let mut host = self.transition_to(HostState::Rebooting, moment);
        host.row.boot_count = boot_count;
        host
    }

    /// Returns the host to its pool without a reboot, and cancels its move.
    pub fn return_to_pool(self, moment: Moment) -> Host<Returning> {
        let mut host = self.transition_to(HostState::Returning, moment);
        host.row.move_to = None;
        host
    }

    /// Records that the host failed while it was drained.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.with_reason(Some(reason)).transition_to(HostState::Failed, moment)
    }
}

impl Host<Rebooting> {
    /// Records that the host has booted, which completes its maintenance.
    pub fn booted(self, booted: Booted, moment: Moment) -> Host<Returning> {
        let mut host = self.transition_to(HostState::Returning, moment);
        host.row.boot_count = booted.boot_count;
        host.row.maintenance_ended_ms = Some(moment.now_ms());
        host
    }

    /// Records that the host did not come back from its reboot.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.with_reason(Some(reason)).transition_to(HostState::Failed, moment)
    }
}

impl Host<Returning> {
    /// Lets the host accept new work.
    pub fn serve(self, _healthy: Healthy, moment: Moment) -> Host<Serving> {
        let mut host = self.with_reason(None).transition_to(HostState::Serving, moment);
        host.row.move_to = None;
        host
    }

    /// Records that the host did not become healthy.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.with_reason(Some(reason)).transition_to(HostState::Failed, moment)
    }
}

impl Host<Failed> {
    /// Records that the host is up again after a repair.
    pub fn repaired(self, booted: Booted, moment: Moment) -> Host<Returning> {
        let mut host = self.transition_to(HostState::Returning, moment);
        host.row.boot_count = booted.boot_count;
        host.row.move_to = None;
        host
    }
}
