//! Simulates nodes that share a faulty table and run random work, in virtual time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use limits::ClusterView;
use limits::Demand;
use limits::DemandKey;
use limits::Holder;
use limits::Ledger;
use limits::Limit;
use limits::LimitKey;
use limits::LimitTable;
use limits::MemberDemand;
use limits::TickOutcome;
use limits::Tokens;
use model::ConfigVersion;
use model::HostId;
use model::TeamRef;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::MemoryTable;
use services::Table;
use standin::faulty_table::FaultRates;
use standin::faulty_table::FaultyTable;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum time between two ticks of a node.
const TICK_MAX: Duration = Duration::from_millis(200);
/// Maximum duration of one work item.
const WORK_MAX: Duration = Duration::from_millis(400);

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct TestPlan {
    pub seed: u64,
    pub nodes: u64,
    /// Running limit of the team at the start.
    pub limit: u32,
    /// Running limit of the team in the last phase.
    pub lowered: u32,
    pub fault_rates: FaultRates,
}

/// The ledger under test: correct, or with one broken rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Correct,
    /// An unknown outcome counts as a commit, so tokens are used too early.
    EarlyUse,
    /// Tokens stay in use while the write that gives them away is sent.
    LateRelease,
    /// Rows are written without a check of their version.
    NoPrecondition,
}

/// State that the nodes of a run share.
pub struct World {
    pub plan: TestPlan,
    pub table: Arc<dyn Table>,
    started_at: Instant,
    /// Number of work items that were started.
    pub runs: AtomicU32,
    /// Tokens of all nodes that were started, including killed ones.
    tables: Mutex<Vec<Arc<LimitTable>>>,
    /// Demands of the live nodes, sorted by holder.
    members: Mutex<Vec<MemberDemand>>,
    limits: Mutex<(ConfigVersion, Vec<Limit>)>,
    pub violations: Mutex<Vec<String>>,
}

pub fn team() -> TeamRef {
    TeamRef::new("levy", "officers")
}

pub fn host() -> HostId {
    "w1".into()
}

/// Keys of the two limits; each work item needs a token of both.
pub fn keys() -> [LimitKey; 2] {
    [LimitKey::Running(team()), LimitKey::Slots(host())]
}

fn limits(count: u32) -> Vec<Limit> {
    let demand = DemandKey::Team(team());
    let [running, slots] = keys();
    vec![
        Limit { key: running, count, demand: demand.clone() },
        Limit { key: slots, count: 8, demand },
    ]
}

impl World {
    pub fn new(plan: TestPlan, variant: Variant) -> Arc<Self> {
        let memory = Arc::new(MemoryTable::default());
        let faulty = FaultyTable::new(memory, plan.fault_rates, plan.seed);
        let table = crate::broken::table(faulty, variant);
        Arc::new(Self {
            plan,
            table,
            started_at: Instant::now(),
            runs: AtomicU32::new(0),
            tables: Mutex::default(),
            members: Mutex::default(),
            limits: Mutex::new((1, limits(plan.limit))),
            violations: Mutex::default(),
        })
    }

    /// Changes the team's limit at all nodes at once.
    pub fn set_limit(&self, count: u32) {
        let mut held = self.limits.lock().unwrap();
        let lowered = count < held.1[0].count;
        *held = (held.0 + 1, limits(count));
        if lowered {
            for table in self.tables.lock().unwrap().iter() {
                table.freeze(&keys()[0], held.0);
            }
        }
    }

    /// Current time; a run starts at the epoch.
    fn now(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.started_at.elapsed()
    }

    pub fn limit(&self) -> u32 {
        self.limits.lock().unwrap().1[0].count
    }

    fn view(&self) -> (ConfigVersion, Vec<Limit>, Vec<MemberDemand>) {
        let (version, limits) = self.limits.lock().unwrap().clone();
        (version, limits, self.members.lock().unwrap().clone())
    }

    pub fn set_demand(&self, holder: &Holder, count: u32) {
        let mut members = self.members.lock().unwrap();
        let demands = vec![Demand { key: DemandKey::Team(team()), count }];
        let member = MemberDemand { holder: holder.clone(), demands };
        match members.binary_search_by(|other| other.holder.cmp(holder)) {
            Ok(index) => members[index] = member,
            Err(index) => members.insert(index, member),
        }
    }

    pub fn remove_member(&self, holder: &Holder) {
        self.members.lock().unwrap().retain(|member| member.holder != *holder);
    }

    /// Returns the number of tokens that all nodes may use or are using, and the number in use.
    pub fn usable(&self, key: &LimitKey) -> (u32, u32) {
        let tables = self.tables.lock().unwrap();
        let rows = tables.iter().filter_map(|table| table.get(key));
        rows.fold((0, 0), |(usable, used), row| {
            (usable + row.granted.max(row.running), used + row.running)
        })
    }

    /// Records a violation if the nodes together may use more tokens than a limit has.
    pub fn check(&self, at: &str) {
        let [running, slots] = keys();
        let bounds = [(running, self.plan.limit), (slots, 8)];
        for (key, limit) in bounds {
            let (usable, _) = self.usable(&key);
            if usable > limit {
                self.violations.lock().unwrap().push(format!("{at}: {key}: {usable} > {limit}"));
            }
        }
    }

    fn check_new_work(&self) {
        let (_, used) = self.usable(&keys()[0]);
        if used > self.limit() {
            let violation = format!("new work was started while {used} items run");
            self.violations.lock().unwrap().push(violation);
        }
    }
}

/// A running node: its ledger and its work.
pub struct NodeRun {
    pub holder: Holder,
    pub tokens: Arc<LimitTable>,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeRun {
    pub fn start(world: &Arc<World>, holder: Holder, variant: Variant) -> Self {
        let tokens = Arc::new(LimitTable::default());
        world.tables.lock().unwrap().push(tokens.clone());
        world.set_demand(&holder, 0);
        let ledger = run_ledger(world.clone(), holder.clone(), tokens.clone(), variant);
        let work = run_work(world.clone(), holder.clone(), tokens.clone());
        let tasks = vec![tokio::spawn(ledger), tokio::spawn(work)];
        Self { holder, tokens, tasks }
    }

    /// Stops starting new work.
    pub fn stop_work(&self) {
        self.tasks[1].abort();
    }

    /// Kills the node; work that it has started continues.
    pub fn kill(&self, world: &World) {
        self.tasks.iter().for_each(|task| task.abort());
        world.remove_member(&self.holder);
        self.tokens.revoke_all();
    }

    pub fn is_idle(&self) -> bool {
        keys().iter().all(|key| self.tokens.get(key).is_none_or(|row| row.running == 0))
    }
}

async fn run_ledger(world: Arc<World>, holder: Holder, tokens: Arc<LimitTable>, variant: Variant) {
    let mut rng = SmallRng::seed_from_u64(world.plan.seed ^ holder.incarnation ^ hash(&holder));
    let mut ledger = Ledger::new(holder);
    let checked = crate::broken::Checked { world: world.clone(), tokens, variant };
    loop {
        let (config_version, limits, members) = world.view();
        let now = world.now();
        let view = ClusterView {
            limits: &limits,
            config_version,
            members: &members,
            now,
            is_leaving: false,
        };
        // The next tick retries a failed one.
        let _ = ledger.tick(&*world.table, &checked, &view).await;
        tokio::time::sleep(TICK_MAX.mul_f64(rng.random_range(0.1..1.0))).await;
    }
}

async fn run_work(world: Arc<World>, holder: Holder, tokens: Arc<LimitTable>) {
    let mut rng = SmallRng::seed_from_u64(world.plan.seed.rotate_left(7) ^ hash(&holder));
    let mut demand = 0;
    loop {
        if rng.random_range(0..20) == 0 {
            demand = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..16) };
            world.set_demand(&holder, demand);
        }
        for _ in 0..demand {
            start_work(&world, &tokens, WORK_MAX.mul_f64(rng.random_range(0.0..1.0)));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..60))).await;
    }
}

fn start_work(world: &Arc<World>, tokens: &Arc<LimitTable>, duration: Duration) {
    let [running, slots] = keys();
    if !tokens.try_acquire(&running) {
        return;
    }
    if !tokens.try_acquire(&slots) {
        tokens.release(&running);
        return;
    }
    world.runs.fetch_add(1, Ordering::Relaxed);
    world.check_new_work();
    let tokens = tokens.clone();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        tokens.release(&running);
        tokens.release(&slots);
    });
}

/// Waits until the work of `gone` has finished, then reclaims its tokens as the live node `by`.
pub async fn reclaim(world: &Arc<World>, gone: &NodeRun, by: Holder) {
    while !gone.is_idle() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Uses a separate copy of the ledger, because the nodes' own copies belong to their tasks.
    let mut ledger = Ledger::new(by);
    let idle = LimitTable::default();
    loop {
        let (config_version, limits, members) = world.view();
        let now = world.now();
        let view = ClusterView {
            limits: &limits,
            config_version,
            members: &members,
            now,
            is_leaving: false,
        };
        let loaded = ledger.reload(&*world.table, &idle, &view).await.is_ok();
        let cleared_hosts = [host()];
        let reclaimed =
            ledger.reclaim(&*world.table, &idle, &view, &gone.holder, &cleared_hosts).await;
        let is_done = reclaimed.is_ok_and(|r| r.remaining == 0 && r.tick == TickOutcome::Idle);
        if loaded && is_done {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn hash(holder: &Holder) -> u64 {
    holder.node.bytes().fold(holder.incarnation, |hash, byte| hash * 31 + u64::from(byte))
}
