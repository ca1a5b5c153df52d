//! Leases, evictions and takeovers of one node.
//!
//! A holder and its successor never act at the same time, for the following reason. The majority
//! that confirmed the holder and the majority that agreed to its eviction share at least one node,
//! the witness. Either the witness agreed to the eviction before it received the holder's
//! heartbeat, and then it replies that the holder is evicted; or it received the heartbeat first,
//! and then the holder's lease expires while the successor waits. This requires that the witness
//! remembers its agreements. A restarted node therefore abstains until it has read all evictions
//! from the table, or has received them from a majority of the other members that are informed
//! themselves. Member lists that differ by more than one node may have disjoint majorities, so a
//! node adopts a new list only together with all evictions that were in the table at the time of
//! that list.

use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use model::NodeId;
use wire::Eviction;
use wire::Heartbeat;
use wire::HeartbeatReply;
use wire::Verdict;

use crate::incarnation_set::IncarnationSet;
use crate::list::MemberList;
use crate::row::MemberRow;
use crate::row::TableView;
use crate::takeover::Stage;
use crate::takeover::Takeover;

/// Number of most recent heartbeat rounds whose replies still count.
const ROUNDS_MAX: usize = 8;

/// Lease times; the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Duration of a lease, counted from when its request was sent.
    pub ttl: Duration,
    /// Time that a successor waits beyond the TTL, because clocks run at different rates.
    pub margin: Duration,
}

/// Whether a node remembers the evictions that it agreed to, so that it may confirm others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Witness {
    /// After a restart: it may have forgotten evictions. The informed members in `informed_by`,
    /// sorted, have sent theirs since.
    Uninformed { informed_by: Vec<NodeId> },
    /// It knows all evictions that it ever agreed to.
    Informed,
}

/// One round of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    request: u64,
    sent_at: Instant,
    list_version: u64,
    /// Members that confirmed this node in this round, sorted.
    confirmed: Vec<NodeId>,
}

/// State of the membership protocol at one node: its leases, and the evictions and takeovers that
/// it knows of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Protocol {
    node: NodeId,
    incarnation: Incarnation,
    timing: Timing,
    list: MemberList,
    evicted: IncarnationSet,
    takeover_allowed: IncarnationSet,
    witness: Witness,
    /// When the last read of the table was sent that showed this incarnation as not evicted.
    table_lease_start: Option<Instant>,
    /// When the last round of heartbeats was sent that a majority confirmed.
    quorum_lease_start: Option<Instant>,
    rounds: Vec<Round>,
    next_request: u64,
    takeovers: Vec<Takeover>,
}

impl Protocol {
    /// Creates the state of a restarted process, which remembers no evictions.
    pub fn new(node: NodeId, incarnation: Incarnation, list: MemberList, timing: Timing) -> Self {
        Self {
            node,
            incarnation,
            timing,
            list,
            evicted: IncarnationSet::default(),
            takeover_allowed: IncarnationSet::default(),
            witness: Witness::Uninformed { informed_by: Vec::new() },
            table_lease_start: None,
            quorum_lease_start: None,
            rounds: Vec::new(),
            next_request: 1,
            takeovers: Vec::new(),
        }
    }

    /// Starts a new incarnation in the same process. The leases end; the evictions that this node
    /// has agreed to stay.
    pub fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.table_lease_start = None;
        self.quorum_lease_start = None;
        self.rounds.clear();
    }

    /// Returns the current incarnation of this node.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the member list that this node uses.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// True once this node knows all evictions that it ever agreed to, so that it may confirm
    /// others.
    pub fn is_informed(&self) -> bool {
        self.witness == Witness::Informed
    }

    /// True if the current incarnation of this node is evicted; it never acts again.
    pub fn is_self_evicted(&self) -> bool {
        self.evicted.contains(&self.node, self.incarnation)
    }

    /// True if this incarnation of `node` is known to be evicted.
    pub fn is_evicted(&self, node: &str, incarnation: Incarnation) -> bool {
        self.evicted.contains(node, incarnation)
    }

    /// True if the resources of this incarnation of `node` may be taken over.
    pub fn is_gone(&self, node: &str, incarnation: Incarnation) -> bool {
        self.takeover_allowed.contains(node, incarnation)
    }

    /// Returns when the later of the two leases expires; `None` if this node has none or is
    /// evicted.
    pub fn may_act_until(&self) -> Option<Instant> {
        if self.is_self_evicted() {
            return None;
        }
        self.table_lease_start.max(self.quorum_lease_start).map(|sent_at| sent_at + self.timing.ttl)
    }

    /// True while this node has a lease.
    pub fn may_act(&self, now: Instant) -> bool {
        self.may_act_until().is_some_and(|until| now < until)
    }

    /// True while the lease from a majority of the members has not expired.
    pub fn has_quorum_lease(&self, now: Instant) -> bool {
        !self.is_self_evicted()
            && self.quorum_lease_start.is_some_and(|sent| now < sent + self.timing.ttl)
    }

    /// True while the lease from the table has not expired.
    pub fn has_table_lease(&self, now: Instant) -> bool {
        !self.is_self_evicted()
            && self.table_lease_start.is_some_and(|sent| now < sent + self.timing.ttl)
    }

    /// Starts a round of heartbeats; the same message goes to all members.
    pub fn start_heartbeat_round(&mut self, now: Instant) -> Heartbeat {
        let request = self.next_request;
        self.next_request += 1;
        if self.rounds.len() == ROUNDS_MAX {
            self.rounds.remove(0);
        }
        let list_version = self.list.version;
        self.rounds.push(Round { request, sent_at: now, list_version, confirmed: Vec::new() });
        // With a single member, the round has its majority without any reply.
        self.renew_quorum_lease(self.rounds.len() - 1);
        let evictions = self.takeovers.iter().map(eviction_of).collect();
        let informed = self.is_informed();
        Heartbeat { request, list_version, informed, evictions, ..Heartbeat::default() }
    }

    /// Returns the reply to a heartbeat of an incarnation of `from`, and agrees to the evictions in
    /// the heartbeat.
    pub fn handle_heartbeat(
        &mut self,
        from: &str,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) -> HeartbeatReply {
        self.agree_to(&heartbeat.evictions);
        let mut reply = HeartbeatReply {
            request: heartbeat.request,
            to_incarnation: incarnation,
            verdict: self.verdict(from, incarnation, heartbeat).into(),
            list_version: self.list.version,
            informed: self.is_informed(),
            evictions: heartbeat.evictions.clone(),
            list: None,
        };
        let is_behind = !heartbeat.informed || heartbeat.list_version < self.list.version;
        if self.is_informed() && is_behind {
            reply.evictions = self.evicted.to_evictions();
            reply.list = Some(self.list.to_message());
        }
        reply
    }

    /// Handles a reply to a heartbeat; false if it matches no round of this incarnation.
    pub fn handle_reply(&mut self, from: &NodeId, reply: &HeartbeatReply, now: Instant) -> bool {
        if reply.to_incarnation != self.incarnation {
            return false;
        }
        let Some(index) = self.rounds.iter().position(|round| round.request == reply.request)
        else {
            return false;
        };
        if reply.verdict() == Verdict::Evicted {
            self.evicted.insert_up_to(&self.node, self.incarnation);
        }
        self.sync_from_reply(from, reply);
        if !self.list.contains(from) || reply.list_version != self.list.version {
            return true;
        }
        if reply.verdict() == Verdict::Confirmed {
            insert_sorted(&mut self.rounds[index].confirmed, from);
            self.renew_quorum_lease(index);
        }
        if reply.informed {
            // Only agreements of informed members count: a node that has forgotten its list might
            // agree under a list that it had already replaced.
            for eviction in &reply.evictions {
                self.record_agreement(from, eviction, now);
            }
        }
        true
    }

    /// Handles the result of a read of the table that was sent at `sent_at`.
    pub fn handle_table_view(&mut self, view: &TableView, sent_at: Instant, now: Instant) {
        for row in &view.rows {
            self.evicted.insert_up_to(&row.node, row.evicted_up_to);
            self.takeover_allowed.insert_up_to(&row.node, row.takeover_up_to);
            if row.node == self.node {
                self.handle_own_row(row, sent_at);
            }
        }
        if let Some(list) = &view.list
            && view.is_complete
        {
            self.adopt_list(list.clone());
        }
        if view.is_complete {
            self.witness = Witness::Informed;
        }
        for row in &view.rows {
            self.track_takeover(row, now);
        }
    }

    /// Handles the last message of an incarnation of `node`, which holds no resources any more.
    pub fn handle_leave(&mut self, node: &NodeId, incarnation: Incarnation) {
        self.evicted.insert_up_to(node, incarnation);
        self.takeover_allowed.insert_up_to(node, incarnation);
        self.drop_finished_takeovers();
    }

    /// Returns the takeovers that may be written to the table now, as node and latest incarnation.
    pub fn due_takeovers(&self, now: Instant) -> Vec<(NodeId, Incarnation)> {
        let due = self.takeovers.iter().filter(|takeover| takeover.is_due(now));
        due.map(|takeover| (takeover.node.clone(), takeover.incarnation)).collect()
    }

    /// Returns the takeovers under way.
    pub fn takeovers(&self) -> &[Takeover] {
        &self.takeovers
    }

    fn verdict(&self, from: &str, incarnation: Incarnation, heartbeat: &Heartbeat) -> Verdict {
        if self.evicted.contains(from, incarnation) {
            return Verdict::Evicted;
        }
        if !self.is_informed() || heartbeat.list_version != self.list.version {
            return Verdict::Abstain;
        }
        Verdict::Confirmed
    }

    fn agree_to(&mut self, evictions: &[Eviction]) {
        for eviction in evictions {
            self.evicted.insert_up_to(&eviction.node, eviction.incarnation);
        }
    }

    /// Adopts the evictions and the member list that an informed member has sent.
    fn sync_from_reply(&mut self, from: &NodeId, reply: &HeartbeatReply) {
        let Some(list) = reply.list.as_ref().and_then(MemberList::from_message) else {
            return;
        };
        if !reply.informed {
            return;
        }
        self.agree_to(&reply.evictions);
        let is_current = list.version >= self.list.version;
        self.adopt_list(list);
        if !is_current || !self.list.contains(from) {
            return;
        }
        let majority = self.list.majority();
        if let Witness::Uninformed { informed_by } = &mut self.witness {
            insert_sorted(informed_by, from);
            if informed_by.len() >= majority {
                self.witness = Witness::Informed;
            }
        }
    }

    /// Adopts a later member list. Called only together with all evictions that were in the table
    /// at the time of that list.
    fn adopt_list(&mut self, list: MemberList) {
        if list.version <= self.list.version {
            return;
        }
        self.list = list;
        if let Witness::Uninformed { informed_by } = &mut self.witness {
            informed_by.clear();
        }
        for takeover in &mut self.takeovers {
            if !matches!(takeover.stage, Stage::Waiting { .. }) {
                *takeover = Takeover::new(takeover.node.clone(), takeover.incarnation);
            }
        }
    }

    fn handle_own_row(&mut self, row: &MemberRow, sent_at: Instant) {
        if row.incarnation > self.incarnation {
            // A later process has registered under the name of this node.
            self.evicted.insert_up_to(&self.node, self.incarnation);
        }
        if row.incarnation == self.incarnation && row.evicted_up_to < self.incarnation {
            self.table_lease_start = self.table_lease_start.max(Some(sent_at));
        }
    }

    /// Creates or updates the takeover of the incarnations that a row shows as evicted.
    fn track_takeover(&mut self, row: &MemberRow, now: Instant) {
        self.drop_finished_takeovers();
        if row.evicted_up_to <= row.takeover_up_to {
            return;
        }
        let position = self.takeovers.iter().position(|takeover| takeover.node == row.node);
        match position {
            Some(index) if self.takeovers[index].incarnation >= row.evicted_up_to => {}
            Some(index) => {
                self.takeovers[index] = Takeover::new(row.node.clone(), row.evicted_up_to)
            }
            None => self.takeovers.push(Takeover::new(row.node.clone(), row.evicted_up_to)),
        }
        self.takeovers.sort_by(|a, b| a.node.cmp(&b.node));
        if self.list.contains(&self.node) {
            let own = Eviction { node: row.node.to_string(), incarnation: row.evicted_up_to };
            self.record_agreement(&self.node.clone(), &own, now);
        }
    }

    fn drop_finished_takeovers(&mut self) {
        let takeover_allowed = &self.takeover_allowed;
        self.takeovers
            .retain(|takeover| !takeover_allowed.contains(&takeover.node, takeover.incarnation));
    }

    fn record_agreement(&mut self, member: &NodeId, eviction: &Eviction, now: Instant) {
        let majority = self.list.majority();
        let until = now + self.timing.ttl + self.timing.margin;
        for takeover in &mut self.takeovers {
            if *takeover.node == *eviction.node && takeover.incarnation <= eviction.incarnation {
                takeover.record_agreement(member, majority, until);
            }
        }
    }

    /// Renews the quorum lease if a majority, this node included, has confirmed the round at
    /// `index`.
    fn renew_quorum_lease(&mut self, index: usize) {
        let round = &self.rounds[index];
        if round.list_version != self.list.version || !self.list.contains(&self.node) {
            return;
        }
        if round.confirmed.len() + 1 >= self.list.majority() {
            self.quorum_lease_start = self.quorum_lease_start.max(Some(round.sent_at));
        }
    }
}

fn eviction_of(takeover: &Takeover) -> Eviction {
    Eviction { node: takeover.node.to_string(), incarnation: takeover.incarnation }
}

fn insert_sorted(nodes: &mut Vec<NodeId>, node: &NodeId) {
    if let Err(index) = nodes.binary_search(node) {
        nodes.insert(index, node.clone());
    }
}
