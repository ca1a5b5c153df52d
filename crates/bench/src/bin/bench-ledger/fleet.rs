//! A fleet of ledgers over one table in memory, in virtual time.

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

/// Virtual time between two steps, in milliseconds.
pub const STEP_MS: u64 = 100;
/// Hosts of one service.
const HOSTS_PER_SERVICE: usize = 10;
/// Slots and connections of a host.
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
/// Limit of a team.
const TEAM_LIMIT: u32 = 80;
/// Steps after which a team's callers come to another node.
const SKEW_STEPS: u64 = 100;
/// Part of a team's requests that come to one node, in percent.
const SKEW_PERCENT: u32 = 60;

/// Counts the calls of a table and their bytes.
#[derive(Default)]
pub struct CountingTable {
    inner: MemoryTable,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    pub bytes: AtomicU64,
}

impl CountingTable {
    fn count(&self, calls: &AtomicU64, bytes: usize) {
        calls.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

#[async_trait]
impl Table for CountingTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        let row = self.inner.get(key).await?;
        self.count(&self.reads, row.as_ref().map_or(0, |row| row.value.len() + row.key.len()));
        Ok(row)
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        let rows = self.inner.scan(scan).await?;
        self.count(&self.reads, rows.iter().map(|row| row.value.len() + row.key.len()).sum());
        Ok(rows)
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        let bytes = serde_json::to_vec(transaction).expect("rows have string keys only").len();
        self.count(&self.writes, bytes);
        self.inner.commit(transaction).await
    }
}

/// One node of the fleet.
pub struct Member {
    pub holder: Holder,
    pub tokens: Arc<LimitTable>,
    pub ledger: Ledger,
    meter: SmoothedDemands,
    next_tick: u64,
}

/// The fleet.
pub struct Fleet {
    pub table: CountingTable,
    pub members: Vec<Member>,
    pub limits: Vec<Limit>,
    pub teams: usize,
    pub step: u64,
    demands: Vec<MemberDemand>,
    rng: SmallRng,
}

impl Fleet {
    /// Fleet with `nodes` nodes, `teams` teams and `hosts` hosts.
    pub fn new(nodes: usize, teams: usize, hosts: usize) -> Self {
        let holders = (0..nodes).map(|node| Holder::new(format!("node-{node:03}"), 1));
        let members = holders.map(|holder| Member {
            holder: holder.clone(),
            tokens: Arc::default(),
            ledger: Ledger::new(holder),
            meter: SmoothedDemands::default(),
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

    /// One step of virtual time: demand changes, and the nodes whose turn it is look at the ledger.
    pub async fn step(&mut self) {
        self.step += 1;
        self.ask();
        let tick_steps = (self.members.len() as u64).max(2);
        for index in 0..self.members.len() {
            if self.members[index].next_tick > self.step {
                continue;
            }
            // Nodes with jitter, a tenth of a second for each node of the fleet.
            let jitter = self.rng.random_range(0.75..1.25);
            self.members[index].next_tick =
                self.step + ((tick_steps as f64 * jitter) as u64).max(1);
            self.look(index).await;
        }
        self.use_tokens();
    }

    /// What each node asks for of a team.
    pub fn asked(&self, team: usize) -> Vec<u32> {
        self.demands.iter().map(|member| member.count(&DemandKey::Team(team_ref(team)))).collect()
    }

    async fn look(&mut self, index: usize) {
        let member = &mut self.members[index];
        member.meter.observe(self.demands.clone());
        let view = ClusterView {
            limits: &self.limits,
            config_version: 1,
            members: member.meter.members(),
            now: SystemTime::UNIX_EPOCH + Duration::from_millis(self.step * STEP_MS),
            is_leaving: false,
        };
        // The table in memory always answers.
        let _ = member.ledger.tick(&self.table, &*member.tokens, &view).await;
    }

    /// Teams ask for more than their limit for a tenth of the time, and for little in between; most
    /// of a team's requests come to one node, and to another one later.
    fn ask(&mut self) {
        let nodes = self.members.len();
        let mut demands: Vec<MemberDemand> = self
            .members
            .iter()
            .map(|member| MemberDemand { holder: member.holder.clone(), demands: Vec::new() })
            .collect();
        for team in 0..self.teams {
            let phase = (self.step + team as u64 * 37) % 500;
            let total = if phase < 50 { TEAM_LIMIT * 3 / 2 } else { TEAM_LIMIT / 20 };
            let busy = (self.step / SKEW_STEPS) as usize + team;
            for (node, member) in demands.iter_mut().enumerate() {
                let percent = share_percent(nodes, node == busy % nodes);
                let count = (total * percent).div_ceil(100);
                member.demands.push(Demand { key: DemandKey::Team(team_ref(team)), count });
            }
        }
        let services = self.limits.len().div_ceil(2 * HOSTS_PER_SERVICE);
        for (node, member) in demands.iter_mut().enumerate() {
            for service in 0..services {
                let busy = (self.step / SKEW_STEPS) as usize + service;
                let percent = share_percent(nodes, node == busy % nodes);
                let count = (HOSTS_PER_SERVICE as u32 * SLOTS * percent).div_ceil(100);
                let key = DemandKey::Service("levy".into(), service_name(service).into());
                member.demands.push(Demand { key, count });
            }
            member.demands.sort_by(|a, b| a.key.cmp(&b.key));
        }
        self.demands = demands;
    }

    /// Work takes and gives back tokens so that each node runs what it is asked for, if it can.
    fn use_tokens(&self) {
        for (member, demand) in self.members.iter().zip(&self.demands) {
            for team in 0..self.teams {
                let key = LimitKey::Running(team_ref(team));
                let asked = demand.count(&DemandKey::Team(team_ref(team)));
                let running = member.tokens.get(&key).map_or(0, |row| row.running);
                for _ in running..asked {
                    if !member.tokens.try_acquire(&key) {
                        break;
                    }
                }
                for _ in asked..running {
                    member.tokens.release(&key);
                }
            }
        }
    }
}

/// Team by number.
pub fn team_ref(team: usize) -> TeamRef {
    TeamRef::new("levy", format!("team-{team:04}"))
}

/// Tokens of a team.
pub fn team_limit() -> u32 {
    TEAM_LIMIT
}

fn share_percent(nodes: usize, is_busy: bool) -> u32 {
    match (nodes, is_busy) {
        (1, _) => 100,
        (_, true) => SKEW_PERCENT,
        _ => (100 - SKEW_PERCENT) / (nodes as u32 - 1),
    }
}

fn service_name(service: usize) -> String {
    format!("service-{service:03}")
}

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
