//! What a node needs of the platform, as narrow traits.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::PoolName;
use scheduler::Report;
use scheduler::StartOrder;
use scheduler::StartReply;
use scheduler::UnitKey;
use scheduler::Wave;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerEntry;
use scheduler::WorkerId;

use crate::config::CallerConfig;

/// Version of a row; a later write of any row has a larger one.
pub type RowVersion = u64;
/// Number that an owner's orders carry; workers refuse a lower one than they have seen.
pub type FencingToken = u64;

/// Tables of the product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// Who owns the scheduling.
    Owner,
    /// Records of live jobs.
    Jobs,
    /// What workers run, or are to run.
    Assignments,
    /// Progress of jobs, and how they ended.
    Progress,
    /// Requests that a node stored since it could not reach the owner.
    Inbox,
}

/// A row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Version.
    pub version: RowVersion,
}

/// Writes that happen together or not at all.
#[derive(Clone, Debug, Default)]
pub struct Transaction {
    /// Rows with the version that they must have; 0 for a row that must not exist.
    pub preconditions: Vec<(Table, String, RowVersion)>,
    /// Rows that are written.
    pub puts: Vec<(Table, String, Bytes)>,
    /// Rows that are removed.
    pub removals: Vec<(Table, String)>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is in force; the version of its rows.
    Committed(RowVersion),
    /// A precondition did not hold; nothing was written. The rows of the preconditions as they are.
    Conflict(Vec<Row>),
    /// Nothing was written; it may be tried again.
    Refused(String),
    /// No answer; it may be in force, or come into force later.
    Unknown(String),
}

/// A call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform refused it.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// No answer came in time.
    #[error("the platform did not answer: {0}")]
    NoReply(String),
    /// The answer could not be read.
    #[error("the platform's answer could not be read: {0}")]
    Malformed(String),
    /// The changes since the version that was named are not kept any more.
    #[error("the changes since then are not kept any more")]
    HistoryGone,
}

/// Rows that have changed.
#[derive(Clone, Debug)]
pub struct Changes<T> {
    /// Changed entries.
    pub changed: Vec<T>,
    /// Keys of removed rows.
    pub removed: Vec<String>,
    /// True if `changed` is all that there is.
    pub is_snapshot: bool,
    /// Version up to which the changes go.
    pub version: RowVersion,
}

impl<T> Default for Changes<T> {
    fn default() -> Self {
        Self { changed: Vec::new(), removed: Vec::new(), is_snapshot: false, version: 0 }
    }
}

/// What operators have written.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A configuration.
    Config(Arc<CallerConfig>),
    /// A maintenance wave.
    Wave(Wave),
}

/// A lease and a look at what a worker runs.
#[derive(Clone, Debug)]
pub struct LeaseRequest {
    /// Worker.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Fencing token.
    pub token: FencingToken,
    /// Ends up to this number are stored.
    pub ends_stored: u64,
    /// End of the lease by the worker's clock, in milliseconds; none to ask for no lease.
    pub deadline_ms: Option<u64>,
    /// How long the answer may wait for an end.
    pub wait: Duration,
}

/// A worker could not be asked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WorkerError {
    /// It has seen a higher fencing token.
    #[error("the worker has seen a higher fencing token")]
    Fenced,
    /// Another instance answers at its address.
    #[error("another instance answers at the worker's address")]
    OtherInstance,
    /// No process listens at its address.
    #[error("nothing listens at the worker's address: {0}")]
    NotListening(String),
    /// No answer, or one that could not be read.
    #[error("the worker did not answer: {0}")]
    NoReply(String),
}

/// The platform's table.
pub trait Store: Send + Sync + 'static {
    /// A row; none if there is none with this key.
    fn get(
        &self,
        table: Table,
        key: &str,
    ) -> impl Future<Output = Result<Option<Row>, ReadError>> + Send;

    /// All rows of a table, with the version from which on changes are to be asked for.
    fn read_all(
        &self,
        table: Table,
    ) -> impl Future<Output = Result<Changes<Row>, ReadError>> + Send;

    /// Rows that were written since a version; waits up to `wait` for one.
    fn changes(
        &self,
        table: Table,
        after: RowVersion,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<Row>, ReadError>> + Send;

    /// Writes rows. Those of the inbox are written without those of other tables, so that neither
    /// waits for the other.
    fn write(&self, transaction: Transaction) -> impl Future<Output = WriteOutcome> + Send;

    /// Removes rows of the inbox, not all at once.
    fn remove_from_inbox(&self, keys: Vec<String>) -> impl Future<Output = WriteOutcome> + Send;
}

/// What operators have written, and what they are told.
pub trait Operators: Send + Sync + 'static {
    /// What was written since a version, or all of it; waits up to `wait` for a change.
    fn operator_changes(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<OperatorChange>, ReadError>> + Send;

    /// Tells the state of a wave.
    fn report_wave(
        &self,
        wave: WaveId,
        state: WaveState,
    ) -> impl Future<Output = WriteOutcome> + Send;
}

/// The registry of workers, and orders to them.
pub trait Workers: Send + Sync + 'static {
    /// Entries that changed since a version, or all; waits up to `wait` for a change.
    fn registrations(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes<WorkerEntry>, ReadError>> + Send;

    /// Renews the lease of a worker and asks what it runs.
    fn renew_lease(
        &self,
        request: LeaseRequest,
    ) -> impl Future<Output = Result<Report, WorkerError>> + Send;

    /// Starts a run.
    fn start_run(
        &self,
        command: &StartOrder,
        token: FencingToken,
    ) -> impl Future<Output = StartReply> + Send;

    /// Stops a run; true if the worker answered.
    fn stop_run(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        token: FencingToken,
    ) -> impl Future<Output = bool> + Send;

    /// Sets the pace of a run; true if the worker answered.
    fn limit_speed(
        &self,
        worker: &WorkerId,
        address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        percent: u32,
        token: FencingToken,
    ) -> impl Future<Output = bool> + Send;

    /// Asks the advisor which workers may run a step; their tickets.
    fn request_advice(
        &self,
        unit: &UnitKey,
        workers: &[WorkerId],
    ) -> impl Future<Output = Result<Vec<(WorkerId, Arc<str>)>, ReadError>> + Send;
}

/// The hosts.
pub trait Hosts: Send + Sync + 'static {
    /// All hosts.
    fn list_hosts(&self) -> impl Future<Output = Result<Vec<HostEntry>, ReadError>> + Send;

    /// Moves a host to another pool.
    fn move_host(
        &self,
        host: &HostName,
        pool: &PoolName,
        holder: &str,
        token: FencingToken,
    ) -> impl Future<Output = HostReply> + Send;

    /// Maintains a host for a wave.
    fn maintain_host(
        &self,
        host: &HostName,
        wave: WaveId,
        holder: &str,
        token: FencingToken,
    ) -> impl Future<Output = HostReply> + Send;
}

/// All of the platform.
pub trait Platform: Store + Operators + Workers + Hosts {}

impl<T: Store + Operators + Workers + Hosts> Platform for T {}
