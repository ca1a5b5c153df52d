//! Results of the calls that an owner makes.

use std::sync::Arc;

use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::Moment;
use scheduler::PoolName;
use scheduler::SentPoll;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;

use crate::ports::Changes;
use crate::ports::FencingToken;
use crate::ports::ReadError;
use crate::ports::Row;
use crate::ports::WorkerError;
use crate::ports::WriteOutcome;

/// The result of a call.
#[derive(Debug)]
pub(super) enum Event {
    /// A worker was polled.
    Reported { worker: WorkerId, sent: SentPoll, result: Result<WorkerReport, WorkerError> },
    /// A command to start a run was sent.
    Started { worker: WorkerId, unit: UnitKey, run: u32, token: FencingToken, reply: StartReply },
    /// A command to stop a run was sent.
    Stopped { worker: WorkerId, unit: UnitKey, run: u32, token: FencingToken, is_answered: bool },
    /// A command to limit the speed of a run was sent.
    SpeedLimited { unit: UnitKey, run: u32, percent: u32, is_answered: bool },
    /// Advice on the candidates for a step was requested.
    Advised {
        unit: UnitKey,
        candidates: Vec<WorkerId>,
        requested_at: Moment,
        result: Result<Vec<(WorkerId, Arc<str>)>, ReadError>,
    },
    /// A transaction was sent; it wrote the owner's row with this sequence number.
    TransactionDone { sequence: u64, sent_at: Moment, outcome: WriteOutcome },
    /// Rows of the inbox were to be removed.
    InboxRemoved { keys: Vec<String>, outcome: WriteOutcome },
    /// Registrations of workers have changed.
    RegistryChanged { changes: Changes<WorkerRegistration> },
    /// The inbox was read; nodes may have stored requests.
    InboxRead { rows: Vec<Row> },
    /// Owners of shards have changed divisions.
    DivisionsChanged { rows: Vec<Row> },
    /// A change of a division was sent.
    DivisionWritten { key: String, outcome: WriteOutcome },
    /// The hosts were listed.
    HostsListed { requested_at: Moment, result: Result<Vec<HostEntry>, ReadError> },
    /// A host was commanded to move or to go into maintenance.
    HostCommanded {
        host: HostName,
        command: HostCommand,
        token: FencingToken,
        sent_at: Moment,
        reply: HostReply,
    },
    /// The state of a maintenance wave was reported to operators.
    WaveReported { wave: WaveId, state: WaveState, outcome: WriteOutcome },
}

/// What a host was commanded to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HostCommand {
    /// Move to this pool.
    Move(PoolName),
    /// Go into maintenance for this wave.
    Maintain(WaveId),
}
