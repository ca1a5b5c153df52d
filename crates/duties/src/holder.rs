//! Takes and gives up duties in the table.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use events::EventKind;
use events::Recorder;
use model::Incarnation;
use model::NodeId;
use services::Committer;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Unavailable;
use services::Write;

use crate::DUTY_PREFIX;
use crate::Duty;
use crate::DutyName;
use crate::DutyRow;
use crate::Holder;
use crate::decide::Step;
use crate::decide::decide;
use crate::duty_key;

/// Duties changed in one transaction at most.
const BATCH_MAX: usize = 32;
/// Time that a transaction may take to settle.
const PATIENCE: Duration = Duration::from_secs(2);

/// What a node knows of the other nodes.
pub trait Members: Send + Sync {
    /// Nodes that take new work, this one included while it does.
    fn live(&self) -> Vec<NodeId>;

    /// True only if the holder can no longer act on anything that it held.
    fn is_gone(&self, holder: &Holder) -> bool;

    /// True while this node may act on what it holds.
    fn may_act(&self, now: Instant) -> bool;
}

/// Duties of one node.
pub struct Duties {
    me: Mutex<Holder>,
    table: Arc<dyn Table>,
    events: Arc<Recorder>,
    committer: Committer,
    /// Duties held, sorted by name.
    held: Mutex<Vec<Duty>>,
}

/// A duty row to be changed.
struct Planned {
    precondition: Precondition,
    write: Write,
}

impl Duties {
    /// Holds nothing yet.
    pub fn new(me: Holder, table: Arc<dyn Table>, events: Arc<Recorder>) -> Self {
        Self {
            me: Mutex::new(me),
            table,
            events,
            committer: Committer::default(),
            held: Mutex::default(),
        }
    }

    /// Begins a new run of the node; it holds no duty yet.
    pub fn start_incarnation(&self, incarnation: Incarnation) {
        self.me.lock().expect("no holder panics").incarnation = incarnation;
        self.held.lock().expect("no holder panics").clear();
    }

    /// The duty, if this node holds it and may act on it.
    pub fn held(&self, name: &str, members: &dyn Members, now: Instant) -> Option<Duty> {
        if !members.may_act(now) {
            return None;
        }
        let held = self.held.lock().expect("no holder panics");
        let index = held.binary_search_by(|duty| duty.name.as_str().cmp(name)).ok()?;
        Some(held[index].clone())
    }

    /// Names of all duties that this node holds.
    pub fn names(&self) -> Vec<DutyName> {
        let held = self.held.lock().expect("no holder panics");
        held.iter().map(|duty| duty.name.clone()).collect()
    }

    /// Takes and gives up duties so that `wanted` ones have their preferred holders.
    ///
    /// A failed read or a lost race changes nothing here; the next refresh sees what came of it.
    pub async fn refresh(
        &self,
        wanted: &[DutyName],
        members: &dyn Members,
    ) -> Result<(), Unavailable> {
        let rows = self.read().await?;
        self.keep(&rows);
        let planned = self.plan(wanted, &rows, members);
        if planned.is_empty() {
            return Ok(());
        }
        let mut preconditions = Vec::new();
        let mut writes = Vec::new();
        for change in planned {
            preconditions.push(change.precondition);
            writes.push(change.write);
        }
        self.committer.commit(&*self.table, preconditions, writes, PATIENCE).await;
        let rows = self.read().await?;
        self.keep(&rows);
        Ok(())
    }

    fn plan(
        &self,
        wanted: &[DutyName],
        rows: &[(Row, DutyRow)],
        members: &dyn Members,
    ) -> Vec<Planned> {
        let live = members.live();
        let me = self.me.lock().expect("no holder panics").clone();
        let mut planned = Vec::new();
        for name in wanted {
            let key = duty_key(name);
            let index = rows.binary_search_by(|(row, _)| row.key.as_str().cmp(&key));
            let found = index.ok().map(|index| &rows[index]);
            let duty_row = found.map(|(_, duty_row)| duty_row);
            let step = decide(name, duty_row, &me, &live, |holder| members.is_gone(holder));
            let value = match step {
                Step::Take { epoch } => DutyRow { holder: Some(me.clone()), epoch },
                Step::GiveUp { epoch } => DutyRow { holder: None, epoch },
                Step::Leave => continue,
            };
            planned.push(Planned {
                precondition: Precondition::unchanged(&key, found.map(|(row, _)| row)),
                write: Write::put_json(key, &value),
            });
            if planned.len() == BATCH_MAX {
                break;
            }
        }
        planned
    }

    async fn read(&self) -> Result<Vec<(Row, DutyRow)>, Unavailable> {
        let rows = self.table.scan(Scan::prefix(DUTY_PREFIX)).await?;
        rows.into_iter()
            .map(|row| {
                let value = serde_json::from_slice(&row.value).map_err(Unavailable::new)?;
                Ok((row, value))
            })
            .collect()
    }

    /// Keeps what the table says that this node holds, and records what changed.
    fn keep(&self, rows: &[(Row, DutyRow)]) {
        let me = self.me.lock().expect("no holder panics").clone();
        let now_held: Vec<Duty> = rows
            .iter()
            .filter(|(_, value)| value.holder.as_ref() == Some(&me))
            .map(|(row, value)| Duty {
                name: row.key[DUTY_PREFIX.len()..].to_owned(),
                epoch: value.epoch,
                row_version: row.version,
            })
            .collect();
        let before = {
            let mut held = self.held.lock().expect("no holder panics");
            std::mem::replace(&mut *held, now_held.clone())
        };
        let now = SystemTime::now();
        for duty in now_held.iter().filter(|duty| !before.contains(duty)) {
            let kind = EventKind::DutyTaken { duty: duty.name.clone(), epoch: duty.epoch };
            self.events.record(kind, now);
        }
        for duty in before.iter().filter(|duty| !now_held.contains(duty)) {
            let kind = EventKind::DutyLost { duty: duty.name.clone(), epoch: duty.epoch };
            self.events.record(kind, now);
        }
    }
}
