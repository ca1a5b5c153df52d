//! Model checker for the protocol of commands to hosts, with two owners and two hosts of one wave.
//!
//! The wave allows one unavailable host at a time, or operators lower its limit from two to one at
//! any time. The checker explores all interleavings of events. Events have no times: an owner may be suspended, a message delayed and a host out of
//! service for any time. A message that is lost never arrives. An owner whose write or command is
//! refused stops, which is the same as being suspended forever. Each owner's writes are in order.
//! That maintenance is over by a certain time is an event that comes after its end.
//!
//! The platform maintains each host once. It answers later commands with "accepted", and those that
//! arrive while the host is out of service, for whatever reason, with "busy".
//!
//! A host must never go out of service for the wave while the other one is. A command that was sent
//! under the higher limit may still be carried out, so that it is not counted against the lowered
//! one unless the owner knows that it has been. To show that each guard
//! of the protocol is needed, each one is disabled in turn; the model must then find a violation.
//! The events that are printed for it are a shortest sequence.

#[path = "common/host_commands_state.rs"]
mod state;

use std::collections::HashSet;
use std::iter;

use rstest::rstest;
use state::ATTEMPTS_MAX;
use state::Event;
use state::Guard;
use state::HOSTS;
use state::HostState;
use state::Known;
use state::Message;
use state::OWNERS;
use state::Owner;
use state::SentUnder;
use state::State;
use state::Token;
use state::initial_state;
use state::learn_limit;
use state::lower_limit;
use state::return_to_service;
use state::sent_under;
use state::start_outage;
use state::take_list;

/// Number of commands that each owner sends to a host.
const OWNER_ATTEMPTS_MAX: [u8; OWNERS] = [3, 2];
/// The same if the limit is lowered, which allows for many more states.
const LOWERED_OWNER_ATTEMPTS_MAX: [u8; OWNERS] = [2, 1];

struct Model {
    disabled: Vec<Guard>,
    /// Limit of the wave at the beginning.
    limit: u8,
}

impl Model {
    fn has(&self, guard: Guard) -> bool {
        !self.disabled.contains(&guard)
    }

    fn attempts_max(&self, owner: usize) -> u8 {
        match self.limit {
            1 => OWNER_ATTEMPTS_MAX[owner],
            _ => LOWERED_OWNER_ATTEMPTS_MAX[owner],
        }
    }

    /// Returns all states that may follow, with the event that leads to each.
    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let mut successors = Vec::new();
        let mut add = |action, owner, host, attempt, next: Option<State>| {
            successors.extend(next.map(|next| (Event { action, owner, host, attempt }, next)));
        };
        add("take over", None, None, None, self.take_over(state));
        add("start outage", None, Some(0), None, start_outage(state));
        add("lower limit", None, None, None, lower_limit(state));
        for owner in 0..OWNERS {
            add("learn limit", Some(owner), None, None, learn_limit(state, owner));
        }
        for index in 0..HOSTS {
            let host = Some(index);
            add("return to service", None, host, None, return_to_service(state, index));
            for node in 0..OWNERS {
                let owner = Some(node);
                add("store command", owner, host, None, self.store_command(state, node, index));
                add("send command", owner, host, None, self.send_command(state, node, index));
                add("withdraw", owner, host, None, self.withdraw_command(state, node, index));
                add("store outcome", owner, host, None, self.store_outcome(state, node, index));
                add("take list", owner, host, None, take_list(state, node, index));
                add("deliver list", owner, host, None, self.deliver_list(state, node, index));
                let next = self.deliver_list_without_host(state, node, index);
                add("deliver list without host", owner, host, None, next);
                for attempt in 0..ATTEMPTS_MAX {
                    let next = self.execute(state, node, index, attempt);
                    add("deliver command", owner, host, Some(attempt), next);
                    let next = self.receive(state, node, index, attempt);
                    add("deliver reply", owner, host, Some(attempt), next);
                }
            }
        }
        successors
    }

    fn take_over(&self, state: &State) -> Option<State> {
        if usize::from(state.epoch) >= OWNERS {
            return None;
        }
        let mut next = *state;
        let owner = &mut next.owners[usize::from(state.epoch)];
        next.epoch += 1;
        owner.epoch = next.epoch;
        owner.limit = state.limit;
        owner.newest = state.newest;
        owner.known = state.rows.map(|row| match row {
            Known::InDoubt if !self.has(Guard::RestoredHoldsSlot) => Known::Nothing,
            Known::Settled if !self.has(Guard::RestoredAcceptedHoldsSlot) => Known::Nothing,
            row => row,
        });
        if self.has(Guard::TakeoverListAge) {
            owner.entries = [None; HOSTS];
        }
        Some(next)
    }

    /// Returns true if an owner counts a host as unavailable.
    fn holds_slot(&self, known: Known) -> bool {
        match known {
            Known::Nothing => false,
            Known::Planned | Known::Settled => true,
            Known::Sent | Known::InDoubt => self.has(Guard::UnknownHoldsSlot),
        }
    }

    fn may_write(&self, state: &State, owner: usize) -> bool {
        let epoch = state.owners[owner].epoch;
        epoch > 0 && (epoch == state.epoch || !self.has(Guard::Precondition))
    }

    /// An owner decides on a command and stores it. What it has stored before is sent or withdrawn
    /// by then.
    fn store_command(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let node = state.owners[owner];
        let limit = usize::from(node.limit);
        let held = node.known.iter().filter(|known| self.holds_slot(**known)).count();
        let is_limit_reached = held >= limit;
        let is_stored = self.has(Guard::StoredCommand);
        let is_other_row = |other: &usize| *other != host && state.rows[*other] != Known::Nothing;
        let has_other_row = (0..HOSTS).filter(is_other_row).count() >= limit;
        if node.epoch == 0
            || node.known[host] != Known::Nothing
            || is_limit_reached
            || node.known.contains(&Known::Planned)
            || (has_other_row && self.has(Guard::StoredOutcome))
            || node.attempts[host] >= self.attempts_max(owner)
            || (is_stored && !self.may_write(state, owner))
        {
            return None;
        }
        let mut next = *state;
        if is_stored {
            next.rows[host] = Known::InDoubt;
            next.newest = host as u8;
        }
        let node = &mut next.owners[owner];
        node.known[host] = Known::Planned;
        node.newest = host as u8;
        node.sent_under[host][usize::from(node.attempts[host])] = sent_under(node, host);
        Some(next)
    }

    /// An owner sends a command that is stored, or repeats one with a higher token.
    fn send_command(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let mut next = *state;
        let node = &mut next.owners[owner];
        let attempt = node.attempts[host];
        if attempt >= self.attempts_max(owner) || !self.may_send(node, host) {
            return None;
        }
        // A superseded owner may learn of the limit later than its successor.
        if node.epoch == state.epoch {
            node.sent_under[host][usize::from(attempt)] = sent_under(node, host);
        }
        let is_repeat = node.known[host] != Known::Planned;
        if is_repeat && node.known.contains(&Known::Planned) {
            return None;
        }
        node.known[host] = match node.known[host] {
            Known::Planned => Known::Sent,
            Known::Sent | Known::InDoubt => Known::InDoubt,
            Known::Settled if !self.has(Guard::StoredRepeat) => Known::InDoubt,
            Known::Settled | Known::Nothing => return None,
        };
        if is_repeat && self.has(Guard::StoredRepeat) {
            if !self.may_write(state, owner) {
                return None;
            }
            node.newest = host as u8;
            next.newest = host as u8;
            next.rows[host] = Known::InDoubt;
        }
        let node = &mut next.owners[owner];
        node.messages[host][usize::from(attempt)] = Message::Command;
        node.attempts[host] += 1;
        Some(next)
    }

    /// An owner gives up a stored command that the limit does not allow any more.
    fn withdraw_command(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let node = &state.owners[owner];
        if node.known[host] != Known::Planned || self.may_send(node, host) {
            return None;
        }
        let mut next = *state;
        next.owners[owner].known[host] = Known::Nothing;
        Some(next)
    }

    /// Returns whether the limit allows a stored command, or its repetition. Hosts that are
    /// unavailable for certain count first, then commands in doubt, and then those that were not
    /// sent yet; among these, the one that was stored last. A successor knows which one that is.
    fn may_send(&self, node: &Owner, host: usize) -> bool {
        let rank = |host: usize| match node.known[host] {
            Known::Settled if self.has(Guard::CertainFirst) => 0,
            Known::Settled | Known::Sent | Known::InDoubt => 1,
            Known::Planned | Known::Nothing => 2,
        };
        let is_guarded = match node.known[host] {
            Known::Planned => self.has(Guard::SendLimit),
            _ => self.has(Guard::RepeatLimit),
        };
        let other = 1 - host;
        let is_older =
            |host: usize| host != usize::from(node.newest) && self.has(Guard::NewestFirst);
        let order = |host: usize| (rank(host), is_older(host), host);
        let is_first = !self.holds_slot(node.known[other]) || order(host) < order(other);
        is_first || node.limit > 1 || !is_guarded
    }

    /// A host executes a command that arrives, and replies.
    fn execute(&self, state: &State, owner: usize, host: usize, attempt: usize) -> Option<State> {
        if state.owners[owner].messages[host][attempt] != Message::Command {
            return None;
        }
        let mut next = *state;
        let token = Token { epoch: state.owners[owner].epoch, attempt: attempt as u8 };
        let target = &mut next.hosts[host];
        if self.has(Guard::Token) && token < target.token {
            return None;
        }
        target.token = target.token.max(token);
        let is_up = target.state == HostState::Up;
        if is_up && !target.is_maintained {
            let sent_under = state.owners[owner].sent_under[host][attempt];
            target.is_maintained = true;
            target.state = HostState::InMaintenance;
            target.is_limited = sent_under != SentUnder::TwoHosts;
            let other = &next.hosts[1 - host];
            next.has_violation = other.state == HostState::InMaintenance
                && match sent_under {
                    SentUnder::TwoHosts => false,
                    SentUnder::OneHost => other.is_limited,
                    SentUnder::OneHostTaken => true,
                };
        }
        next.owners[owner].messages[host][attempt] =
            if is_up { Message::Accepted } else { Message::Busy };
        Some(next)
    }

    /// An owner receives a reply.
    fn receive(&self, state: &State, owner: usize, host: usize, attempt: usize) -> Option<State> {
        let mut next = *state;
        let node = &mut next.owners[owner];
        let known = node.known[host];
        if !matches!(known, Known::Sent | Known::InDoubt) {
            return None;
        }
        let is_last = attempt + 1 == usize::from(node.attempts[host]);
        let holds_slot = match node.messages[host][attempt] {
            Message::Nothing | Message::Command => return None,
            Message::Accepted => self.has(Guard::AcceptedHoldsSlot),
            Message::Busy if !is_last && self.has(Guard::ReplyAttempt) => return None,
            Message::Busy => known == Known::InDoubt && self.has(Guard::BusyRepeatHoldsSlot),
        };
        node.known[host] = if holds_slot { Known::Settled } else { Known::Nothing };
        node.messages[host][attempt] = Message::Nothing;
        if self.has(Guard::ListAge) {
            node.entries[host] = None;
        }
        Some(next)
    }

    /// An owner stores what it knows of the outcome.
    fn store_outcome(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let row = match state.owners[owner].known[host] {
            Known::Settled => Known::Settled,
            known if !self.holds_slot(known) => Known::Nothing,
            _ => return None,
        };
        if !self.may_write(state, owner) || state.rows[host] == row {
            return None;
        }
        let mut next = *state;
        next.rows[host] = row;
        Some(next)
    }

    /// A list arrives at the owner.
    fn deliver_list(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let mut next = *state;
        let node = &mut next.owners[owner];
        if node.epoch == 0 {
            return None;
        }
        let entry = node.entries[host].take()?;
        let is_unknown = matches!(node.known[host], Known::Sent | Known::InDoubt);
        if !is_unknown && node.known[host] != Known::Settled {
            return Some(next);
        }
        match entry {
            HostState::Up if is_unknown && self.has(Guard::UpHoldsSlot) => {}
            HostState::Up => node.known[host] = Known::Nothing,
            // The host has refused all attempts, or is back from maintenance and down since.
            HostState::Down if !is_unknown || !self.has(Guard::DownAfterReply) => {
                node.known[host] = Known::Nothing;
            }
            HostState::Down if self.has(Guard::OutageCause) => {}
            HostState::InMaintenance | HostState::Down if is_unknown => {
                node.known[host] = Known::Settled;
            }
            HostState::InMaintenance | HostState::Down => {}
        }
        Some(next)
    }

    fn deliver_list_without_host(&self, state: &State, owner: usize, host: usize) -> Option<State> {
        let known = state.owners[owner].known[host];
        let is_over = state.hosts[host].state != HostState::InMaintenance;
        let is_back_by_time = known == Known::Settled && (is_over || !self.has(Guard::BackByTime));
        let is_let_go = is_back_by_time || !self.has(Guard::AbsentHoldsSlot);
        if !self.holds_slot(known) || !is_let_go {
            return None;
        }
        let mut next = *state;
        next.owners[owner].known[host] = Known::Nothing;
        Some(next)
    }

    /// Normalizes a state: messages and list entries that can have no effect are left out. Without a
    /// guard, this may leave out some that have one, which is the same as losing them.
    fn without_ineffective_messages(&self, mut state: State) -> State {
        let entry_guards = [
            Guard::ListAge,
            Guard::TakeoverListAge,
            Guard::UpHoldsSlot,
            Guard::OutageCause,
            Guard::DownAfterReply,
        ];
        let needs_entries = entry_guards.iter().any(|guard| !self.has(*guard));
        if usize::from(state.epoch) == OWNERS {
            state.newest = 0;
        }
        for owner in &mut state.owners {
            let is_superseded = owner.epoch > 0 && owner.epoch < state.epoch;
            let has_planned = owner.known.contains(&Known::Planned);
            if is_superseded && !has_planned && self.has(Guard::StoredRepeat) {
                (owner.limit, owner.newest) = (state.limit, 0);
            }
            for host in 0..HOSTS {
                // An owner that was superseded can only send what it has stored.
                owner.known[host] = match owner.known[host] {
                    Known::Settled
                        if is_superseded && !has_planned && self.has(Guard::StoredRepeat) =>
                    {
                        Known::Nothing
                    }
                    Known::Sent if is_superseded => Known::InDoubt,
                    known => known,
                };
                let effective_entry = match owner.known[host] {
                    Known::Nothing | Known::Planned => None,
                    Known::Sent | Known::InDoubt => Some(HostState::InMaintenance),
                    Known::Settled => Some(HostState::Up),
                };
                let is_down_effective = owner.known[host] == Known::Settled
                    && owner.entries[host] == Some(HostState::Down);
                let is_entry_effective =
                    owner.entries[host] == effective_entry || is_down_effective;
                if is_superseded || (!needs_entries && !is_entry_effective) {
                    owner.entries[host] = None;
                }
                let last = usize::from(owner.attempts[host]).saturating_sub(1);
                for (attempt, message) in owner.messages[host].iter_mut().enumerate() {
                    let token = Token { epoch: owner.epoch, attempt: attempt as u8 };
                    let is_effective = match message {
                        Message::Nothing => false,
                        Message::Command => {
                            !self.has(Guard::Token) || token >= state.hosts[host].token
                        }
                        Message::Accepted => !is_superseded,
                        Message::Busy => {
                            !is_superseded && (attempt == last || !self.has(Guard::ReplyAttempt))
                        }
                    };
                    if !is_effective {
                        *message = Message::Nothing;
                    }
                    let is_planned = owner.known[host] == Known::Planned
                        && attempt == usize::from(owner.attempts[host]);
                    if *message != Message::Command && !is_planned {
                        owner.sent_under[host][attempt] = SentUnder::default();
                    }
                }
            }
        }
        state
    }
}

/// Explores all states; returns the events that lead to a violation and the number of states.
fn explore(model: &Model) -> (Option<Vec<Event>>, usize) {
    let mut visited = HashSet::from([initial_state(model.limit)]);
    // The states in the order of their discovery, with the index of the previous one.
    let mut steps: Vec<(State, usize, Option<Event>)> = vec![(initial_state(model.limit), 0, None)];
    let mut index = 0;
    while index < steps.len() {
        for (event, next) in model.successors(&steps[index].0) {
            let next = model.without_ineffective_messages(next);
            if !visited.insert(next) {
                continue;
            }
            steps.push((next, index, Some(event)));
            if next.has_violation {
                let path = iter::successors(steps.last(), |step| Some(&steps[step.1]));
                let mut events: Vec<Event> = path.map_while(|step| step.2).collect();
                events.reverse();
                return (Some(events), visited.len());
            }
        }
        index += 1;
    }
    (None, visited.len())
}

/// Guards against a protocol by which two hosts of a wave can be unavailable at the same time.
#[test]
fn no_two_hosts_are_maintained_at_once_in_any_order_of_events() {
    let (violation, states) = explore(&Model { disabled: Vec::new(), limit: 1 });
    println!("{states} states");
    assert!(violation.is_none(), "{violation:#?}");
    assert!(states > 100_000, "too few states to be meaningful: {states}");
}

/// Guards against a protocol by which operators that lower the limit don't keep hosts in service.
#[test]
fn no_second_host_is_taken_after_the_limit_was_lowered_in_any_order_of_events() {
    let (violation, states) = explore(&Model { disabled: Vec::new(), limit: 2 });
    println!("{states} states");
    assert!(violation.is_none(), "{violation:#?}");
    assert!(states > 100_000, "too few states to be meaningful: {states}");
}

/// Guards against a model that cannot see a violation, and against guards without effect.
#[rstest]
#[case::stored_command(Guard::StoredCommand)]
#[case::stored_outcome(Guard::StoredOutcome)]
#[case::precondition(Guard::Precondition)]
#[case::stored_repeat(Guard::StoredRepeat)]
#[case::token(Guard::Token)]
#[case::reply_attempt(Guard::ReplyAttempt)]
#[case::unknown_holds_slot(Guard::UnknownHoldsSlot)]
#[case::accepted_holds_slot(Guard::AcceptedHoldsSlot)]
#[case::busy_repeat_holds_slot(Guard::BusyRepeatHoldsSlot)]
#[case::restored_holds_slot(Guard::RestoredHoldsSlot)]
#[case::restored_accepted_holds_slot(Guard::RestoredAcceptedHoldsSlot)]
#[case::list_age(Guard::ListAge)]
#[case::takeover_list_age(Guard::TakeoverListAge)]
#[case::up_holds_slot(Guard::UpHoldsSlot)]
#[case::absent_holds_slot(Guard::AbsentHoldsSlot)]
#[case::outage_cause(Guard::OutageCause)]
#[case::back_by_time(Guard::BackByTime)]
#[case::down_after_reply(Guard::DownAfterReply)]
#[case::repeat_limit(Guard::RepeatLimit)]
#[case::certain_first(Guard::CertainFirst)]
#[case::newest_first(Guard::NewestFirst)]
#[case::send_limit(Guard::SendLimit)]
fn each_guard_is_needed(#[case] guard: Guard) {
    let (limit, disabled) = match guard {
        // Either this guard or the limit of repetitions keeps a successor from repeating both.
        Guard::StoredOutcome => (1, vec![guard, Guard::RepeatLimit]),
        Guard::RepeatLimit | Guard::CertainFirst | Guard::NewestFirst | Guard::SendLimit => {
            (2, vec![guard])
        }
        _ => (1, vec![guard]),
    };
    let (violation, states) = explore(&Model { disabled, limit });
    println!("without {guard:?}, after {states} states: {violation:#?}");
    assert!(violation.is_some(), "no violation without {guard:?}");
}
