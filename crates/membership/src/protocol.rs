//! Proofs, marks and take-overs of one node.
//!
//! Why a holder and a taker cannot both be right: the holder's majority and the taker's share a
//! node, and that node either agreed to the mark before it was asked, and then says so, or it was
//! asked before, and then the holder's proof lapses while the taker waits. For that the shared node
//! must remember, so a restarted node abstains until it has read the marks from the table, or has
//! heard them from a majority of other, informed nodes. Lists that differ by more than one node may
//! have disjoint majorities; so a node takes up a new list only together with all marks that the
//! table held when the list did.

use std::time::Duration;
use std::time::Instant;

use model::Incarnation;
use model::NodeId;
use wire::Answer;
use wire::Eviction;
use wire::Heartbeat;
use wire::Verdict;

use crate::incarnation_set::IncarnationSet;
use crate::list::MemberList;
use crate::row::MemberRow;
use crate::row::TableView;
use crate::takeover::Stage;
use crate::takeover::Takeover;

/// Rounds of heartbeats whose answers are still taken.
const ROUNDS_MAX: usize = 8;

/// Times that all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long a proof lasts.
    pub ttl: Duration,
    /// How much longer a taker waits, because clocks run at different rates.
    pub margin: Duration,
}

/// What a node remembers as a witness.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Witness {
    /// It may have forgotten marks; these informed members have told theirs, sorted.
    Uninformed { heard: Vec<NodeId> },
    /// It knows all marks that it ever agreed to.
    Informed,
}

/// One round of heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Round {
    request: u64,
    sent_at: Instant,
    list_version: u64,
    /// Members that confirmed, sorted.
    confirmed: Vec<NodeId>,
}

/// Proofs, marks and take-overs of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Protocol {
    node: NodeId,
    incarnation: Incarnation,
    timing: Timing,
    list: MemberList,
    marked: IncarnationSet,
    taken: IncarnationSet,
    witness: Witness,
    /// When the question was sent that the table last answered "not marked".
    table_proof: Option<Instant>,
    /// When the round was sent that a majority last confirmed.
    peer_proof: Option<Instant>,
    rounds: Vec<Round>,
    next_request: u64,
    takeovers: Vec<Takeover>,
}

impl Protocol {
    /// A run that remembers nothing.
    pub fn new(node: NodeId, incarnation: Incarnation, list: MemberList, timing: Timing) -> Self {
        Self {
            node,
            incarnation,
            timing,
            list,
            marked: IncarnationSet::default(),
            taken: IncarnationSet::default(),
            witness: Witness::Uninformed { heard: Vec::new() },
            table_proof: None,
            peer_proof: None,
            rounds: Vec::new(),
            next_request: 1,
            takeovers: Vec::new(),
        }
    }

    /// Begins a new run in the same process; what it remembers as a witness stays.
    pub fn start_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.table_proof = None;
        self.peer_proof = None;
        self.rounds.clear();
    }

    /// Number of this run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Member list in force.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// True once this node may serve as a witness.
    pub fn is_informed(&self) -> bool {
        self.witness == Witness::Informed
    }

    /// True if this run is marked; it never acts again.
    pub fn is_self_evicted(&self) -> bool {
        self.marked.contains(&self.node, self.incarnation)
    }

    /// True if a run of `node` is known to be marked.
    pub fn is_evicted(&self, node: &str, incarnation: Incarnation) -> bool {
        self.marked.contains(node, incarnation)
    }

    /// True if what a run of `node` held may be taken.
    pub fn is_gone(&self, node: &str, incarnation: Incarnation) -> bool {
        self.taken.contains(node, incarnation)
    }

    /// Until when this node may act; `None` if it may not.
    pub fn may_act_until(&self) -> Option<Instant> {
        if self.is_self_evicted() {
            return None;
        }
        self.table_proof.max(self.peer_proof).map(|sent_at| sent_at + self.timing.ttl)
    }

    /// True while this node may act.
    pub fn may_act(&self, now: Instant) -> bool {
        self.may_act_until().is_some_and(|until| now < until)
    }

    /// True while a majority's confirmation is fresh.
    pub fn has_quorum_lease(&self, now: Instant) -> bool {
        !self.is_self_evicted() && self.peer_proof.is_some_and(|sent| now < sent + self.timing.ttl)
    }

    /// True while the table's confirmation is fresh.
    pub fn has_table_lease(&self, now: Instant) -> bool {
        !self.is_self_evicted() && self.table_proof.is_some_and(|sent| now < sent + self.timing.ttl)
    }

    /// Begins a round of heartbeats; the same message goes to all members.
    pub fn beat(&mut self, now: Instant) -> Heartbeat {
        let request = self.next_request;
        self.next_request += 1;
        if self.rounds.len() == ROUNDS_MAX {
            self.rounds.remove(0);
        }
        let list_version = self.list.version;
        self.rounds.push(Round { request, sent_at: now, list_version, confirmed: Vec::new() });
        // A member list of one needs no answer.
        self.count_round(self.rounds.len() - 1);
        let evictions = self.takeovers.iter().map(mark_of).collect();
        let informed = self.is_informed();
        Heartbeat { request, list_version, informed, evictions, ..Heartbeat::default() }
    }

    /// Answers a heartbeat of a run of `from`, and agrees to the marks that came with it.
    pub fn on_heartbeat(
        &mut self,
        from: &str,
        incarnation: Incarnation,
        heartbeat: &Heartbeat,
    ) -> Answer {
        self.agree_to(&heartbeat.evictions);
        let mut answer = Answer {
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
            answer.evictions = self.marked.to_marks();
            answer.list = Some(self.list.to_message());
        }
        answer
    }

    /// Takes an answer; false if it does not match a round of this run.
    pub fn on_answer(&mut self, from: &NodeId, answer: &Answer, now: Instant) -> bool {
        if answer.to_incarnation != self.incarnation {
            return false;
        }
        let Some(index) = self.rounds.iter().position(|round| round.request == answer.request)
        else {
            return false;
        };
        if answer.verdict() == Verdict::Evicted {
            self.marked.insert_up_to(&self.node, self.incarnation);
        }
        self.learn_from(from, answer);
        if !self.list.contains(from) || answer.list_version != self.list.version {
            return true;
        }
        if answer.verdict() == Verdict::Confirmed {
            insert(&mut self.rounds[index].confirmed, from);
            self.count_round(index);
        }
        if answer.informed {
            // A node that forgot its list could agree under a list that it had left.
            for mark in &answer.evictions {
                self.count_agreement(from, mark, now);
            }
        }
        true
    }

    /// Takes what a read of the table showed that was sent at `sent_at`.
    pub fn on_table(&mut self, view: &TableView, sent_at: Instant, now: Instant) {
        for row in &view.rows {
            self.marked.insert_up_to(&row.node, row.evicted_up_to);
            self.taken.insert_up_to(&row.node, row.takeover_up_to);
            if row.node == self.node {
                self.on_own_row(row, sent_at);
            }
        }
        if let Some(list) = &view.list
            && view.is_complete
        {
            self.adopt(list.clone());
        }
        if view.is_complete {
            self.witness = Witness::Informed;
        }
        for row in &view.rows {
            self.follow_claim(row, now);
        }
    }

    /// A run of `node` said that it holds nothing any more.
    pub fn on_leave(&mut self, node: &NodeId, incarnation: Incarnation) {
        self.marked.insert_up_to(node, incarnation);
        self.taken.insert_up_to(node, incarnation);
        self.drop_settled_claims();
    }

    /// Take-overs that may be written now.
    pub fn due(&self, now: Instant) -> Vec<(NodeId, Incarnation)> {
        let due = self.takeovers.iter().filter(|takeover| takeover.is_due(now));
        due.map(|takeover| (takeover.node.clone(), takeover.incarnation)).collect()
    }

    /// Take-overs under way.
    pub fn takeovers(&self) -> &[Takeover] {
        &self.takeovers
    }

    fn verdict(&self, from: &str, incarnation: Incarnation, heartbeat: &Heartbeat) -> Verdict {
        if self.marked.contains(from, incarnation) {
            return Verdict::Evicted;
        }
        if !self.is_informed() || heartbeat.list_version != self.list.version {
            return Verdict::Abstain;
        }
        Verdict::Confirmed
    }

    fn agree_to(&mut self, evictions: &[Eviction]) {
        for mark in evictions {
            self.marked.insert_up_to(&mark.node, mark.incarnation);
        }
    }

    /// Takes the marks and the list of an informed member.
    fn learn_from(&mut self, from: &NodeId, answer: &Answer) {
        let Some(list) = answer.list.as_ref().and_then(MemberList::from_message) else {
            return;
        };
        if !answer.informed {
            return;
        }
        self.agree_to(&answer.evictions);
        let is_current = list.version >= self.list.version;
        self.adopt(list);
        if !is_current || !self.list.contains(from) {
            return;
        }
        let majority = self.list.majority();
        if let Witness::Uninformed { heard } = &mut self.witness {
            insert(heard, from);
            if heard.len() >= majority {
                self.witness = Witness::Informed;
            }
        }
    }

    /// Takes up a later list; only called together with all marks of its time.
    fn adopt(&mut self, list: MemberList) {
        if list.version <= self.list.version {
            return;
        }
        self.list = list;
        if let Witness::Uninformed { heard } = &mut self.witness {
            heard.clear();
        }
        for takeover in &mut self.takeovers {
            if !matches!(takeover.stage, Stage::Waiting { .. }) {
                *takeover = Takeover::new(takeover.node.clone(), takeover.incarnation);
            }
        }
    }

    fn on_own_row(&mut self, row: &MemberRow, sent_at: Instant) {
        if row.incarnation > self.incarnation {
            // Another process has taken the node's place.
            self.marked.insert_up_to(&self.node, self.incarnation);
        }
        if row.incarnation == self.incarnation && row.evicted_up_to < self.incarnation {
            self.table_proof = self.table_proof.max(Some(sent_at));
        }
    }

    /// Follows the take-over of the runs that a row marks.
    fn follow_claim(&mut self, row: &MemberRow, now: Instant) {
        self.drop_settled_claims();
        if row.evicted_up_to <= row.takeover_up_to {
            return;
        }
        let held = self.takeovers.iter().position(|takeover| takeover.node == row.node);
        match held {
            Some(index) if self.takeovers[index].incarnation >= row.evicted_up_to => {}
            Some(index) => {
                self.takeovers[index] = Takeover::new(row.node.clone(), row.evicted_up_to)
            }
            None => self.takeovers.push(Takeover::new(row.node.clone(), row.evicted_up_to)),
        }
        self.takeovers.sort_by(|a, b| a.node.cmp(&b.node));
        if self.list.contains(&self.node) {
            let own = Eviction { node: row.node.to_string(), incarnation: row.evicted_up_to };
            self.count_agreement(&self.node.clone(), &own, now);
        }
    }

    fn drop_settled_claims(&mut self) {
        let taken = &self.taken;
        self.takeovers.retain(|takeover| !taken.contains(&takeover.node, takeover.incarnation));
    }

    fn count_agreement(&mut self, member: &NodeId, mark: &Eviction, now: Instant) {
        let majority = self.list.majority();
        let until = now + self.timing.ttl + self.timing.margin;
        for takeover in &mut self.takeovers {
            if *takeover.node == *mark.node && takeover.incarnation <= mark.incarnation {
                takeover.agree(member, majority, until);
            }
        }
    }

    /// Takes the proof of a round that a majority confirmed, this node included.
    fn count_round(&mut self, index: usize) {
        let round = &self.rounds[index];
        if round.list_version != self.list.version || !self.list.contains(&self.node) {
            return;
        }
        if round.confirmed.len() + 1 >= self.list.majority() {
            self.peer_proof = self.peer_proof.max(Some(round.sent_at));
        }
    }
}

fn mark_of(takeover: &Takeover) -> Eviction {
    Eviction { node: takeover.node.to_string(), incarnation: takeover.incarnation }
}

fn insert(nodes: &mut Vec<NodeId>, node: &NodeId) {
    if let Err(index) = nodes.binary_search(node) {
        nodes.insert(index, node.clone());
    }
}
