//! A stand-in worker that runs tasks under leases, records what it runs and can inject faults.
//!
//! The body of a task is a list of words: `run-ms=N` sets how long it runs, `fail` makes it fail,
//! and `use-mib=N` sets the memory usage that is reported. The result of a task is its body.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::post;
use placement::Size;
use placement::TaskOutcome;
use placement::protocol::COMMAND_PATH;
use placement::protocol::CommandKind;
use placement::protocol::RENEW_PATH;
use placement::protocol::RenewRequest;
use placement::protocol::START_PATH;
use placement::protocol::StartCommand;
use placement::protocol::TaskCommand;
use placement::protocol::TaskReport;
use placement::protocol::WorkerReply;
use placement::protocol::WorkerReport;
use tokio::net::TcpListener;

/// A stand-in worker; [`serve`] makes it reachable.
#[derive(Default)]
pub struct StandinWorker {
    state: Mutex<WorkerState>,
}

#[derive(Default)]
struct WorkerState {
    /// Number of reboots so far; each removes all tasks.
    boot: u64,
    /// Highest epoch received for each pool, sorted by pool.
    epochs: Vec<(String, u64)>,
    /// Tasks, sorted by task id.
    tasks: Vec<TaskState>,
    /// Ids of all tasks in the order in which they were started.
    started: Vec<String>,
    running_peak: usize,
    /// Number of coming start commands that are executed but whose replies are lost.
    lost_replies: u32,
    /// Number of coming start commands that are lost before they are executed.
    lost_starts: u32,
    /// Whether all commands fail with status 503.
    is_unresponsive: bool,
}

struct TaskState {
    pool: String,
    start: StartCommand,
    started_at: Instant,
    lease_expires_at: Instant,
    outcome: Option<TaskOutcome>,
    is_checkpointed: bool,
}

impl StandinWorker {
    /// Returns the ids of all tasks in the order in which they were started.
    pub fn started(&self) -> Vec<String> {
        self.lock().started.clone()
    }

    /// Returns the highest number of tasks that ran at the same time.
    pub fn running_peak(&self) -> usize {
        self.lock().running_peak
    }

    /// Loses the replies to the next `count` start commands after the tasks were started.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_replies = count;
    }

    /// Loses the next `count` start commands before they are executed, so that no task is started.
    pub fn lose_starts(&self, count: u32) {
        self.lock().lost_starts = count;
    }

    /// Makes all commands fail with status 503, or succeed again. Tasks run on until their leases
    /// expire.
    pub fn set_unresponsive(&self, is_unresponsive: bool) {
        self.lock().is_unresponsive = is_unresponsive;
    }

    /// Stops and removes all tasks, as a restart of the worker does.
    pub fn reboot(&self) {
        let mut state = self.lock();
        state.boot += 1;
        state.tasks.clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, WorkerState> {
        self.state.lock().expect("lock is never poisoned")
    }
}

impl WorkerState {
    /// Records `epoch` for the pool; returns false if a higher epoch is known, so that the
    /// command comes from an earlier holder of the pool.
    fn accept_epoch(&mut self, pool: &str, epoch: u64) -> bool {
        let index = match self.epochs.binary_search_by(|(other, _)| other.as_str().cmp(pool)) {
            Ok(index) => index,
            Err(index) => {
                self.epochs.insert(index, (pool.to_owned(), epoch));
                index
            }
        };
        let latest = &mut self.epochs[index].1;
        *latest = epoch.max(*latest);
        *latest == epoch
    }

    /// Returns the position of a task, or where to insert it.
    fn find(&self, task: &str) -> Result<usize, usize> {
        self.tasks.binary_search_by(|other| other.start.task.as_str().cmp(task))
    }

    /// Sets the outcome of tasks whose run time is over or whose leases have expired.
    fn finish_due_tasks(&mut self, now: Instant) {
        for task in self.tasks.iter_mut().filter(|task| task.outcome.is_none()) {
            let run_time =
                Duration::from_millis(parse_number(&task.start.body, "run-ms=").unwrap_or(0));
            let fails = task.start.body.split(' ').any(|word| word == "fail");
            if now >= task.lease_expires_at {
                task.outcome = Some(TaskOutcome::Lost);
            } else if now >= task.started_at + run_time {
                task.outcome =
                    Some(if fails { TaskOutcome::Failed } else { TaskOutcome::Succeeded });
            }
        }
    }

    /// Returns the state of all tasks of a pool.
    fn report(&self, pool: &str) -> WorkerReport {
        let pool_tasks = self.tasks.iter().filter(|task| task.pool == pool);
        let tasks = pool_tasks
            .map(|task| TaskReport {
                task: task.start.task.clone(),
                outcome: task.outcome,
                used: Size {
                    processors_milli: 1,
                    memory_mib: parse_number(&task.start.body, "use-mib=").unwrap_or(1),
                    accelerators: 0,
                },
                used_age_ms: 0,
                is_checkpointed: task.is_checkpointed,
                result: (task.outcome == Some(TaskOutcome::Succeeded))
                    .then(|| task.start.body.clone()),
            })
            .collect();
        WorkerReport { boot: self.boot, tasks }
    }
}

/// Serves `worker` on `address`; returns the bound address and the server task.
pub async fn serve(
    worker: Arc<StandinWorker>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route(START_PATH, post(start))
        .route(RENEW_PATH, post(renew))
        .route(COMMAND_PATH, post(command))
        .with_state(worker);
    let task = tokio::spawn(async move {
        // Runs until the process or the test ends.
        let _ = axum::serve(listener, router).await;
    });
    Ok((address, task))
}

type Shared = State<Arc<StandinWorker>>;
type WorkerResult = Result<Json<WorkerReply>, StatusCode>;

async fn start(State(worker): Shared, Json(start): Json<StartCommand>) -> WorkerResult {
    let mut state = worker.lock();
    if state.is_unresponsive {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.accept_epoch(&start.pool, start.epoch) {
        return Ok(Json(WorkerReply::Superseded));
    }
    if state.lost_starts > 0 {
        state.lost_starts -= 1;
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let now = Instant::now();
    if let Err(position) = state.find(&start.task) {
        state.started.push(start.task.clone());
        let task = TaskState {
            pool: start.pool.to_string(),
            started_at: now,
            lease_expires_at: now + Duration::from_millis(start.lease_ms),
            outcome: None,
            is_checkpointed: false,
            start,
        };
        state.tasks.insert(position, task);
        state.finish_due_tasks(now);
        let running = state.tasks.iter().filter(|task| task.outcome.is_none()).count();
        state.running_peak = state.running_peak.max(running);
    }
    if state.lost_replies > 0 {
        state.lost_replies -= 1;
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(Json(WorkerReply::Done { report: WorkerReport::default() }))
}

async fn renew(State(worker): Shared, Json(renew): Json<RenewRequest>) -> WorkerResult {
    let mut state = worker.lock();
    if state.is_unresponsive {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.accept_epoch(&renew.pool, renew.epoch) {
        return Ok(Json(WorkerReply::Superseded));
    }
    let now = Instant::now();
    state.finish_due_tasks(now);
    state.tasks.retain(|task| !renew.stored.contains(&task.start.task));
    for task in &renew.tasks {
        if let Ok(index) = state.find(task) {
            state.tasks[index].lease_expires_at = now + Duration::from_millis(renew.lease_ms);
        }
    }
    Ok(Json(WorkerReply::Done { report: state.report(&renew.pool) }))
}

async fn command(State(worker): Shared, Json(command): Json<TaskCommand>) -> WorkerResult {
    let mut state = worker.lock();
    if state.is_unresponsive {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.accept_epoch(&command.pool, command.epoch) {
        return Ok(Json(WorkerReply::Superseded));
    }
    state.finish_due_tasks(Instant::now());
    if let Ok(index) = state.find(&command.task) {
        let task = &mut state.tasks[index];
        match command.kind {
            CommandKind::Checkpoint => task.is_checkpointed = true,
            CommandKind::Throttle { .. } => {}
            CommandKind::Stop => task.outcome = task.outcome.or(Some(TaskOutcome::Stopped)),
        }
    }
    Ok(Json(WorkerReply::Done { report: state.report(&command.pool) }))
}

fn parse_number(body: &str, name: &str) -> Option<u64> {
    body.split(' ').find_map(|word| word.strip_prefix(name)?.parse().ok())
}
