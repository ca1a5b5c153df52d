//! All interleavings of a small world in which two shards divide a quota: changes that arrive late
//! or whose replies are lost, and a takeover of one shard while its owner still sends changes.
//!
//! What runs in both shards must never exceed the quota. The test also shows that each guard is
//! needed: a world without it has a fault.

use std::collections::HashSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
use coordinator::divisions::Change;
use coordinator::divisions::Divisions;
use coordinator::ports::Row;
use coordinator::ports::RowVersion;
use coordinator::ports::WriteOutcome;
use coordinator::rows;
use coordinator::rows::DivisionKey;
use rstest::rstest;
use scheduler::Portion;
use scheduler::PortionRow;
use scheduler::ShardIndex;
use scheduler::portions::WHOLE;

const SHARDS: usize = 2;
const TEAM: &str = "t";
/// Longest sequence of steps; the shortest fault without a guard takes twelve.
const STEPS_MAX: usize = 13;
/// Versions that the store may reach, which bounds the number of changes.
const VERSION_MAX: RowVersion = 7;
/// A time at which all changes whose results are unknown are due to be sent again.
const LATER: Duration = Duration::from_secs(1_000);

/// A rule that a world may lack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// A change requires the epoch row of the owner's shard.
    Epoch,
    /// A change requires the version of the row that it is based on.
    Version,
    /// A portion that is being given away is not used any more.
    LowerFirst,
}

/// The owner of a shard, or one that was replaced and doesn't know it yet.
#[derive(Clone, Debug)]
struct Owner {
    shard: ShardIndex,
    divisions: Divisions,
    in_use: Portion,
    is_replaced: bool,
}

/// A change on its way to the store.
#[derive(Clone, Debug)]
struct Message {
    sender: usize,
    change: Change,
    /// The sender still waits for the reply.
    is_awaited: bool,
}

#[derive(Clone, Debug)]
struct World {
    /// Epoch of the owner of each shard, with the version of its row.
    epochs: [(u64, RowVersion); SHARDS],
    row: Option<(Bytes, RowVersion)>,
    version: RowVersion,
    owners: Vec<Owner>,
    messages: Vec<Message>,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Plan(usize),
    ReadRow(usize),
    UseAll(usize),
    UseNothing(usize),
    Resend(usize),
    Execute { message: usize, is_reply_lost: bool },
    TimeOut(usize),
    TakeOver,
}

impl World {
    fn new() -> Self {
        let owner = |shard: ShardIndex| Owner {
            shard,
            divisions: Divisions::new(shard, SHARDS, 1),
            in_use: 0,
            is_replaced: false,
        };
        // With this many shards, none takes a reserve.
        let many = WHOLE as usize;
        let row = PortionRow::default().with_need(0, WHOLE / 2, 0, many);
        let row = row.with_need(1, WHOLE / 2, 0, many);
        let mut world = Self {
            epochs: [(1, 1); SHARDS],
            row: Some((rows::encode(&row), 1)),
            version: 1,
            owners: vec![owner(0), owner(1)],
            messages: Vec::new(),
        };
        // Each shard begins with half of the quota.
        for index in 0..SHARDS {
            world.apply(Event::ReadRow(index), None);
        }
        world
    }

    fn events(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, owner) in self.owners.iter().enumerate() {
            events.extend([Event::Plan(index), Event::ReadRow(index), Event::Resend(index)]);
            // Workers refuse the commands of an owner that was replaced.
            if !owner.is_replaced {
                events.extend([Event::UseAll(index), Event::UseNothing(index)]);
            }
        }
        for (index, message) in self.messages.iter().enumerate() {
            if self.version < VERSION_MAX {
                events.push(Event::Execute { message: index, is_reply_lost: false });
                events.push(Event::Execute { message: index, is_reply_lost: true });
            }
            if message.is_awaited {
                events.push(Event::TimeOut(index));
            }
        }
        if self.owners.len() == SHARDS {
            events.push(Event::TakeOver);
        }
        events
    }

    fn apply(&mut self, event: Event, missing: Option<Guard>) {
        match event {
            Event::Plan(index) => {
                let owner = &mut self.owners[index];
                // Only the second shard has units that wait.
                let needed = if owner.shard == 1 { WHOLE } else { 0 };
                let in_use = owner.in_use;
                let change = owner.divisions.plan_team(&TEAM.into(), needed, in_use, 1, LATER);
                self.send(index, change, missing);
            }
            Event::ReadRow(index) => {
                let rows = self.rows_for(self.owners[index].shard);
                self.owners[index].divisions.apply(&rows, Duration::ZERO);
            }
            Event::UseAll(index) => {
                let portion = self.portion(index, missing);
                let owner = &mut self.owners[index];
                owner.in_use = owner.in_use.max(portion);
            }
            Event::UseNothing(index) => self.owners[index].in_use = 0,
            Event::Resend(index) => {
                for change in self.owners[index].divisions.take_due(LATER) {
                    self.send(index, Some(change), missing);
                }
            }
            Event::Execute { message, is_reply_lost } => {
                let message = self.messages.remove(message);
                let outcome = self.execute(&message.change);
                if message.is_awaited {
                    let outcome = match is_reply_lost {
                        true => WriteOutcome::Unknown(String::new()),
                        false => outcome,
                    };
                    self.reply(&message, outcome);
                }
            }
            Event::TimeOut(index) => {
                self.messages[index].is_awaited = false;
                let message = self.messages[index].clone();
                self.reply(&message, WriteOutcome::Unknown(String::new()));
            }
            Event::TakeOver => self.take_over(),
        }
    }

    fn send(&mut self, sender: usize, change: Option<Change>, missing: Option<Guard>) {
        let Some(mut change) = change else {
            return;
        };
        change.transaction.preconditions.retain(|(_, key, _)| match is_epoch(key) {
            true => missing != Some(Guard::Epoch),
            false => missing != Some(Guard::Version),
        });
        self.messages.push(Message { sender, change, is_awaited: true });
    }

    fn reply(&mut self, message: &Message, outcome: WriteOutcome) {
        let divisions = &mut self.owners[message.sender].divisions;
        divisions.handle_outcome(&message.change.key, outcome, Duration::ZERO);
    }

    fn execute(&mut self, change: &Change) -> WriteOutcome {
        let transaction = &change.transaction;
        let shard = transaction.shard;
        let holds = transaction.preconditions.iter().all(|(_, key, version)| {
            let current = match is_epoch(key) {
                true => self.epochs[usize::from(shard)].1,
                false => self.row.as_ref().map_or(0, |(_, version)| *version),
            };
            current == *version
        });
        if !holds {
            return WriteOutcome::Conflict(self.rows_for(shard));
        }
        self.version += 1;
        self.row = Some((transaction.puts[0].2.clone(), self.version));
        WriteOutcome::Committed(self.version)
    }

    /// Replaces the owner of the first shard. What it has started runs on.
    fn take_over(&mut self) {
        self.version += 1;
        self.epochs[0] = (2, self.version);
        let mut divisions = Divisions::new(0, SHARDS, 2);
        divisions.apply(&self.rows_for(0), Duration::ZERO);
        let in_use = self.owners[0].in_use;
        self.owners[0].is_replaced = true;
        self.owners.push(Owner { shard: 0, divisions, in_use, is_replaced: false });
    }

    /// Returns the row of the team, and the epoch row of a shard.
    fn rows_for(&self, shard: ShardIndex) -> Vec<Row> {
        let team = DivisionKey::Team(TEAM.into());
        let group = team.group().expect("a team has a group");
        let (epoch, version) = self.epochs[usize::from(shard)];
        let key = DivisionKey::Epoch(shard).in_group(group);
        let mut rows = vec![Row { key, value: rows::encode(&epoch), version }];
        rows.extend(self.row.iter().map(|(value, version)| Row {
            key: team.in_group(group),
            value: value.clone(),
            version: *version,
        }));
        rows
    }

    fn portion(&self, index: usize, missing: Option<Guard>) -> Portion {
        let owner = &self.owners[index];
        if missing != Some(Guard::LowerFirst) {
            return owner.divisions.portion(TEAM);
        }
        let mut without_pending = Divisions::new(owner.shard, SHARDS, 1);
        without_pending.apply(&self.rows_for(owner.shard), Duration::ZERO);
        without_pending.portion(TEAM).max(owner.divisions.portion(TEAM))
    }

    fn is_within_quota(&self) -> bool {
        let active = self.owners.iter().filter(|owner| !owner.is_replaced);
        active.map(|owner| owner.in_use).sum::<Portion>() <= WHOLE
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        format!("{self:?}").hash(&mut hasher);
        hasher.finish()
    }
}

fn is_epoch(key: &str) -> bool {
    matches!(DivisionKey::parse(key), Some((_, DivisionKey::Epoch(_))))
}

/// Explores all worlds that `STEPS_MAX` events lead to. Returns the number of worlds, or the events
/// that lead to a fault.
fn explore(missing: Option<Guard>) -> Result<usize, Vec<Event>> {
    let mut seen = HashSet::new();
    let mut frontier = vec![(World::new(), Vec::new())];
    for _ in 0..STEPS_MAX {
        let mut next = Vec::new();
        for (world, path) in &frontier {
            for event in world.events() {
                let mut after: World = world.clone();
                after.apply(event, missing);
                let mut path: Vec<Event> = path.clone();
                path.push(event);
                if !after.is_within_quota() {
                    return Err(path);
                }
                if seen.insert(after.fingerprint()) {
                    next.push((after, path));
                }
            }
        }
        frontier = next;
    }
    Ok(seen.len())
}

#[test]
fn the_quota_holds_in_all_interleavings() {
    let worlds = explore(None).unwrap_or_else(|path| panic!("{path:#?}"));
    assert!(worlds > 10_000, "only {worlds} worlds");
}

#[rstest]
#[case(Guard::Epoch)]
#[case(Guard::Version)]
#[case(Guard::LowerFirst)]
fn a_world_without_a_guard_has_a_fault(#[case] guard: Guard) {
    assert!(explore(Some(guard)).is_err(), "{guard:?} is not needed");
}
