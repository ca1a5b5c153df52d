//! Life cycle of a host as a typestate over its row.
//!
//! Each state is a type and offers only the steps that lead out of it, so a step that the life cycle
//! does not have cannot be written. A step consumes the host and raises the epoch of its row.

use std::marker::PhantomData;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use model::ConfigVersion;
use model::HostRow;
use model::HostState;
use model::PoolId;
use model::StopReason;

/// Takes new work.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// Takes no new work; running work ends.
#[derive(Clone, Copy, Debug)]
pub struct Draining;
/// Runs nothing.
#[derive(Clone, Copy, Debug)]
pub struct Drained;
/// The platform reboots it.
#[derive(Clone, Copy, Debug)]
pub struct Rebooting;
/// Up again, not yet shown to be healthy.
#[derive(Clone, Copy, Debug)]
pub struct Returning;
/// Lost or broken.
#[derive(Clone, Copy, Debug)]
pub struct Failed;

/// Evidence that no node has work running on a host, nor will start any.
#[derive(Clone, Copy, Debug)]
pub struct Idle(pub(crate) ());

/// Evidence that a host has booted since an event.
#[derive(Clone, Copy, Debug)]
pub struct Booted {
    pub(crate) boot_count: Option<u64>,
}

/// Evidence that a host's backend server is healthy.
#[derive(Clone, Copy, Debug)]
pub struct Healthy(pub(crate) ());

/// Time and version that a step leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Version of the change that the step is part of.
    pub version: ConfigVersion,
    /// Present time.
    pub now: SystemTime,
}

impl Moment {
    /// Time since the Unix epoch, in milliseconds.
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
            HostState::Serving => Self::Serving(Host::of(row)),
            HostState::Draining => Self::Draining(Host::of(row)),
            HostState::Drained => Self::Drained(Host::of(row)),
            HostState::Rebooting => Self::Rebooting(Host::of(row)),
            HostState::Returning => Self::Returning(Host::of(row)),
            HostState::Failed => Self::Failed(Host::of(row)),
        }
    }
}

impl<S> Host<S> {
    /// Row of the host.
    pub fn row(&self) -> &HostRow {
        &self.row
    }

    /// Row of the host, to be stored.
    pub fn into_row(self) -> HostRow {
        self.row
    }

    fn of(row: &HostRow) -> Self {
        Self { row: row.clone(), state: PhantomData }
    }

    fn step<T>(mut self, state: HostState, moment: Moment) -> Host<T> {
        self.row.state = state;
        self.row.epoch += 1;
        self.row.since_version = moment.version;
        self.row.since_ms = moment.now_ms();
        Host { row: self.row, state: PhantomData }
    }

    fn because(mut self, reason: Option<StopReason>) -> Self {
        self.row.reason = reason;
        self
    }
}

impl Host<Serving> {
    /// Takes no new work from now on; the budget has been checked.
    pub fn drain(
        self,
        reason: StopReason,
        move_to: Option<PoolId>,
        moment: Moment,
    ) -> Host<Draining> {
        let mut host = self.because(Some(reason)).step(HostState::Draining, moment);
        host.row.move_to = move_to;
        host
    }

    /// Lost while it was serving.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.because(Some(reason)).step(HostState::Failed, moment)
    }
}

impl Host<Draining> {
    /// Takes new work again; it never stopped running.
    pub fn cancel(self, moment: Moment) -> Host<Serving> {
        let mut host = self.because(None).step(HostState::Serving, moment);
        host.row.move_to = None;
        host
    }

    /// Runs nothing any more.
    pub fn drained(self, _idle: Idle, moment: Moment) -> Host<Drained> {
        self.step(HostState::Drained, moment)
    }

    /// Lost while it was draining.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.because(Some(reason)).step(HostState::Failed, moment)
    }
}

impl Host<Drained> {
    /// Changes the pool to the one that the host moves to.
    pub fn change_pool(self, moment: Moment) -> Host<Returning> {
        let mut host = self.because(Some(StopReason::Move)).step(HostState::Returning, moment);
        if let Some(pool) = host.row.move_to.take() {
            host.row.spec.pool = pool;
        }
        host
    }

    /// The platform may reboot it from now on; `boot_count` is the last boot that was seen.
    pub fn reboot(self, boot_count: Option<u64>, moment: Moment) -> Host<Rebooting> {
        let mut host = self.step(HostState::Rebooting, moment);
        host.row.boot_count = boot_count;
        host
    }

    /// Comes back without a reboot.
    pub fn return_to_pool(self, moment: Moment) -> Host<Returning> {
        let mut host = self.step(HostState::Returning, moment);
        host.row.move_to = None;
        host
    }

    /// Lost while it was drained.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.because(Some(reason)).step(HostState::Failed, moment)
    }
}

impl Host<Rebooting> {
    /// Has booted.
    pub fn booted(self, booted: Booted, moment: Moment) -> Host<Returning> {
        let mut host = self.step(HostState::Returning, moment);
        host.row.boot_count = booted.boot_count;
        host.row.maintained_ms = Some(moment.now_ms());
        host
    }

    /// Did not come back.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.because(Some(reason)).step(HostState::Failed, moment)
    }
}

impl Host<Returning> {
    /// Takes new work.
    pub fn serve(self, _healthy: Healthy, moment: Moment) -> Host<Serving> {
        let mut host = self.because(None).step(HostState::Serving, moment);
        host.row.move_to = None;
        host
    }

    /// Is broken.
    pub fn fail(self, reason: StopReason, moment: Moment) -> Host<Failed> {
        self.because(Some(reason)).step(HostState::Failed, moment)
    }
}

impl Host<Failed> {
    /// Is up again after a repair.
    pub fn repaired(self, booted: Booted, moment: Moment) -> Host<Returning> {
        let mut host = self.step(HostState::Returning, moment);
        host.row.boot_count = booted.boot_count;
        host.row.move_to = None;
        host
    }
}
