//! Acquires and releases duties in the table.

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
use crate::decide::DutyAction;
use crate::decide::decide;
use crate::duty_key;

/// Maximum number of duties that one transaction changes.
const BATCH_MAX: usize = 32;
/// Time after which the outcome of a transaction counts as unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// What a node knows of the members of its cluster.
pub trait Members: Send + Sync {
    /// Returns the nodes that accept new work, this one included while it does.
    fn live(&self) -> Vec<NodeId>;

    /// True only if the holder can no longer act on anything that it held.
    fn is_gone(&self, holder: &Holder) -> bool;

    /// True while this node may act on what it holds.
    fn may_act(&self, now: Instant) -> bool;
}

/// The duties of one node.
pub struct Duties {
    me: Mutex<Holder>,
    table: Arc<dyn Table>,
    events: Arc<Recorder>,
    committer: Committer,
    /// Duties that this node held at the last read of the table, sorted by name.
    held: Mutex<Vec<Duty>>,
}

/// A change of one duty row.
struct PlannedChange {
    precondition: Precondition,
    write: Write,
}

impl Duties {
    /// Creates the state of a node that holds no duty.
    pub fn new(me: Holder, table: Arc<dyn Table>, events: Arc<Recorder>) -> Self {
        Self {
            me: Mutex::new(me),
            table,
            events,
            committer: Committer::default(),
            held: Mutex::default(),
        }
    }

    /// Starts a new incarnation of the node, which holds no duty yet.
    pub fn start_incarnation(&self, incarnation: Incarnation) {
        self.me.lock().expect("lock is never poisoned").incarnation = incarnation;
        self.held.lock().expect("lock is never poisoned").clear();
    }

    /// Returns the duty if this node holds it and may act on it.
    pub fn held(&self, name: &str, members: &dyn Members, now: Instant) -> Option<Duty> {
        if !members.may_act(now) {
            return None;
        }
        let held = self.held.lock().expect("lock is never poisoned");
        let index = held.binary_search_by(|duty| duty.name.as_str().cmp(name)).ok()?;
        Some(held[index].clone())
    }

    /// Returns the names of all duties that this node holds, sorted.
    pub fn names(&self) -> Vec<DutyName> {
        let held = self.held.lock().expect("lock is never poisoned");
        held.iter().map(|duty| duty.name.clone()).collect()
    }

    /// Acquires and releases duties so that each duty in `duty_names` gets its preferred holder.
    ///
    /// A failed read or a lost race leaves the held duties unchanged; the next refresh reads the
    /// result.
    pub async fn refresh(
        &self,
        duty_names: &[DutyName],
        members: &dyn Members,
    ) -> Result<(), Unavailable> {
        let rows = self.read_rows().await?;
        self.update_held(&rows);
        let planned = self.plan(duty_names, &rows, members);
        if planned.is_empty() {
            return Ok(());
        }
        let mut preconditions = Vec::new();
        let mut writes = Vec::new();
        for change in planned {
            preconditions.push(change.precondition);
            writes.push(change.write);
        }
        self.committer.commit(&*self.table, preconditions, writes, COMMIT_TIMEOUT).await;
        let rows = self.read_rows().await?;
        self.update_held(&rows);
        Ok(())
    }

    fn plan(
        &self,
        duty_names: &[DutyName],
        rows: &[(Row, DutyRow)],
        members: &dyn Members,
    ) -> Vec<PlannedChange> {
        let live = members.live();
        let me = self.me.lock().expect("lock is never poisoned").clone();
        let mut planned = Vec::new();
        for name in duty_names {
            let key = duty_key(name);
            let index = rows.binary_search_by(|(row, _)| row.key.as_str().cmp(&key));
            let found = index.ok().map(|index| &rows[index]);
            let duty_row = found.map(|(_, duty_row)| duty_row);
            let action = decide(name, duty_row, &me, &live, |holder| members.is_gone(holder));
            let value = match action {
                DutyAction::Acquire { epoch } => DutyRow { holder: Some(me.clone()), epoch },
                DutyAction::Release { epoch } => DutyRow { holder: None, epoch },
                DutyAction::Keep => continue,
            };
            planned.push(PlannedChange {
                precondition: Precondition::unchanged(&key, found.map(|(row, _)| row)),
                write: Write::put_json(key, &value),
            });
            if planned.len() == BATCH_MAX {
                break;
            }
        }
        planned
    }

    async fn read_rows(&self) -> Result<Vec<(Row, DutyRow)>, Unavailable> {
        let rows = self.table.scan(Scan::prefix(DUTY_PREFIX)).await?;
        rows.into_iter()
            .map(|row| {
                let value = serde_json::from_slice(&row.value).map_err(Unavailable::new)?;
                Ok((row, value))
            })
            .collect()
    }

    /// Replaces the held duties by those that `rows` assign to this node, and records an event for
    /// each difference.
    fn update_held(&self, rows: &[(Row, DutyRow)]) {
        let me = self.me.lock().expect("lock is never poisoned").clone();
        let current: Vec<Duty> = rows
            .iter()
            .filter(|(_, value)| value.holder.as_ref() == Some(&me))
            .map(|(row, value)| Duty {
                name: row.key[DUTY_PREFIX.len()..].to_owned(),
                epoch: value.epoch,
                row_version: row.version,
            })
            .collect();
        let previous = {
            let mut held = self.held.lock().expect("lock is never poisoned");
            std::mem::replace(&mut *held, current.clone())
        };
        let now = SystemTime::now();
        for duty in current.iter().filter(|duty| !previous.contains(duty)) {
            let kind = EventKind::DutyTaken { duty: duty.name.clone(), epoch: duty.epoch };
            self.events.record(kind, now);
        }
        for duty in previous.iter().filter(|duty| !current.contains(duty)) {
            let kind = EventKind::DutyLost { duty: duty.name.clone(), epoch: duty.epoch };
            self.events.record(kind, now);
        }
    }
}
