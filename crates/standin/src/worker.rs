//! A worker that runs tasks under leases, counts what it runs, and can be told to fail.
//!
//! A task's body is a list of words: `run-ms=N` sets how long it runs, `fail` makes it fail, and
//! `use-mib=N` is the memory that it is reported to use. Its result is its body.

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

/// State of a stand-in worker.
#[derive(Default)]
pub struct StandinWorker {
    state: Mutex<Tasks>,
}

#[derive(Default)]
struct Tasks {
    boot: u64,
    /// Highest epoch by pool, sorted.
    epochs: Vec<(String, u64)>,
    /// Sorted by task.
    tasks: Vec<TaskState>,
    /// Tasks in the order of their starts.
    started: Vec<String>,
    running_peak: usize,
    /// Answers of starts that are lost after the task was started.
    lost_answers: u32,
    /// Starts that are lost before the task is started.
    lost_starts: u32,
    is_silent: bool,
}

struct TaskState {
    pool: String,
    start: StartCommand,
    started_at: Instant,
    lease_until: Instant,
    outcome: Option<TaskOutcome>,
    is_checkpointed: bool,
}

impl StandinWorker {
    /// Tasks in the order of their starts.
    pub fn started(&self) -> Vec<String> {
        self.lock().started.clone()
    }

    /// Most tasks that ran at once.
    pub fn running_peak(&self) -> usize {
        self.lock().running_peak
    }

    /// Loses the answers of the next `count` starts, after the tasks were started.
    pub fn lose_replies(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Loses the next `count` starts on their way, so that no task is started.
    pub fn lose_starts(&self, count: u32) {
        self.lock().lost_starts = count;
    }

    /// Answers nothing from now on, or answers again; tasks run on until their leases lapse.
    pub fn set_unresponsive(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
    }

    /// Ends all tasks and forgets them.
    pub fn reboot(&self) {
        let mut state = self.lock();
        state.boot += 1;
        state.tasks.clear();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Tasks> {
        self.state.lock().expect("no holder panics")
    }
}

impl Tasks {
    /// False if the epoch is not the latest of the pool.
    fn is_current(&mut self, pool: &str, epoch: u64) -> bool {
        let index = match self.epochs.binary_search_by(|(other, _)| other.as_str().cmp(pool)) {
            Ok(index) => index,
            Err(index) => {
                self.epochs.insert(index, (pool.to_owned(), epoch));
                index
            }
        };
        let known = &mut self.epochs[index].1;
        *known = epoch.max(*known);
        *known == epoch
    }

    fn find(&self, task: &str) -> Result<usize, usize> {
        self.tasks.binary_search_by(|other| other.start.task.as_str().cmp(task))
    }

    /// Ends tasks that are done, or whose leases have lapsed.
    fn advance(&mut self, now: Instant) {
        for task in self.tasks.iter_mut().filter(|task| task.outcome.is_none()) {
            let run = Duration::from_millis(number(&task.start.body, "run-ms=").unwrap_or(0));
            let fails = task.start.body.split(' ').any(|word| word == "fail");
            if now >= task.lease_until {
                task.outcome = Some(TaskOutcome::Lost);
            } else if now >= task.started_at + run {
                task.outcome =
                    Some(if fails { TaskOutcome::Failed } else { TaskOutcome::Succeeded });
            }
        }
    }

    fn report(&self, pool: &str) -> WorkerReport {
        let own = self.tasks.iter().filter(|task| task.pool == pool);
        let tasks = own
            .map(|task| TaskReport {
                task: task.start.task.clone(),
                outcome: task.outcome,
                used: Size {
                    processors_milli: 1,
                    memory_mib: number(&task.start.body, "use-mib=").unwrap_or(1),
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

/// Serves a worker on `address`; returns the address and the task.
pub async fn serve(
    worker: Arc<StandinWorker>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = Router::new()
        .route(START_PATH, post(start))
        .route(RENEW_PATH, post(renew))
        .route(COMMAND_PATH, post(order))
        .with_state(worker);
    let task = tokio::spawn(async move {
        // Serves until the process or the test ends.
        let _ = axum::serve(listener, router).await;
    });
    Ok((address, task))
}

type Shared = State<Arc<StandinWorker>>;
type Said = Result<Json<WorkerReply>, StatusCode>;

async fn start(State(worker): Shared, Json(start): Json<StartCommand>) -> Said {
    let mut state = worker.lock();
    if state.is_silent {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.is_current(&start.pool, start.epoch) {
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
            lease_until: now + Duration::from_millis(start.lease_ms),
            outcome: None,
            is_checkpointed: false,
            start,
        };
        state.tasks.insert(position, task);
        state.advance(now);
        let running = state.tasks.iter().filter(|task| task.outcome.is_none()).count();
        state.running_peak = state.running_peak.max(running);
    }
    if state.lost_answers > 0 {
        state.lost_answers -= 1;
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(Json(WorkerReply::Done { report: WorkerReport::default() }))
}

async fn renew(State(worker): Shared, Json(renew): Json<RenewRequest>) -> Said {
    let mut state = worker.lock();
    if state.is_silent {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.is_current(&renew.pool, renew.epoch) {
        return Ok(Json(WorkerReply::Superseded));
    }
    let now = Instant::now();
    state.advance(now);
    state.tasks.retain(|task| !renew.stored.contains(&task.start.task));
    for task in &renew.tasks {
        if let Ok(index) = state.find(task) {
            state.tasks[index].lease_until = now + Duration::from_millis(renew.lease_ms);
        }
    }
    Ok(Json(WorkerReply::Done { report: state.report(&renew.pool) }))
}

async fn order(State(worker): Shared, Json(order): Json<TaskCommand>) -> Said {
    let mut state = worker.lock();
    if state.is_silent {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    if !state.is_current(&order.pool, order.epoch) {
        return Ok(Json(WorkerReply::Superseded));
    }
    state.advance(Instant::now());
    if let Ok(index) = state.find(&order.task) {
        let task = &mut state.tasks[index];
        match order.kind {
            CommandKind::Checkpoint => task.is_checkpointed = true,
            CommandKind::Throttle { .. } => {}
            CommandKind::Stop => task.outcome = task.outcome.or(Some(TaskOutcome::Stopped)),
        }
    }
    Ok(Json(WorkerReply::Done { report: state.report(&order.pool) }))
}

fn number(body: &str, name: &str) -> Option<u64> {
    body.split(' ').find_map(|word| word.strip_prefix(name)?.parse().ok())
}
