//! The rule of taking over, in all orders of events of a small world: two owners, two workers, one unit.
//!
//! Time passes in ticks. An owner that does nothing for some ticks is paused or cut off; a write or an
//! order that is on its way may arrive at any later time or never, so that lost answers, a store that is
//! away and orders that are carried out late are all there. Each guard of the rule is left out once, and
//! the world must then show a fault.

use std::collections::HashSet;

use rstest::rstest;

/// Ticks for which an owner may act after its last renewal.
const VALID: u8 = 1;
/// Ticks of a lease.
const LEASE: u8 = 2;
/// Ticks after which an order to start has no effect; the lease of the run that it starts ends then.
const ORDER_VALID: u8 = 1;
/// Ticks that a new owner waits for a worker that it has not heard: the owner before may renew leases
/// until its validity is over.
const WAIT: u8 = VALID + LEASE;
/// Ticks of the world.
const TICKS_MAX: u8 = 4;
const RUNS_MAX: u8 = 2;
const OWNERS: usize = 2;
const WORKERS: usize = 2;

/// What keeps the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Guard {
    /// An owner acts only while it is valid, on a clock that counts suspension.
    Validity,
    /// Workers refuse lower fencing tokens.
    Token,
    /// An order names the life of the worker that it is meant for.
    Birth,
    /// A unit that may run on a worker that was not heard is not started elsewhere for a time.
    Wait,
    /// Writes have the owner's row as precondition.
    Precondition,
    /// The run is stored before the order is sent.
    StoredRun,
    /// An end is acknowledged only once it is stored.
    StoredEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Place {
    worker: u8,
    run: u8,
}

/// What an owner knows of the unit's run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Known {
    Nothing,
    /// The write of the run is on its way.
    Writing(Place),
    /// It is stored, and the order is not sent.
    Planned(Place),
    /// The order was sent; it has no effect after this tick.
    Ordered(Place, u8),
    /// A worker lists it.
    Listed(Place),
    /// The row names it; it was not found yet.
    InDoubt(Place),
    /// A worker lists its end.
    Ended(Place),
    /// The write of the end is on its way.
    WritingEnd(Place),
    /// The end is stored.
    Done,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Owner {
    /// 0 if it is none.
    epoch: u8,
    valid_until: u8,
    wait_until: u8,
    heard: [bool; WORKERS],
    births: [u8; WORKERS],
    last_run: u8,
    known: Known,
}

/// An owner that is none.
const NO_OWNER: Owner = Owner {
    epoch: 0,
    valid_until: 0,
    wait_until: 0,
    heard: [false; WORKERS],
    births: [0; WORKERS],
    last_run: 0,
    known: Known::Nothing,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Worker {
    birth: u8,
    token: u8,
    lease_until: u8,
    running: Option<u8>,
    ended: Option<End>,
}

/// An end that a worker lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct End {
    run: u8,
    /// The worker's lease has lapsed since: whoever acknowledges it comes too late for it to count.
    has_lapsed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Order {
    place: Place,
    birth: u8,
    token: u8,
    deadline: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// The owner's row.
    epoch: u8,
    /// Row of the runs.
    assigned: Option<Place>,
    is_done: bool,
    /// An end was acknowledged.
    is_acknowledged: bool,
    owners: [Owner; OWNERS],
    workers: [Worker; WORKERS],
    /// The last order of each owner, until it arrives.
    orders: [Option<Order>; OWNERS],
    fault: Option<&'static str>,
}

struct Rule {
    without: Option<Guard>,
}

impl Rule {
    fn has(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// All worlds that may follow.
    fn next(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        next.extend(tick(world));
        for worker in 0..WORKERS {
            next.extend(finish(world, worker));
            next.extend(rebirth(world, worker));
        }
        for owner in 0..OWNERS {
            next.extend(take_over(world, owner));
            next.extend(renew(world, owner));
            next.extend(self.deliver(world, owner));
            next.extend(self.written(world, owner));
            next.extend(self.send_order(world, owner));
            next.extend(self.give_up_waiting(world, owner));
            next.extend(store_end(world, owner));
            for worker in 0..WORKERS {
                next.extend(self.look(world, owner, worker));
                next.extend(self.assign(world, owner, worker));
            }
        }
        next
    }

    fn may_act(&self, world: &World, owner: usize) -> bool {
        let owner = &world.owners[owner];
        owner.epoch > 0 && (!self.has(Guard::Validity) || world.now <= owner.valid_until)
    }

    /// An owner decides that a worker is to run the unit.
    fn assign(&self, world: &World, owner: usize, worker: usize) -> Option<World> {
        let it = world.owners[owner];
        let may = self.may_act(world, owner) && it.known == Known::Nothing && it.heard[worker];
        if !may || it.last_run >= RUNS_MAX {
            return None;
        }
        let mut after = *world;
        let place = Place { worker: worker as u8, run: it.last_run + 1 };
        after.owners[owner].last_run += 1;
        after.owners[owner].known = match self.has(Guard::StoredRun) {
            true => Known::Writing(place),
            false => Known::Planned(place),
        };
        Some(after)
    }

    /// The write of an owner arrives.
    fn written(&self, world: &World, owner: usize) -> Option<World> {
        let it = world.owners[owner];
        let mut after = *world;
        if !matches!(it.known, Known::Writing(_) | Known::WritingEnd(_)) {
            return None;
        }
        if self.has(Guard::Precondition) && world.epoch != it.epoch {
            after.owners[owner] = NO_OWNER;
            return Some(after);
        }
        match it.known {
            Known::Writing(place) => {
                after.assigned = Some(place);
                after.owners[owner].known = Known::Planned(place);
            }
            _ => {
                after.is_done = true;
                after.assigned = None;
                after.owners[owner].known = Known::Done;
            }
        }
        Some(after)
    }

    /// An owner sends the order to start.
    fn send_order(&self, world: &World, owner: usize) -> Option<World> {
        let it = world.owners[owner];
        let Known::Planned(place) = it.known else {
            return None;
        };
        if !self.may_act(world, owner) || world.orders[owner].is_some() {
            return None;
        }
        let mut after = *world;
        let deadline = world.now + ORDER_VALID;
        let birth = it.births[usize::from(place.worker)];
        after.orders[owner] = Some(Order { place, birth, token: it.epoch, deadline });
        after.owners[owner].known = Known::Ordered(place, deadline);
        Some(after)
    }

    /// An order arrives.
    fn deliver(&self, world: &World, owner: usize) -> Option<World> {
        let order = world.orders[owner]?;
        let mut after = *world;
        after.orders[owner] = None;
        let worker = &mut after.workers[usize::from(order.place.worker)];
        let is_fenced = self.has(Guard::Token) && order.token < worker.token;
        let is_other = self.has(Guard::Birth) && order.birth != worker.birth;
        let is_old = worker.ended.is_some_and(|end| order.place.run <= end.run);
        if is_fenced || is_other || is_old || worker.running.is_some() || world.now > order.deadline
        {
            return Some(after);
        }
        worker.token = worker.token.max(order.token);
        worker.running = Some(order.place.run);
        worker.lease_until = worker.lease_until.max(order.deadline);
        if world.is_acknowledged {
            after.fault = Some("a start after an end that was acknowledged");
        }
        if after.workers.iter().filter(|worker| worker.running.is_some()).count() > 1 {
            after.fault = Some("two runs at a time");
        }
        Some(after)
    }

    /// An owner asks a worker what it runs, and renews its lease.
    fn look(&self, world: &World, owner: usize, index: usize) -> Option<World> {
        if !self.may_act(world, owner) {
            return None;
        }
        let mut after = *world;
        let it = &mut after.owners[owner];
        let worker = &mut after.workers[index];
        if self.has(Guard::Token) && it.epoch < worker.token {
            *it = NO_OWNER;
            return Some(after);
        }
        worker.token = worker.token.max(it.epoch);
        let is_reborn = it.heard[index] && worker.birth > it.births[index];
        it.heard[index] = true;
        it.births[index] = worker.birth;
        let here = |place: Place| usize::from(place.worker) == index;
        if is_reborn
            && let Known::Planned(place) | Known::Writing(place) = it.known
            && here(place)
        {
            // What was planned for the life before is dropped.
            it.known = Known::Nothing;
        }
        worker.lease_until = worker.lease_until.max(world.now + LEASE);
        if let Some(run) = worker.running {
            let place = Place { worker: index as u8, run };
            it.last_run = it.last_run.max(run);
            if matches!(it.known, Known::Nothing | Known::InDoubt(_) | Known::Ordered(..)) {
                it.known = Known::Listed(place);
            }
        } else if let Some(end) = worker.ended {
            it.last_run = it.last_run.max(end.run);
            match it.known {
                Known::Done | Known::WritingEnd(_) => {}
                _ => it.known = Known::Ended(Place { worker: index as u8, run: end.run }),
            }
            if it.known == Known::Done || !self.has(Guard::StoredEnd) {
                worker.ended = None;
                after.is_acknowledged |= !end.has_lapsed;
            }
        } else {
            let is_gone = match it.known {
                Known::Listed(place) | Known::InDoubt(place) => here(place),
                Known::Ordered(place, deadline) => {
                    here(place) && (world.now > deadline || is_reborn)
                }
                _ => false,
            };
            if is_gone {
                it.known = Known::Nothing;
            }
        }
        Some(after)
    }

    /// An owner counts a run on a worker that it has not heard as over.
    fn give_up_waiting(&self, world: &World, owner: usize) -> Option<World> {
        let it = world.owners[owner];
        let Known::InDoubt(place) = it.known else {
            return None;
        };
        let is_over = !self.has(Guard::Wait) || world.now > it.wait_until;
        if !self.may_act(world, owner) || it.heard[usize::from(place.worker)] || !is_over {
            return None;
        }
        let mut after = *world;
        after.owners[owner].known = Known::Nothing;
        Some(after)
    }
}

fn tick(world: &World) -> Option<World> {
    if world.now >= TICKS_MAX {
        return None;
    }
    let mut after = *world;
    after.now += 1;
    for worker in after.workers.iter_mut().filter(|worker| worker.lease_until < after.now) {
        worker.running = None;
        worker.ended = worker.ended.map(|end| End { has_lapsed: true, ..end });
    }
    Some(after)
}

fn finish(world: &World, index: usize) -> Option<World> {
    let run = world.workers[index].running?;
    let mut after = *world;
    after.workers[index].running = None;
    after.workers[index].ended = Some(End { run, has_lapsed: false });
    Some(after)
}

fn rebirth(world: &World, index: usize) -> Option<World> {
    let worker = world.workers[index];
    // An end that was lost with its worker was never noted.
    // The workers are alike: the one that is reborn is the first one, once.
    if index > 0 || worker.birth > 0 {
        return None;
    }
    let mut after = *world;
    after.workers[index] =
        Worker { birth: worker.birth + 1, token: 0, lease_until: 0, running: None, ended: None };
    Some(after)
}

fn take_over(world: &World, owner: usize) -> Option<World> {
    // The owners are alike: the first one is the first.
    if usize::from(world.epoch) != owner {
        return None;
    }
    let mut after = *world;
    after.epoch += 1;
    let known = match (world.is_done, world.assigned) {
        (true, _) => Known::Done,
        (false, Some(place)) => Known::InDoubt(place),
        (false, None) => Known::Nothing,
    };
    after.owners[owner] = Owner {
        epoch: after.epoch,
        valid_until: world.now + VALID,
        wait_until: world.now + WAIT,
        heard: [false; WORKERS],
        births: [0; WORKERS],
        last_run: world.assigned.map_or(0, |place| place.run),
        known,
    };
    Some(after)
}

fn renew(world: &World, owner: usize) -> Option<World> {
    let it = world.owners[owner];
    if it.epoch == 0 || it.epoch != world.epoch || it.valid_until >= world.now + VALID {
        return None;
    }
    let mut after = *world;
    after.owners[owner].valid_until = world.now + VALID;
    Some(after)
}

fn store_end(world: &World, owner: usize) -> Option<World> {
    let Known::Ended(place) = world.owners[owner].known else {
        return None;
    };
    let mut after = *world;
    after.owners[owner].known = Known::WritingEnd(place);
    Some(after)
}

fn start() -> World {
    let worker = Worker { birth: 0, token: 0, lease_until: 0, running: None, ended: None };
    World {
        now: 0,
        epoch: 0,
        assigned: None,
        is_done: false,
        is_acknowledged: false,
        owners: [NO_OWNER; OWNERS],
        workers: [worker; WORKERS],
        orders: [None; OWNERS],
        fault: None,
    }
}

/// The lease of a worker that has nothing to tell makes no difference.
fn without_idle_leases(mut world: World) -> World {
    let is_idle = |worker: &&mut Worker| worker.running.is_none() && worker.ended.is_none();
    for worker in world.workers.iter_mut().filter(is_idle) {
        worker.lease_until = 0;
    }
    world
}

/// Visits all worlds; the first fault, and how many worlds there are.
fn explore(rule: &Rule) -> (Option<&'static str>, usize) {
    let mut seen = HashSet::from([start()]);
    let mut open = vec![start()];
    while let Some(world) = open.pop() {
        if world.fault.is_some() {
            return (world.fault, seen.len());
        }
        for after in rule.next(&world) {
            let after = without_idle_leases(after);
            if seen.insert(after) {
                open.push(after);
            }
        }
    }
    (None, seen.len())
}

#[test]
fn no_unit_runs_twice_in_any_order_of_events() {
    let (fault, worlds) = explore(&Rule { without: None });
    println!("{worlds} worlds");
    assert_eq!(fault, None);
    assert!(worlds > 100_000, "the world is too small to tell: {worlds}");
}

#[rstest]
#[case::validity(Guard::Validity)]
#[case::token(Guard::Token)]
#[case::birth(Guard::Birth)]
#[case::wait(Guard::Wait)]
#[case::precondition(Guard::Precondition)]
#[case::stored_run(Guard::StoredRun)]
#[case::stored_end(Guard::StoredEnd)]
fn each_guard_is_needed(#[case] guard: Guard) {
    let (fault, _) = explore(&Rule { without: Some(guard) });
    assert!(fault.is_some(), "no fault without {guard:?}");
}
