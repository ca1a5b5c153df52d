//! Simulates the ledgers of several nodes over one table in memory, in virtual time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use limits::ClusterView;
use limits::Demand;
use limits::DemandKey;
use limits::Holder;
use limits::Ledger;
use limits::Limit;
use limits::LimitKey;
use limits::LimitTable;
use limits::MemberDemand;
use limits::SmoothedDemands;
use model::TeamRef;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use services::CommitOutcome;
use services::MemoryTable;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;

/// Virtual time that one step advances, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Number of hosts of each service.
const HOSTS_PER_SERVICE: usize = 10;
/// Number of slots of each host.
const SLOTS: u32 = 8;
/// Maximum number of connections to each host.
const CONNECTIONS: u32 = 64;
/// Limit of the running requests of each team.
const TEAM_LIMIT: u32 = 80;
/// Number of steps after which most requests of a team or service arrive at another node.
const SKEW_STEPS: u64 = 100;
/// Percentage of the requests of a team or service that arrive at its busiest node.
const SKEW_PERCENT: u32 = 60;

/// Table in memory that counts its calls and their bytes.
#[derive(Default)]
pub struct CountingTable {
    inner: MemoryTable,
    /// Number of reads and scans.
    pub reads: AtomicU64,
    /// Number of transactions.
    pub writes: AtomicU64,
    /// Bytes that were read or written.
    pub bytes: AtomicU64,
}

impl CountingTable {
    fn record_call(&self, counter: &AtomicU64, bytes: usize) {
        counter.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

#[async_trait]
impl Table for CountingTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        let row = self.inner.get(key).await?;
        self.record_call(
            &self.reads,
            row.as_ref().map_or(0, |row| row.value.len() + row.key.len()),
        );
        Ok(row)
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        let rows = self.inner.scan(scan).await?;
        self.record_call(&self.reads, rows.iter().map(|row| row.value.len() + row.key.len()).sum());
        Ok(rows)
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let bytes =
            serde_json::to_vec(transaction).expect("a transaction has only string keys").len();
        self.record_call(&self.writes, bytes);
        self.inner.commit(transaction).await
    }
}

/// One simulated node.
pub struct Member {
    pub holder: Holder,
    pub tokens: Arc<LimitTable>,
    pub ledger: Ledger,
    smoothed_demands: SmoothedDemands,
    /// Step at which the ledger ticks next.
    next_tick: u64,
}

/// The simulated nodes and their table.
pub struct Fleet {
    pub table: CountingTable,
    pub members: Vec<Member>,
    /// Limits of all teams and hosts, sorted by key.
    pub limits: Vec<Limit>,
    /// Number of teams.
    pub teams: usize,
    /// Number of steps so far.
    pub step: u64,
    /// Current demands of each node.
    demands: Vec<MemberDemand>,
    rng: SmallRng,
}

impl Fleet {
    /// Creates a fleet with these numbers of nodes, teams and hosts.
    pub fn new(nodes: usize, teams: usize, hosts: usize) -> Self {
        let holders = (0..nodes).map(|node| Holder::new(format!("node-{node:03}"), 1));
        let members = holders.map(|holder| Member {
            holder: holder.clone(),
            tokens: Arc::default(),
            ledger: Ledger::new(holder),
            smoothed_demands: SmoothedDemands::default(),
            next_tick: 0,
        });
        Self {
            table: CountingTable::default(),
            members: members.collect(),
            limits: limits(teams, hosts),
            teams,
            step: 0,
            demands: Vec::new(),
            rng: SmallRng::seed_from_u64(4),
        }
    }

    /// Advances virtual time by one step: changes the demands, ticks the ledgers that are due, and
    /// acquires and releases tokens.
    pub async fn step(&mut self) {
        self.step += 1;
        self.update_demands();
        let tick_steps = (self.members.len() as u64).max(2);
        for index in 0..self.members.len() {
            if self.members[index].next_tick > self.step {
                continue;
            }
            // The mean interval is a tenth of a second for each node of the fleet, so that the rate
            // of all ticks together does not grow with the number of nodes.
            let jitter = self.rng.random_range(0.75..1.25);
            self.members[index].next_tick =
                self.step + ((tick_steps as f64 * jitter) as u64).max(1);
            self.tick_ledger(index).await;
        }
        self.use_tokens();
    }

    /// Returns the demand of each node for tokens of a team.
    pub fn team_demands(&self, team: usize) -> Vec<u32> {
        self.demands.iter().map(|member| member.count(&DemandKey::Team(team_ref(team)))).collect()
    }

    async fn tick_ledger(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.smoothed_demands.observe(self.demands.clone());
        let view = ClusterView {
            limits: &self.limits,
            config_version: 1,
            members: member.smoothed_demands.members(),
            now: SystemTime::UNIX_EPOCH + Duration::from_millis(self.step * STEP_MS),
            is_leaving: false,
        };
        // The table in memory never fails.
        let _ = member.ledger.tick(&self.table, &*member.tokens, &view).await;
    }

    /// Sets the demands of the current step.
    ///
    /// Each team demands more than its limit for a tenth of the time, and little in between. Most
    /// requests of a team arrive at one node, which changes with time.
    fn update_demands(&mut self) {
        let nodes = self.members.len();
        let mut demands: Vec<MemberDemand> = self
            .members
            .iter()
            .map(|member| MemberDemand { holder: member.holder.clone(), demands: Vec::new() })
            .collect();
        for team in 0..self.teams {
            let phase = (self.step + team as u64 * 37) % 500;
            let total = if phase < 50 { TEAM_LIMIT * 3 / 2 } else { TEAM_LIMIT / 20 };
            let busiest = (self.step / SKEW_STEPS) as usize + team;
            for (node, member) in demands.iter_mut().enumerate() {
                let percent = node_percent(nodes, node == busiest % nodes);
                let count = (total * percent).div_ceil(100);
                member.demands.push(Demand { key: DemandKey::Team(team_ref(team)), count });
            }
        }
        let services = self.limits.len().div_ceil(2 * HOSTS_PER_SERVICE);
        for (node, member) in demands.iter_mut().enumerate() {
            for service in 0..services {
                let busiest = (self.step / SKEW_STEPS) as usize + service;
                let percent = node_percent(nodes, node == busiest % nodes);
                let count = (HOSTS_PER_SERVICE as u32 * SLOTS * percent).div_ceil(100);
                let key = DemandKey::Service("levy".into(), service_name(service).into());
                member.demands.push(Demand { key, count });
            }
            member.demands.sort_by(|a, b| a.key.cmp(&b.key));
        }
        self.demands = demands;
    }

    /// Acquires and releases tokens of the teams, so that each node runs its demand as far as its
    /// tokens allow.
    fn use_tokens(&self) {
        for (member, demand) in self.members.iter().zip(&self.demands) {
            for team in 0..self.teams {
                let key = LimitKey::Running(team_ref(team));
                let demanded = demand.count(&DemandKey::Team(team_ref(team)));
                let running = member.tokens.get(&key).map_or(0, |row| row.running);
                for _ in running..demanded {
                    if !member.tokens.try_acquire(&key) {
                        break;
                    }
                }
                for _ in demanded..running {
                    member.tokens.release(&key);
                }
            }
        }
    }
}

/// Returns the team with a number.
pub fn team_ref(team: usize) -> TeamRef {
    TeamRef::new("levy", format!("team-{team:04}"))
}

/// Returns the limit of each team.
pub fn team_limit() -> u32 {
    TEAM_LIMIT
}

/// Returns the percentage of the requests of a team or service that arrive at a node.
fn node_percent(nodes: usize, is_busiest: bool) -> u32 {
    match (nodes, is_busiest) {
        (1, _) => 100,
        (_, true) => SKEW_PERCENT,
        _ => (100 - SKEW_PERCENT) / (nodes as u32 - 1),
    }
}

fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

/// Returns the limits of all teams and hosts, sorted by key.
fn limits(teams: usize, hosts: usize) -> Vec<Limit> {
    let teams = (0..teams).map(|team| Limit {
        key: LimitKey::Running(team_ref(team)),
        count: TEAM_LIMIT,
        demand: DemandKey::Team(team_ref(team)),
    });
    let hosts = (0..hosts).flat_map(|host| {
        let name = format!("host-{host:04}");
        let service = service_name(host / HOSTS_PER_SERVICE);
        let demand = DemandKey::Service("levy".into(), service.into());
        [
            Limit {
                key: LimitKey::Slots(name.as_str().into()),
                count: SLOTS,
                demand: demand.clone(),
            },
            Limit { key: LimitKey::Connections(name.into()), count: CONNECTIONS, demand },
        ]
    });
    let mut limits: Vec<Limit> = teams.chain(hosts).collect();
    limits.sort_by(|a, b| a.key.cmp(&b.key));
    limits
}
