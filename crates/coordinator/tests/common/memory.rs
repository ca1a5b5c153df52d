//! A platform in memory: a table that can be made to fail, and a worker that runs the units it
//! gets.
#![allow(dead_code, reason = "each test binary uses a part")]

#[path = "memory_store.rs"]
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use coordinator::CallerConfig;
use coordinator::Node;
use coordinator::NodeSettings;
use coordinator::Route;
use coordinator::clock;
use coordinator::http::Client;
use coordinator::ports::Changes;
use coordinator::ports::FencingToken;
use coordinator::ports::Hosts;
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
use scheduler::Config;
use scheduler::HostEntry;
use scheduler::HostName;
use scheduler::HostReply;
use scheduler::HostState;
use scheduler::Pool;
use scheduler::PoolName;
use scheduler::Queue;
use scheduler::Resources;
use scheduler::RunOutcome;
use scheduler::RunStatus;
use scheduler::Settings;
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
use telemetry::Telemetry;

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

#[derive(Default)]
struct Data {
    rows: BTreeMap<(u8, String), (Bytes, RowVersion)>,
    version: RowVersion,
    /// Changes before this version are no longer kept.
    history_from: RowVersion,
    /// Number of calls that asked for changes before `history_from`.
    refused_change_reads: u32,
    config: Option<Arc<CallerConfig>>,
    waves: Vec<Wave>,
    fault: TableFault,
    running: Vec<(RunStatus, std::time::Instant)>,
    completions: Vec<Completion>,
    completion_count: u64,
    token: FencingToken,
    /// Tokens of the commands to the host, all of which get no reply.
    host_tokens: Vec<FencingToken>,
    /// Started units, each with its run and token.
    pub starts: Vec<(UnitKey, u32, FencingToken)>,
}

/// A platform in memory that several nodes share.
#[derive(Clone, Default)]
pub struct Memory {
    data: Arc<Mutex<Data>>,
    /// How long each unit runs.
    unit_time: Duration,
}

/// Next incarnation number for a node of a test.
static INCARNATIONS: AtomicU64 = AtomicU64::new(1);

/// Default processor time of a node, in thousandths of a core.
const CPU_MILLIS: u64 = 250;

/// Time of a transaction of a slow table.
const SLOW_WRITE_TIME: Duration = Duration::from_millis(800);

/// The only host.
pub const HOST: &str = "h1";

/// The only worker.
pub const WORKER: &str = "w1";

impl Memory {
    pub fn new(unit_time: Duration) -> Self {
        let memory = Self { data: Arc::default(), unit_time };
        memory.data.lock().unwrap().config = Some(Arc::new(config()));
        memory.data.lock().unwrap().version = 1;
        memory
    }

    pub fn set_fault(&self, fault: TableFault) {
        self.data.lock().unwrap().fault = fault;
    }

    pub fn starts(&self) -> Vec<(UnitKey, u32, FencingToken)> {
        self.data.lock().unwrap().starts.clone()
    }

    pub fn put_inbox(&self, key: &str, row: &InboxRow) {
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        let (key, version) = ((table_number(Table::Inbox), key.to_owned()), data.version);
        data.rows.insert(key, (rows::encode(row), version));
    }

    pub fn remove_inbox(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        data.rows.remove(&(table_number(Table::Inbox), key.to_owned()));
    }

    pub fn add_wave(&self) {
        let wave =
            Wave { id: 1, hosts: vec![HOST.into()], duration_ms: 20_000, unavailable_hosts_max: 1 };
        self.data.lock().unwrap().waves.push(wave);
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

    /// Returns whether the table holds the record of a job.
    pub fn has_job(&self, id: &str) -> bool {
        let key = (table_number(Table::Jobs), id.to_owned());
        self.data.lock().unwrap().rows.contains_key(&key)
    }

    /// Returns the owner's row, or the default one if there is no owner yet.
    pub fn owner(&self) -> OwnerRow {
        let key = (table_number(Table::Owner), OWNER_KEY.to_owned());
        let data = self.data.lock().unwrap();
        data.rows
            .get(&key)
            .map_or_else(OwnerRow::default, |(value, _)| serde_json::from_slice(value).unwrap())
    }

    pub fn rows(&self, table: Table) -> Vec<String> {
        let data = self.data.lock().unwrap();
        let rows = data.rows.keys().filter(|(number, _)| *number == table_number(table));
        rows.map(|(_, key)| key.clone()).collect()
    }
}

fn table_number(table: Table) -> u8 {
    match table {
        Table::Owner => 0,
        Table::Jobs => 1,
        Table::Progress => 2,
        Table::Inbox => 3,
        Table::Assignments => 4,
    }
}

fn config() -> CallerConfig {
    let queue = Queue {
        pool: "p".into(),
        priority: 0,
        attempts_max: 3,
        stretch: 1.6,
        deadline_slack: Duration::from_millis(600),
        advice: None,
    };
    let scheduling = Config {
        version: 1,
        queues: [("q".into(), queue)].into_iter().collect(),
        pools: [("p".into(), Pool::default())].into_iter().collect(),
        teams: [("t".into(), Team::default())].into_iter().collect(),
    };
    CallerConfig {
        version: 1,
        routes: vec![Route {
            host: "jobs.example".to_owned(),
            path_prefix: "/q/".to_owned(),
            queue: "q".into(),
            is_open: false,
        }],
        keys: [("key".into(), "t".into())].into_iter().collect(),
        body_bytes_max: 10_000,
        scheduling: Arc::new(scheduling),
    }
}

/// Starts a node with default processor time on a free port.
pub async fn start_node(name: &str, memory: &Memory) -> Node<Memory> {
    start_node_with_cpu(name, CPU_MILLIS, memory).await
}

/// Starts a node with `cpu_millis` of processor time, in thousandths of a core, on a free port.
pub async fn start_node_with_cpu(name: &str, cpu_millis: u64, memory: &Memory) -> Node<Memory> {
    let settings = NodeSettings {
        name: name.to_owned(),
        incarnation: INCARNATIONS.fetch_add(1, Ordering::Relaxed),
        peer_address: "127.0.0.1:0".parse().unwrap(),
        cpu_millis,
        key_age_max: Duration::from_secs(4),
        local_write_timeout: Duration::from_secs(2),
        scheduling: Settings::default(),
    };
    let telemetry = Telemetry::new(None).unwrap();
    Node::start(settings, memory.clone(), Client::default(), telemetry).await.unwrap()
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
        if matches!(data.fault, TableFault::Unavailable | TableFault::Silent) {
            return Err(ReadError::Refused("table is down".to_owned()));
        }
        let mut changed: Vec<OperatorChange> =
            data.config.iter().cloned().map(OperatorChange::Config).collect();
        changed.extend(data.waves.iter().cloned().map(OperatorChange::Wave));
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
        let registration = WorkerRegistration {
            id: WORKER.into(),
            incarnation_started_ms: 1,
            pool: "p".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            labels: Arc::from([]),
            capacity: Resources { cpu_millis: 16_000, memory_mb: 32_768, gpus: 0 },
            is_draining: false,
            clock_ms: 0,
            host: None,
        };
        Ok(Changes {
            changed: vec![registration],
            is_snapshot: true,
            version: 1,
            removed: Vec::new(),
        })
    }

    async fn renew_lease(&self, request: LeaseRequest) -> Result<WorkerReport, WorkerError> {
        let until = tokio::time::Instant::now() + request.wait;
        loop {
            {
                let mut data = self.data.lock().unwrap();
                if request.token < data.token {
                    return Err(WorkerError::Fenced);
                }
                data.token = request.token;
                data.completions
                    .retain(|completion| completion.number > request.last_stored_completion);
                data.end_runs(self.unit_time);
                if !data.completions.is_empty() || tokio::time::Instant::now() >= until {
                    return Ok(WorkerReport {
                        incarnation_started_ms: 1,
                        clock_ms: clock::now().as_millis() as u64,
                        running: data.running.iter().map(|(run, _)| run.clone()).collect(),
                        completions: data.completions.clone(),
                    });
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn start_run(&self, command: &StartCommand, token: FencingToken) -> StartReply {
        let mut data = self.data.lock().unwrap();
        if token < data.token {
            return StartReply::Fenced;
        }
        data.starts.push((command.unit.clone(), command.run, token));
        let running = RunStatus {
            unit: command.unit.clone(),
            run: command.run,
            checkpoint: String::new(),
            progress_percent: 100,
            load: None,
        };
        data.running.push((running, std::time::Instant::now()));
        StartReply::Started
    }

    async fn stop_run(
        &self,
        _worker: &WorkerId,
        _address: SocketAddr,
        unit: &UnitKey,
        run: u32,
        token: FencingToken,
    ) -> bool {
        let mut data = self.data.lock().unwrap();
        if token < data.token {
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
        let host = HostEntry {
            name: HOST.into(),
            pool: "p".into(),
            state: HostState::Up,
            worker: Some(WORKER.into()),
        };
        Ok(vec![host])
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

impl Data {
    fn end_runs(&mut self, unit_time: Duration) {
        let finished = |(_, since): &&(RunStatus, std::time::Instant)| since.elapsed() >= unit_time;
        let finished: Vec<(UnitKey, u32)> = self
            .running
            .iter()
            .filter(finished)
            .map(|(run, _)| (run.unit.clone(), run.run))
            .collect();
        for (unit, run) in finished {
            self.end_run(&unit, run, RunOutcome::Done);
        }
    }

    fn end_run(&mut self, unit: &UnitKey, run: u32, outcome: RunOutcome) {
        let before = self.running.len();
        self.running.retain(|(running, _)| running.unit != *unit || running.run != run);
        if self.running.len() < before {
            self.completion_count += 1;
            self.completions.push(Completion {
                number: self.completion_count,
                unit: unit.clone(),
                run,
                outcome,
                checkpoint: String::new(),
            });
        }
    }
}
