//! A platform in memory: a table that can be made to fail, and a worker that runs the units it
//! gets.
#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

#[path = "memory_nodes.rs"]
mod nodes;
#[path = "memory_store.rs"]
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use coordinator::CallerConfig;
use coordinator::clock;
use coordinator::ports::Changes;
use coordinator::ports::EvacuationChange;
use coordinator::ports::EvacuationRow;
use coordinator::ports::FencingToken;
use coordinator::ports::Hosts;
use coordinator::ports::LeaseReply;
use coordinator::ports::LeaseRequest;
use coordinator::ports::OperatorChange;
use coordinator::ports::Operators;
use coordinator::ports::ReadError;
use coordinator::ports::RowVersion;
use coordinator::ports::Table;
use coordinator::ports::WorkerError;
use coordinator::ports::Workers;
use coordinator::ports::WriteOutcome;
use coordinator::rows;
use coordinator::rows::InboxRow;
use coordinator::rows::OWNER_KEY;
use coordinator::rows::OwnerRow;
use scheduler::Completion;
use scheduler::CompletionList;
use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::Policies;
use scheduler::PoolName;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::RunStatus;
use scheduler::ShardIndex;
use scheduler::StartCommand;
use scheduler::StartReply;
use scheduler::Team;
use scheduler::UnitKey;
use scheduler::Wave;
use scheduler::WaveId;
use scheduler::WaveState;
use scheduler::WorkerId;
use scheduler::WorkerRegistration;
use scheduler::WorkerReport;

pub use self::nodes::config;
pub use self::nodes::start_node;
pub use self::nodes::start_node_with_cpu;

/// Faults of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    /// The table works.
    #[default]
    None,
    /// Each transaction takes [`SLOW_WRITE_TIME`].
    Slow,
    /// The table refuses all calls and writes nothing.
    Unavailable,
    /// The table commits writes and loses the replies.
    LosesReplies,
    /// The table neither replies nor writes anything.
    Silent,
}

/// Number of the table, shard and key of a row.
type RowKey = (u8, ShardIndex, String);

#[derive(Default)]
struct Data {
    rows: BTreeMap<RowKey, (Bytes, RowVersion)>,
    version: RowVersion,
    /// Changes before this version are no longer kept.
    history_from: RowVersion,
    /// Number of calls that asked for changes before `history_from`.
    refused_change_reads: u32,
    config: Option<Arc<CallerConfig>>,
    waves: Vec<Wave>,
    /// Zones whose evacuation operators request.
    evacuated_zones: Vec<&'static str>,
    /// The operators' rows can't be read.
    are_operators_hidden: bool,
    fault: TableFault,
    /// Number of reads of whole tables that panic, as a fault of the program would.
    panics_left: u32,
    hung_writes_left: u32,
    /// Number of calls for changes of the inbox that get no reply until their time limit.
    hung_inbox_reads_left: u32,
    /// Writes of a slow table that are not committed yet.
    writes_in_progress: usize,
    /// Time from the commit of a write to the reply of the table.
    reply_delay: Duration,
    are_workers_registered_again: bool,
    running: Vec<(WorkerId, RunStatus, std::time::Instant)>,
    completions: Vec<(WorkerId, Completion)>,
    completion_count: u64,
    /// Highest token that each worker has seen.
    tokens: BTreeMap<WorkerId, FencingToken>,
    /// Most units that were running at the same time.
    running_max: usize,
    /// Tokens of the commands to the host, all of which get no reply.
    host_tokens: Vec<FencingToken>,
    /// Latest deadline of a lease that a poll has requested.
    lease_deadline_ms: Option<u64>,
    /// Started units, each with its run and token.
    pub starts: Vec<(UnitKey, u32, FencingToken)>,
}

/// A platform in memory that several nodes share.
#[derive(Clone, Default)]
pub struct Memory {
    data: Arc<Mutex<Data>>,
    /// How long each unit runs.
    unit_time: Duration,
    /// Number of hosts, each with a worker.
    host_count: usize,
    /// Policies of the nodes.
    policies: Policies,
    /// Bound of evacuations in the settings of the nodes.
    evacuation_bound: Option<Duration>,
}

/// Time of a transaction of a slow table.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(800);

/// The first host.
pub const HOST: &str = "h1";

impl Memory {
    pub fn new(unit_time: Duration) -> Self {
        let memory = Self { unit_time, host_count: 1, ..Self::default() };
        memory.data.lock().unwrap().config = Some(Arc::new(config()));
        memory.data.lock().unwrap().version = 1;
        memory
    }

    /// Creates a platform with several hosts, which as many shards divide among themselves, and a
    /// team that may run `quota_units` units of one core at a time.
    pub fn with_hosts(unit_time: Duration, host_count: usize, quota_units: u64) -> Self {
        let memory = Self { host_count, ..Self::new(unit_time) };
        let mut config = config();
        let mut scheduling = (*config.scheduling).clone();
        let quota = Resources { cpu_millis: quota_units * 1_000, memory_mb: 0, gpus: 0 };
        scheduling.teams.insert("t".into(), Team { rate_share: 0.0, quota });
        config.scheduling = Arc::new(scheduling);
        memory.data.lock().unwrap().config = Some(Arc::new(config));
        memory
    }

    /// Makes the next reads of whole tables panic.
    pub fn panic_on_reads(&self, count: u32) {
        self.data.lock().unwrap().panics_left = count;
    }

    /// Returns the most units that were running at the same time.
    pub fn running_max(&self) -> usize {
        self.data.lock().unwrap().running_max
    }

    /// Returns the row of the owner of a shard, or the default one if there is no owner yet.
    pub fn owner_of(&self, shard: ShardIndex) -> OwnerRow {
        let key = row_key(shard, Table::Owner, OWNER_KEY);
        let data = self.data.lock().unwrap();
        data.rows
            .get(&key)
            .map_or_else(OwnerRow::default, |(value, _)| serde_json::from_slice(value).unwrap())
    }

    pub fn set_fault(&self, fault: TableFault) {
        self.data.lock().unwrap().fault = fault;
    }

    pub fn starts(&self) -> Vec<(UnitKey, u32, FencingToken)> {
        self.data.lock().unwrap().starts.clone()
    }

    pub fn put_inbox(&self, key: &str, row: &InboxRow) {
        self.put(Table::Inbox, key, rows::encode(row));
    }

    pub fn put(&self, table: Table, key: &str, value: Bytes) {
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        let (key, version) = (row_key(0, table, key), data.version);
        data.rows.insert(key, (value, version));
    }

    pub fn remove_inbox(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        data.rows.remove(&row_key(0, Table::Inbox, key));
    }

    pub fn add_wave(&self) {
        let wave =
            Wave { id: 1, hosts: vec![HOST.into()], duration_ms: 20_000, unavailable_hosts_max: 1 };
        self.data.lock().unwrap().waves.push(wave);
    }

    /// Replaces the rows of the evacuated zones.
    pub fn evacuate(&self, zones: &[&'static str]) {
        self.data.lock().unwrap().evacuated_zones = zones.to_vec();
    }

    /// Makes reads of the operators' rows fail, or succeed again.
    pub fn hide_operators(&self, is_hidden: bool) {
        self.data.lock().unwrap().are_operators_hidden = is_hidden;
    }

    /// Drops all changes so far, as if they were too old.
    pub fn drop_history(&self) {
        let mut data = self.data.lock().unwrap();
        data.history_from = data.version;
    }

    pub fn refused_change_reads(&self) -> u32 {
        self.data.lock().unwrap().refused_change_reads
    }

    pub fn host_tokens(&self) -> Vec<FencingToken> {
        self.data.lock().unwrap().host_tokens.clone()
    }

    /// Returns the row of the owner of the first shard.
    pub fn owner(&self) -> OwnerRow {
        self.owner_of(0)
    }

    pub fn rows(&self, table: Table) -> Vec<String> {
        let data = self.data.lock().unwrap();
        let rows = data.rows.keys().filter(|(number, ..)| *number == table_number(table));
        rows.map(|(.., key)| key.clone()).collect()
    }
}

fn table_number(table: Table) -> u8 {
    match table {
        Table::Owner => 0,
        Table::Jobs => 1,
        Table::Progress => 2,
        Table::Inbox => 3,
        Table::Assignments => 4,
        Table::Divisions => 5,
    }
}

/// Returns the shard whose rows are meant: shard 0 in tables that all shards share.
fn shard_of(shard: ShardIndex, table: Table) -> ShardIndex {
    match table {
        Table::Inbox | Table::Divisions => 0,
        _ => shard,
    }
}

fn row_key(shard: ShardIndex, table: Table, key: &str) -> RowKey {
    (table_number(table), shard_of(shard, table), key.to_owned())
}

impl Operators for Memory {
    async fn operator_changes(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> Result<Changes<OperatorChange>, ReadError> {
        if after.is_some() {
            tokio::time::sleep(wait.min(Duration::from_millis(50))).await;
        }
        let data = self.data.lock().unwrap();
        let is_down = matches!(data.fault, TableFault::Unavailable | TableFault::Silent);
        if is_down || data.are_operators_hidden {
            return Err(ReadError::Refused("table is down".to_owned()));
        }
        let mut changed: Vec<OperatorChange> =
            data.config.iter().cloned().map(OperatorChange::Config).collect();
        changed.extend(data.waves.iter().cloned().map(OperatorChange::Wave));
        let evacuation =
            |zone: &&str| EvacuationChange { zone: (*zone).into(), row: EvacuationRow::Valid };
        let evacuations = data.evacuated_zones.iter().map(evacuation);
        changed.extend(evacuations.map(OperatorChange::Evacuation));
        Ok(Changes { changed, removed: Vec::new(), is_snapshot: true, version: data.version })
    }

    async fn report_wave(&self, _wave: WaveId, _state: WaveState) -> WriteOutcome {
        WriteOutcome::Committed(1)
    }
}

impl Workers for Memory {
    async fn registrations(
        &self,
        after: Option<RowVersion>,
        wait: Duration,
    ) -> Result<Changes<WorkerRegistration>, ReadError> {
        if after.is_some() {
            tokio::time::sleep(wait).await;
        }
        let registration = |number: usize| WorkerRegistration {
            id: worker_name(number),
            incarnation_started_ms: 1,
            pool: "p".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            labels: Arc::from([]),
            capacity: Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 },
            is_draining: false,
            cold_left: Duration::ZERO,
            clock_ms: 0,
            host: Some(host_name(number)),
        };
        Ok(Changes {
            changed: (1..=self.host_count).map(registration).collect(),
            is_snapshot: true,
            version: 1,
            removed: self.removed_workers(),
        })
    }

    async fn renew_lease(&self, request: LeaseRequest) -> Result<LeaseReply, WorkerError> {
        let until = tokio::time::Instant::now() + request.wait;
        loop {
            {
                let mut data = self.data.lock().unwrap();
                data.lease_deadline_ms = data.lease_deadline_ms.max(request.deadline_ms);
                if !data.accepts_token(&request.worker, request.token) {
                    return Err(WorkerError::Fenced);
                }
                let is_its = |worker: &WorkerId| *worker == request.worker;
                let last_stored = request.acknowledged_completion;
                data.completions.retain(|(worker, completion)| {
                    !is_its(worker) || completion.number > last_stored
                });
                data.end_runs(self.unit_time);
                let completions = data.completions.iter().filter(|(worker, _)| is_its(worker));
                let completions: Vec<Completion> =
                    completions.map(|(_, completion)| completion.clone()).collect();
                let running = data.running.iter().filter(|(worker, ..)| is_its(worker));
                if !completions.is_empty() || tokio::time::Instant::now() >= until {
                    let report = WorkerReport {
                        incarnation_started_ms: 1,
                        clock_ms: clock::now().as_millis() as u64,
                        running: running.map(|(_, run, _)| run.clone()).collect(),
                        completions: CompletionList::Complete(completions),
                    };
                    return Ok(LeaseReply::new(report, last_stored, last_stored));
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn start_run(&self, command: &StartCommand) -> StartReply {
        let mut data = self.data.lock().unwrap();
        if !data.accepts_token(&command.worker, command.token) {
            return StartReply::Fenced;
        }
        data.starts.push((command.unit.clone(), command.run, command.token));
        let running = RunStatus {
            unit: command.unit.clone(),
            run: command.run,
            checkpoint: String::new(),
            progress_percent: 100,
            load: None,
        };
        data.running.push((command.worker.clone(), running, std::time::Instant::now()));
        data.running_max = data.running_max.max(data.running.len());
        StartReply::Started { clock_ms: clock::now().as_millis() as u64 }
    }

    async fn stop_run(
        &self,
        worker: &WorkerId,
        _address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        token: FencingToken,
    ) -> bool {
        let mut data = self.data.lock().unwrap();
        if !data.accepts_token(worker, token) {
            return false;
        }
        data.end_run(unit, run, RunOutcome::Stopped);
        true
    }

    async fn limit_speed(
        &self,
        _worker: &WorkerId,
        _address: SocketAddr,
        _unit: &UnitKey,
        _run: u32,
        _percent: u32,
        _token: FencingToken,
    ) -> bool {
        true
    }

    async fn request_advice(
        &self,
        _unit: &UnitKey,
        _workers: &[WorkerId],
    ) -> Result<Vec<(WorkerId, Arc<str>)>, ReadError> {
        Ok(Vec::new())
    }
}

impl Hosts for Memory {
    async fn list_hosts(&self) -> Result<Vec<HostEntry>, ReadError> {
        let host = |number: usize| HostEntry {
            name: host_name(number),
            pool: "p".into(),
            state: HostState::Up,
            worker: Some(worker_name(number)),
        };
        Ok((1..=self.host_count).map(host).collect())
    }

    async fn move_host(
        &self,
        _host: &HostName,
        _pool: &PoolName,
        _holder: &str,
        _token: FencingToken,
    ) -> HostReply {
        HostReply::Invalid
    }

    async fn maintain_host(
        &self,
        _host: &HostName,
        _wave: WaveId,
        _holder: &str,
        token: FencingToken,
    ) -> HostReply {
        self.data.lock().unwrap().host_tokens.push(token);
        HostReply::Unknown
    }
}

/// Returns the name of a host, counted from 1.
fn host_name(number: usize) -> HostName {
    format!("h{number}").as_str().into()
}

/// Returns the id of the worker on a host.
fn worker_name(number: usize) -> WorkerId {
    format!("w{number}").as_str().into()
}

impl Data {
    /// Returns whether a worker accepts a token, and records it if so.
    fn accepts_token(&mut self, worker: &WorkerId, token: FencingToken) -> bool {
        let highest = self.tokens.entry(worker.clone()).or_default();
        *highest = token.max(*highest);
        token == *highest
    }

    fn end_runs(&mut self, unit_time: Duration) {
        let finished =
            |(.., since): &&(WorkerId, RunStatus, std::time::Instant)| since.elapsed() >= unit_time;
        let finished: Vec<(UnitKey, u32)> = self
            .running
            .iter()
            .filter(finished)
            .map(|(_, run, _)| (run.unit.clone(), run.run))
            .collect();
        for (unit, run) in finished {
            self.end_run(&unit, run, RunOutcome::Done);
        }
    }

    fn end_run(&mut self, unit: &UnitKey, run: u32, outcome: RunOutcome) {
        let is_run = |(_, running, _): &(WorkerId, RunStatus, std::time::Instant)| {
            running.unit == *unit && running.run == run
        };
        let Some(index) = self.running.iter().position(is_run) else {
            return;
        };
        let (worker, ..) = self.running.remove(index);
        self.completion_count += 1;
        let (number, unit, checkpoint) = (self.completion_count, unit.clone(), String::new());
        let completion = Completion { number, unit, run, outcome, checkpoint };
        self.completions.push((worker, completion));
    }
}
