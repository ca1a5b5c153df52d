//! The interfaces to the platform that a node needs, as narrow traits.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
pub use scheduler::FencingToken;
use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::Moment;
use scheduler::PoolName;
use scheduler::ShardIndex;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::Wave;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;
use scheduler::ZoneName;

use crate::config::CallerConfig;

/// Version of a row. Versions rise over all rows: a later write of any row has a larger one.
pub type RowVersion = u64;

/// Tables in which the nodes store their state. Unless stated otherwise, each shard has rows of its
/// own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The row of the current owner, and what an owner keeps for the next one.
    Owner,
    /// Records of live jobs.
    Jobs,
    /// Runs that are assigned to workers, started or not.
    Assignments,
    /// Progress of jobs, and the final state of finished ones.
    Progress,
    /// Requests that a node stored because it could not reach the owner; shared by all shards.
    Inbox,
    /// Divisions of quotas and maintenance waves among shards; shared by all shards.
    Divisions,
}

/// A row as read from a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Unique within the table.
    pub key: String,
    /// Encoded value, JSON for the tables of [`Table`].
    pub value: Bytes,
    /// Version of the write that produced this value.
    pub version: RowVersion,
}

/// Writes that are committed together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Shard whose rows are meant, in tables that are not shared by all shards.
    pub shard: ShardIndex,
    /// Rows with the version that they must have; 0 for a row that must not exist.
    pub preconditions: Vec<(Table, String, RowVersion)>,
    /// Rows to write, with their new values.
    pub puts: Vec<(Table, String, Bytes)>,
    /// Rows to remove.
    pub removals: Vec<(Table, String)>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The transaction is committed, and its rows have this version.
    Committed(RowVersion),
    /// A precondition did not hold and nothing was written. Holds the current rows of the
    /// preconditions.
    Conflict(Vec<Row>),
    /// Nothing was written; the transaction may be retried. Holds the reason.
    Refused(String),
    /// Nothing was written, and the store will never accept the transaction as it is. Holds the
    /// reason.
    Rejected(String),
    /// No reply: the transaction may be committed already, or may be committed later. Holds the
    /// reason.
    Unknown(String),
}

/// Failure of a read from the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform refused the call.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No reply came in time.
    #[error("the platform did not answer: {0}")]
    NoReply(String),
    /// The reply could not be decoded.
    #[error("the platform's reply could not be decoded: {0}")]
    Malformed(String),
    /// The platform no longer keeps the changes since the requested version.
    #[error("the platform no longer keeps the changes since that version")]
    HistoryGone,
}

/// Changes of a table or list since an earlier read.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// New and changed entries.
    pub changed: Vec<T>,
    /// Keys of removed rows. A row that is also in `changed` was written again after its removal.
    pub removed: Vec<String>,
    /// Whether `changed` is the complete content rather than the difference from an earlier read.
    pub is_snapshot: bool,
    /// Version of the last change that is included; the next call asks for changes after it.
    pub version: RowVersion,
}

impl<T> Default for Changes<T> {
    fn default() -> Self {
        Self { changed: Vec::new(), removed: Vec::new(), is_snapshot: false, version: 0 }
    }
}

/// What is known of the row of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationRow {
    /// The row requests the evacuation.
    Valid,
    /// The row can't be read: an evacuation that is going on continues, and none begins.
    Malformed,
    /// The row was removed.
    Removed,
}

/// A change of the evacuation of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: ZoneName,
    /// What is known of its row.
    pub row: EvacuationRow,
}

/// Something that operators have written.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A new version of the configuration.
    Config(Arc<CallerConfig>),
    /// A new or changed maintenance wave.
    Wave(Wave),
    /// A change of an evacuation.
    Evacuation(EvacuationChange),
}

/// Parameters of a poll, which renews a worker's lease and returns its runs.
#[derive(Clone, Debug)]
pub struct LeaseRequest {
    /// Id of the worker; a worker with another id refuses the request.
    pub worker: WorkerId,
    /// Address from the worker's registration.
    pub address: SocketAddr,
    /// Fencing token of calls to this incarnation of the worker.
    pub token: FencingToken,
    /// Completions up to this number are stored, and the worker may drop them; 0 to acknowledge
    /// none.
    pub acknowledged_completion: u64,
    /// When the known incarnation is known to have run; `None` if it hasn't replied.
    pub known_at: Option<Moment>,
    /// Whether completions are acknowledged also on a connection that isn't known to lead to this
    /// incarnation. A later one would take the number for one of its new completions.
    pub may_acknowledge_on_any_connection: bool,
    /// End of the lease by the worker's clock, in milliseconds; none to poll without renewing the
    /// lease.
    pub deadline_ms: Option<u64>,
    /// How long the worker may hold back its reply to wait for a completion.
    pub wait: Duration,
}

/// Reply to a poll.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseReply {
    /// Runs and completions of the worker.
    pub report: WorkerReport,
    /// Completions up to this number were acknowledged; 0 if none were.
    pub acknowledged_completion: u64,
    /// Completions were to be acknowledged, but not on the connection that the poll was sent on.
    pub is_acknowledgement_withheld: bool,
}

impl LeaseReply {
    /// Creates the reply to a poll that acknowledged completions up to `acknowledged`, where they were to
    /// be acknowledged up to `requested`.
    pub fn new(report: WorkerReport, acknowledged: u64, requested: u64) -> Self {
        let is_acknowledgement_withheld = acknowledged < requested;
        Self { report, acknowledged_completion: acknowledged, is_acknowledgement_withheld }
    }
}

/// Failure of a poll of a worker.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// The worker has seen a higher fencing token.
    #[error("the worker has seen a higher fencing token")]
    Fenced,
    /// Another instance replies at the worker's address.
    #[error("another instance answers at the worker's address")]
    OtherInstance,
    /// No process listens at the worker's address.
    #[error("nothing listens at the worker's address: {0}")]
    NotListening(String),
    /// The connection broke off before the worker had to reply.
    #[error("the connection broke off: {0}")]
    BrokenOff(String),
    /// No reply, or one that could not be decoded.
    #[error("the worker did not answer: {0}")]
    NoReply(String),
}

/// The platform's table.
pub trait Store: Send + Sync + 'static {
    /// Reads a row of a shard; none if no row has this key.
    fn get(
        &self,
        shard: ShardIndex,
        table: Table,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, ReadError>> + Send;

    /// Reads all rows that a shard has in a table, with the version after which to ask for changes.
    fn read_all(
        &self,
        shard: ShardIndex,
        table: Table,
    ) -> impl Future<Output = Result<Changes<Row>, ReadError>> + Send;

    /// Returns the rows of a table that all shards share that were written after a version; waits
    /// up to `wait` if there are none yet.
    fn changes(
        &self,
        table: Table,
        after: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Row>, ReadError>> + Send;

    /// Commits a transaction. Writes to the inbox and to divisions come in transactions of their
    /// own, so that they and writes to the other tables don't wait for each other.
    fn write(&self, transaction: Transaction) -> impl Future<Output = WriteOutcome> + Send;

    /// Removes rows of the inbox, possibly in several transactions.
    fn remove_from_inbox(&self, keys: Vec<String>) -> impl Future<Output = WriteOutcome> + Send;
}

/// What operators write, and the status that is reported to them.
pub trait Operators: Send + Sync + 'static {
    /// Returns what operators wrote after a version, or everything if it is none; waits up to
    /// `wait` for a change.
    fn operator_changes(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<OperatorChange>, ReadError>> + Send;

    /// Reports the state of a maintenance wave to operators.
    fn report_wave(
        &self,
        wave: WaveId,
        state: WaveState,
    ) -> impl Future<Output = WriteOutcome> + Send;
}

/// The registry of workers, and commands to workers.
pub trait Workers: Send + Sync + 'static {
    /// Returns the registrations that changed after a version, or all if it is none; waits up to
    /// `wait` for a change.
    fn registrations(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<WorkerRegistration>, ReadError>> + Send;

    /// Renews the lease of a worker and returns its runs and unacknowledged completions.
    fn renew_lease(
        &self,
        request: LeaseRequest,
    ) -> impl Future<Output = Result<LeaseReply, WorkerError>> + Send;

    /// Starts a run on a worker.
    fn start_run(&self, command: &StartCommand) -> impl Future<Output = StartReply> + Send;

    /// Stops a run; returns whether the worker acknowledged the command.
    fn stop_run(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        token: FencingToken,
    ) -> impl Future<Output = bool> + Send;

    /// Limits the speed of a run; returns whether the worker acknowledged the command.
    fn limit_speed(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        percent: u32,
        token: FencingToken,
    ) -> impl Future<Output = bool> + Send;

    /// Asks the advisor which of the workers may run the unit's step; returns those with their
    /// tickets.
    fn request_advice(
        &self,
        unit: &UnitKey,
        workers: &[WorkerId],
    ) -> impl Future<Output = Result<Vec<(WorkerId, Arc<str>)>, ReadError>> + Send;
}

/// The list of hosts, and commands to hosts.
pub trait Hosts: Send + Sync + 'static {
    /// Lists all hosts.
    fn list_hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, ReadError>> + Send;

    /// Moves a host to another pool.
    fn move_host(
        &self,
        host: &HostName,
        pool: &PoolName,
        holder: &str,
        token: FencingToken,
    ) -> impl Future<Output = HostReply> + Send;

    /// Maintains a host as part of a wave.
    fn maintain_host(
        &self,
        host: &HostName,
        wave: WaveId,
        holder: &str,
        token: FencingToken,
    ) -> impl Future<Output = HostReply> + Send;
}

/// All interfaces to the platform.
pub trait Platform: Store + Operators + Workers + Hosts {}

impl<T: Store + Operators + Workers + Hosts> Platform for T {}
