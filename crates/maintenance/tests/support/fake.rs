//! Fakes of the table and of the fleet in virtual time, and planners that act on them.

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

/// Virtual time between two ticks of a planner.
pub const TICK: Duration = Duration::from_secs(5);
/// Duration of a successful reboot.
pub const REBOOT_DURATION: Duration = Duration::from_secs(300);

/// Table that can be down, and whose replies to commits can be lost.
#[derive(Default)]
pub struct FakeTable {
    pub inner: MemoryTable,
    pub is_down: AtomicBool,
    pub lost_replies: AtomicU32,
}

impl FakeTable {
    fn check_up(&self) -> Result<(), Unavailable> {
        if self.is_down.load(Ordering::Relaxed) { Err(Unavailable::new("down")) } else { Ok(()) }
    }
}

#[async_trait]
impl Table for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, Unavailable> {
        self.check_up()?;
        self.inner.get(key).await
    }

    async fn scan(&self, scan: Scan) -> Result<Vec<Row>, Unavailable> {
        self.check_up()?;
        self.inner.scan(scan).await
    }

    async fn commit(&self, transaction: &Transaction) -> CommitOutcome {
        if self.check_up().is_err() {
            return CommitOutcome::Unknown;
        }
        let outcome = self.inner.commit(transaction).await;
        let lost_reply =
            self.lost_replies
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        if lost_reply.is_ok() { CommitOutcome::Unknown } else { outcome }
    }
}

/// How a reboot of a host ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RebootOutcome {
    Returns,
    NeverEnds,
    ReturnsBroken,
}

/// Real state of a host, as opposed to what the host list shows.
#[derive(Clone, Debug)]
pub struct ActualHost {
    pub id: HostId,
    pub address: SocketAddr,
    pub rack: String,
    pub zone: String,
    pub is_up: bool,
    pub is_broken: bool,
    pub boot_count: u64,
    pub reboot_outcome: RebootOutcome,
    pub running: u32,
}

/// A reboot that was requested from the platform.
#[derive(Clone, Debug)]
pub struct Reboot {
    pub host: HostId,
    pub operation: OperationId,
    pub started: SystemTime,
    pub is_finished: bool,
}

/// Table, fleet and clock, on which planners act.
pub struct World {
    pub now: SystemTime,
    pub table: FakeTable,
    pub writer: ConfigWriter,
    pub hosts: Vec<ActualHost>,
    pub reboots: Vec<Reboot>,
    /// What the host list shows instead of the real state, if set.
    pub stale_list: Option<Vec<FleetHost>>,
}

/// Returns a contract with one service of `hosts` hosts, `rack_size` to a rack. The racks are
/// spread over three zones in turn.
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
    /// Creates the fleet of the contract `text`, with all hosts up and healthy.
    pub async fn new(text: &str) -> Self {
        let contract = parse_contract("test", text).unwrap();
        let actual_host = |spec: &model::host::HostSpec| ActualHost {
            id: spec.id.clone(),
            address: spec.address,
            rack: spec.rack.to_string(),
            zone: spec.zone.to_string(),
            is_up: true,
            is_broken: false,
            boot_count: 3,
            reboot_outcome: RebootOutcome::Returns,
            running: 0,
        };
        let world = Self {
            now: SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000),
            table: FakeTable::default(),
            writer: ConfigWriter::default(),
            hosts: contract.hosts.iter().map(actual_host).collect(),
            reboots: Vec::new(),
            stale_list: None,
        };
        world.writer.apply_contract(&world.table, contract, None).await.unwrap();
        world
    }

    pub fn host(&mut self, id: &str) -> &mut ActualHost {
        self.hosts.iter_mut().find(|host| &*host.id == id).unwrap()
    }

    pub async fn config(&self) -> Config {
        control::load(&self.table.inner).await.unwrap()
    }

    pub async fn row(&self, id: &str) -> HostRow {
        self.config().await.host(id).unwrap().clone()
    }

    /// Returns the host list for the real state.
    pub fn list(&self) -> Vec<FleetHost> {
        let up_hosts = self.hosts.iter().filter(|host| host.is_up);
        up_hosts
            .map(|host| FleetHost {
                id: host.id.clone(),
                address: host.address,
                boot_count: host.boot_count,
                state: FleetHostState::Live,
                seen_at: self.now,
            })
            .collect()
    }

    /// Advances the clock. A reboot that has lasted long enough ends as its host's `reboot_outcome`
    /// says.
    pub fn advance_time(&mut self, time: Duration) {
        self.now += time;
        let now = self.now;
        for reboot in self.reboots.iter_mut().filter(|reboot| !reboot.is_finished) {
            let host = self.hosts.iter_mut().find(|host| host.id == reboot.host).unwrap();
            let passed = now.duration_since(reboot.started).unwrap();
            if host.reboot_outcome == RebootOutcome::NeverEnds || passed < REBOOT_DURATION {
                host.is_up = false;
                continue;
            }
            reboot.is_finished = true;
            host.is_up = true;
            host.boot_count += 1;
            host.is_broken = host.reboot_outcome == RebootOutcome::ReturnsBroken;
        }
    }

    /// Returns the evidence that a planner gathers now.
    pub fn gather(&mut self, config: &Config) -> Evidence {
        let mut hosts = Vec::new();
        for row in &config.hosts {
            let mut host_evidence = HostEvidence::none(row);
            let actual_host = self.host(row.id()).clone();
            match row.state {
                HostState::Draining => {
                    let config_version = Some(config.version);
                    host_evidence.reports =
                        vec![NodeReport { config_version, running: Some(actual_host.running) }];
                }
                HostState::Rebooting => host_evidence.reboot = Some(self.reboot(row)),
                HostState::Returning => {
                    let is_responsive = actual_host.is_up && !actual_host.is_broken;
                    let healthy = Probe::Healthy { at: self.now };
                    host_evidence.probe =
                        Some(if is_responsive { healthy } else { Probe::Unresponsive });
                }
                _ => continue,
            }
            hosts.push(host_evidence);
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
            return if known.is_finished { RebootState::Done } else { RebootState::Running };
        }
        let started = self.now;
        let host = row.id().clone();
        self.reboots.push(Reboot { host, operation, started, is_finished: false });
        RebootState::Running
    }

    /// Commits the rows that `decide` returns for the latest configuration.
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

    /// Commits the transitions that follow from `evidence`; false if there were none or the commit
    /// failed.
    pub async fn apply(&self, evidence: &Evidence) -> bool {
        let changed = self.change(Vec::new(), |config, moment| {
            let changes = maintenance::advance_all(config, evidence, |_| true, moment);
            if changes.is_empty() { Err(nothing_to_do()) } else { Ok(changes) }
        });
        changed.await.is_ok()
    }

    /// Runs one tick of a planner.
    pub async fn tick(&mut self) {
        let Ok(config) = control::load(&self.table).await else {
            return;
        };
        let evidence = self.gather(&config);
        self.apply(&evidence).await;
    }

    /// Ticks until `wanted` holds; panics after one virtual day.
    pub async fn run_until(&mut self, wanted: impl Fn(&Config) -> bool) {
        for _ in 0..17_280 {
            self.tick().await;
            if wanted(&self.config().await) {
                return;
            }
            self.advance_time(TICK);
        }
        panic!("not reached within a virtual day: {:?}", self.config().await.waves);
    }

    pub async fn start_wave(&self, pool: &str) {
        let plan =
            |config: &Config, moment| Ok(wave_changes(wave::plan(config, pool, moment).unwrap()));
        self.change(Vec::new(), plan).await.unwrap();
        let start = |config: &Config, _| Ok(wave_changes(wave::start(config, pool).unwrap()));
        self.change(Vec::new(), start).await.unwrap();
    }
}

pub fn nothing_to_do() -> ChangeError {
    ChangeError::Invalid { reason: "nothing to do".to_owned() }
}

pub fn wave_changes(row: model::WaveRow) -> RowChanges {
    RowChanges { hosts: Vec::new(), waves: vec![row] }
}

pub fn host_changes(row: HostRow) -> RowChanges {
    RowChanges { hosts: vec![row], waves: Vec::new() }
}

/// Returns the number of hosts that are not serving.
pub fn unavailable_count(config: &Config) -> usize {
    config.hosts.iter().filter(|row| row.state != HostState::Serving).count()
}
