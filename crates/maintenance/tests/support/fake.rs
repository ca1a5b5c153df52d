//! Fakes of the table and the fleet in virtual time, and planners that act on them.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;

use async_trait::async_trait;
use control::ChangeError;
use control::ConfigWriter;
use maintenance::Evidence;
use maintenance::HostEvidence;
use maintenance::HostList;
use maintenance::Moment;
use maintenance::NodeReport;
use maintenance::Probe;
use maintenance::RowChanges;
use maintenance::wave;
use model::Config;
use model::HostId;
use model::HostRow;
use model::HostState;
use model::OperationId;
use model::contract::parse_contract;
use services::CommitOutcome;
use services::FleetHost;
use services::FleetHostState;
use services::MemoryTable;
use services::Precondition;
use services::RebootState;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use services::Unavailable;

/// Time of one tick.
pub const TICK: Duration = Duration::from_secs(5);
/// Time that a reboot takes.
pub const REBOOT: Duration = Duration::from_secs(300);

/// Table that can be away, or lose answers.
#[derive(Default)]
pub struct FakeTable {
    pub inner: MemoryTable,
    pub down: AtomicBool,
    pub lose_answers: AtomicU32,
}

impl FakeTable {
    fn answer(&self) -> Result<(), Unavailable> {
        if self.down.load(Ordering::Relaxed) { Err(Unavailable::new("down")) } else { Ok(()) }
    }
}

#[async_trait]
impl Table for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.answer()?;
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.answer()?;
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        if self.answer().is_err() {
            return CommitOutcome::Unknown;
        }
        let outcome = self.inner.commit(transaction).await;
        let lost = self
            .lose_answers
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        if lost.is_ok() { CommitOutcome::Unknown } else { outcome }
    }
}

/// What a reboot of a host leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Returns,
    NeverEnds,
    ComesBackBroken,
}

/// A host as it really is.
#[derive(Clone, Debug)]
pub struct TrueHost {
    pub id: HostId,
    pub address: SocketAddr,
    pub rack: String,
    pub zone: String,
    pub up: bool,
    pub broken: bool,
    pub boot_count: u64,
    pub fate: Fate,
    pub running: u32,
}

/// A reboot that the platform was asked for.
#[derive(Clone, Debug)]
pub struct Reboot {
    pub host: HostId,
    pub operation: OperationId,
    pub started: SystemTime,
    pub over: bool,
}

/// The world outside the decisions.
pub struct World {
    pub now: SystemTime,
    pub table: FakeTable,
    pub writer: ConfigWriter,
    pub hosts: Vec<TrueHost>,
    pub reboots: Vec<Reboot>,
    /// What the list shows while it is stale.
    pub stale_list: Option<Vec<FleetHost>>,
}

/// Contract of one service with `hosts` hosts, `rack_size` to a rack, racks dealt to three zones.
pub fn contract(hosts: usize, rack_size: usize, unavailable_max: u32) -> String {
    let mut text = format!(
        "customer = \"levy\"\nprofile = \"share\"\n\
         [[services]]\nname = \"validate\"\nunavailable_max = {unavailable_max}\n\
         [[pools]]\nname = \"validate\"\nservice = \"validate\"\n\
         [[pools]]\nname = \"spare\"\n"
    );
    for index in 0..hosts {
        let rack = index / rack_size;
        let zone = ["a", "b", "c"][rack % 3];
        text.push_str(&format!(
            "[[hosts]]\nname = \"h{index:02}\"\npool = \"validate\"\n\
             address = \"10.0.0.{}:80\"\nzone = \"{zone}\"\nrack = \"r{rack}\"\nslots = 8\n\
             connections_max = 64\nprocessors = 16\nmemory_mib = 32768\n",
            index + 1
        ));
    }
    text
}

impl World {
    /// A fleet under `text` in which everything is well.
    pub async fn new(text: &str) -> Self {
        let contract = parse_contract("test", text).unwrap();
        let true_host = |spec: &model::host::HostSpec| TrueHost {
            id: spec.id.clone(),
            address: spec.address,
            rack: spec.rack.to_string(),
            zone: spec.zone.to_string(),
            up: true,
            broken: false,
            boot_count: 3,
            fate: Fate::Returns,
            running: 0,
        };
        let world = Self {
            now: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            table: FakeTable::default(),
            writer: ConfigWriter::default(),
            hosts: contract.hosts.iter().map(true_host).collect(),
            reboots: Vec::new(),
            stale_list: None,
        };
        world.writer.apply_contract(&world.table, contract, None).await.unwrap();
        world
    }

    pub fn host(&mut self, id: &str) -> &mut TrueHost {
        self.hosts.iter_mut().find(|host| &*host.id == id).unwrap()
    }

    pub async fn config(&self) -> Config {
        control::load(&self.table.inner).await.unwrap()
    }

    pub async fn row(&self, id: &str) -> HostRow {
        self.config().await.host(id).unwrap().clone()
    }

    /// What the platform lists now.
    pub fn list(&self) -> Vec<FleetHost> {
        let up = self.hosts.iter().filter(|host| host.up);
        up.map(|host| FleetHost {
            id: host.id.clone(),
            address: host.address,
            boot_count: host.boot_count,
            state: FleetHostState::Live,
            seen_at: self.now,
        })
        .collect()
    }

    /// Lets time pass; reboots end or not, as their hosts' fates have it.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for reboot in self.reboots.iter_mut().filter(|reboot| !reboot.over) {
            let host = self.hosts.iter_mut().find(|host| host.id == reboot.host).unwrap();
            let passed = now.duration_since(reboot.started).unwrap();
            if host.fate == Fate::NeverEnds || passed < REBOOT {
                host.up = false;
                continue;
            }
            reboot.over = true;
            host.up = true;
            host.boot_count += 1;
            host.broken = host.fate == Fate::ComesBackBroken;
        }
    }

    /// Evidence as a planner gathers it now.
    pub fn gather(&mut self, config: &Config) -> Evidence {
        let mut hosts = Vec::new();
        for row in &config.hosts {
            let mut own = HostEvidence::none(row);
            let true_host = self.host(row.id()).clone();
            match row.state {
                HostState::Draining => {
                    let config_version = Some(config.version);
                    own.reports =
                        vec![NodeReport { config_version, running: Some(true_host.running) }];
                }
                HostState::Rebooting => own.reboot = Some(self.reboot(row)),
                HostState::Returning => {
                    let answers = true_host.up && !true_host.broken;
                    let healthy = Probe::Healthy { at: self.now };
                    own.probe = Some(if answers { healthy } else { Probe::Unresponsive });
                }
                _ => continue,
            }
            hosts.push(own);
        }
        let list = self.stale_list.clone().unwrap_or_else(|| self.list());
        Evidence {
            gathered_at: self.now,
            hosts,
            list: HostList::new(list),
            unresponsive: Vec::new(),
        }
    }

    fn reboot(&mut self, row: &HostRow) -> RebootState {
        let operation = maintenance::reboot_operation_id(row);
        if let Some(known) = self.reboots.iter().find(|reboot| reboot.operation == operation) {
            return if known.over { RebootState::Done } else { RebootState::Running };
        }
        let started = self.now;
        let host = row.id().clone();
        self.reboots.push(Reboot { host, operation, started, over: false });
        RebootState::Running
    }

    /// Commits what `decide` makes of the latest configuration.
    pub async fn change(
        &self,
        fences: Vec<Precondition>,
        decide: impl Fn(&Config, Moment) -> Result<RowChanges, ChangeError>,
    ) -> Result<u64, ChangeError> {
        let now = self.now;
        let decide_rows = |config: &Config| {
            let moment = Moment { version: config.version + 1, now };
            Ok(decide(config, moment)?.rows())
        };
        self.writer.change_if(&self.table, None, fences, decide_rows).await
    }

    /// Commits a planner's step on `evidence`; false if there was nothing to do.
    pub async fn act(&self, evidence: &Evidence) -> bool {
        let changed = self.change(Vec::new(), |config, moment| {
            let step = maintenance::advance_all(config, evidence, |_| true, moment);
            if step.is_empty() { Err(nothing()) } else { Ok(step) }
        });
        changed.await.is_ok()
    }

    /// One planner's whole tick.
    pub async fn tick(&mut self) {
        let Ok(config) = control::load(&self.table).await else {
            return;
        };
        let evidence = self.gather(&config);
        self.act(&evidence).await;
    }

    /// Ticks until `wanted` holds; panics after a virtual day.
    pub async fn run_until(&mut self, wanted: impl Fn(&Config) -> bool) {
        for _ in 0..17_280 {
            self.tick().await;
            if wanted(&self.config().await) {
                return;
            }
            self.pass(TICK);
        }
        panic!("never came: {:?}", self.config().await.waves);
    }

    pub async fn start_wave(&self, pool: &str) {
        let plan = |config: &Config, moment| Ok(of_wave(wave::plan(config, pool, moment).unwrap()));
        self.change(Vec::new(), plan).await.unwrap();
        let start = |config: &Config, _| Ok(of_wave(wave::start(config, pool).unwrap()));
        self.change(Vec::new(), start).await.unwrap();
    }
}

pub fn nothing() -> ChangeError {
    ChangeError::Invalid { reason: "nothing to do".to_owned() }
}

pub fn of_wave(row: model::WaveRow) -> RowChanges {
    RowChanges { hosts: Vec::new(), waves: vec![row] }
}

pub fn of_host(row: HostRow) -> RowChanges {
    RowChanges { hosts: vec![row], waves: Vec::new() }
}

/// Hosts that do not serve.
pub fn out(config: &Config) -> usize {
    config.hosts.iter().filter(|row| row.state != HostState::Serving).count()
}
