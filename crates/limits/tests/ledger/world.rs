//! Nodes that share one faulty table, under random work, in virtual time.

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
use standin::faulty_table::FaultyTable;
use standin::faulty_table::Odds;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Longest time between two ticks of a node.
const TICK_MAX: Duration = Duration::from_millis(200);
/// Longest time that one piece of work takes.
const WORK_MAX: Duration = Duration::from_millis(400);

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seed: u64,
    pub nodes: u64,
    pub limit: u32,
    pub lowered: u32,
    pub odds: Odds,
}

/// How the ledger sees the table and its tokens; broken ones leave a rule out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    Whole,
    /// Tokens are used before their commit is known.
    EarlyUse,
    /// Tokens are used until after the write that gives them away.
    LateRelease,
    /// Rows are written whatever their version.
    NoPrecondition,
}

/// State that all nodes of a run share.
pub struct World {
    pub plan: Plan,
    pub table: Arc<dyn Table>,
    started_at: Instant,
    /// Pieces of work that have run.
    pub runs: AtomicU32,
    /// Tokens of each node that ever ran, dead ones too.
    tables: Mutex<Vec<Arc<LimitTable>>>,
    /// What the live nodes ask for, sorted by holder.
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

/// Work needs one token of each.
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
    pub fn new(plan: Plan, variant: Variant) -> Arc<Self> {
        let memory = Arc::new(MemoryTable::default());
        let faulty = FaultyTable::new(memory, plan.odds, plan.seed);
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

    /// Changes the limit at all nodes at once.
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

    /// Present time, which begins at the epoch.
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

    pub fn ask(&self, holder: &Holder, count: u32) {
        let mut members = self.members.lock().unwrap();
        let demands = vec![Demand { key: DemandKey::Team(team()), count }];
        let member = MemberDemand { holder: holder.clone(), demands };
        match members.binary_search_by(|other| other.holder.cmp(holder)) {
            Ok(index) => members[index] = member,
            Err(index) => members.insert(index, member),
        }
    }

    pub fn forget(&self, holder: &Holder) {
        self.members.lock().unwrap().retain(|member| member.holder != *holder);
    }

    /// Tokens that all nodes may use or do use, and those in use.
    pub fn usable(&self, key: &LimitKey) -> (u32, u32) {
        let tables = self.tables.lock().unwrap();
        let rows = tables.iter().filter_map(|table| table.get(key));
        rows.fold((0, 0), |(usable, used), row| {
            (usable + row.granted.max(row.running), used + row.running)
        })
    }

    /// Notes a violation of the limits, if there is one now.
    pub fn check(&self, at: &str) {
        let [running, slots] = keys();
        let bounds = [(running, self.plan.limit), (slots, 8)];
        for (key, bound) in bounds {
            let (usable, _) = self.usable(&key);
            if usable > bound {
                self.violations.lock().unwrap().push(format!("{at}: {key}: {usable} > {bound}"));
            }
        }
    }

    fn check_take(&self) {
        let (_, used) = self.usable(&keys()[0]);
        if used > self.limit() {
            let violation = format!("new work although {used} run");
            self.violations.lock().unwrap().push(violation);
        }
    }
}

/// One running node.
pub struct NodeRun {
    pub holder: Holder,
    pub tokens: Arc<LimitTable>,
    tasks: Vec<JoinHandle<()>>,
}

impl NodeRun {
    pub fn start(world: &Arc<World>, holder: Holder, variant: Variant) -> Self {
        let tokens = Arc::new(LimitTable::default());
        world.tables.lock().unwrap().push(tokens.clone());
        world.ask(&holder, 0);
        let ledger = follow(world.clone(), holder.clone(), tokens.clone(), variant);
        let work = work(world.clone(), holder.clone(), tokens.clone());
        let tasks = vec![tokio::spawn(ledger), tokio::spawn(work)];
        Self { holder, tokens, tasks }
    }

    /// Ends the work of the node.
    pub fn stop_work(&self) {
        self.tasks[1].abort();
    }

    /// Ends the node without notice; what it has dispatched runs on.
    pub fn kill(&self, world: &World) {
        self.tasks.iter().for_each(|task| task.abort());
        world.forget(&self.holder);
        self.tokens.revoke_all();
    }

    pub fn runs_nothing(&self) -> bool {
        keys().iter().all(|key| self.tokens.get(key).is_none_or(|row| row.running == 0))
    }
}

async fn follow(world: Arc<World>, holder: Holder, tokens: Arc<LimitTable>, variant: Variant) {
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
        // A tick that fails is tried again.
        let _ = ledger.tick(&*world.table, &checked, &view).await;
        tokio::time::sleep(TICK_MAX.mul_f64(rng.random_range(0.1..1.0))).await;
    }
}

async fn work(world: Arc<World>, holder: Holder, tokens: Arc<LimitTable>) {
    let mut rng = SmallRng::seed_from_u64(world.plan.seed.rotate_left(7) ^ hash(&holder));
    let mut asked = 0;
    loop {
        if rng.random_range(0..20) == 0 {
            asked = if rng.random_bool(0.5) { 0 } else { rng.random_range(0..16) };
            world.ask(&holder, asked);
        }
        for _ in 0..asked {
            run_one(&world, &tokens, WORK_MAX.mul_f64(rng.random_range(0.0..1.0)));
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(1..60))).await;
    }
}

fn run_one(world: &Arc<World>, tokens: &Arc<LimitTable>, duration: Duration) {
    let [running, slots] = keys();
    if !tokens.try_acquire(&running) {
        return;
    }
    if !tokens.try_acquire(&slots) {
        tokens.release(&running);
        return;
    }
    world.runs.fetch_add(1, Ordering::Relaxed);
    world.check_take();
    let tokens = tokens.clone();
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        tokens.release(&running);
        tokens.release(&slots);
    });
}

/// Frees what `gone` held, as the live node `by`, once nothing of it runs.
pub async fn reclaim(world: &Arc<World>, gone: &NodeRun, by: Holder) {
    while !gone.runs_nothing() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Its own copy of the ledger: another node's task must not be in the way of this one.
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
        let quiet = [host()];
        let reclaimed = ledger.reclaim(&*world.table, &idle, &view, &gone.holder, &quiet).await;
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
