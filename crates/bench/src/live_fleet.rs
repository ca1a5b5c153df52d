//! Runs members in one process, connected by real links on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use membership::Input;
use membership::Member;
use membership::MemberEntry;
use membership::MemberList;
use membership::MemberRow;
use membership::Output;
use membership::TableView;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use wire::ClusterKey;
use wire::Inbox;
use wire::LimitCounts;
use wire::Link;
use wire::LinkError;
use wire::NngLink;
use wire::Outbox;

use crate::virtual_fleet::HEARTBEAT_INTERVAL;
use crate::virtual_fleet::TTL;
use crate::virtual_fleet::initial_row;
use crate::virtual_fleet::member_settings;
use crate::virtual_fleet::node_name;

const CLUSTER: &str = "bench";
/// Maximum number of received frames that wait to be handled, for each member.
const RECEIVED_FRAMES_MAX: usize = 1_024;
/// Number of counts that each node reports; a third of them changes with every heartbeat.
const COUNTS_PER_NODE: u32 = 24;
/// Maximum time to wait for a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// State that all members share.
struct SharedState {
    /// Contents of the table, by node index.
    rows: Mutex<Vec<MemberRow>>,
    list: MemberList,
    sent_bytes: AtomicU64,
    /// Whether each member may act, by node index.
    acting: Vec<AtomicBool>,
}

/// Running members and their shared state.
pub struct LiveFleet {
    shared: Arc<SharedState>,
    tasks: Vec<JoinHandle<()>>,
}

impl LiveFleet {
    /// Starts `count` members, each with a listening link.
    pub fn start(count: usize) -> Result<Self, LinkError> {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut links = Vec::new();
        let mut entries = Vec::new();
        for index in 0..count {
            let (sender, frames) = mpsc::channel(RECEIVED_FRAMES_MAX);
            let link = NngLink::listen(any_port, sender)?;
            entries
                .push(MemberEntry { node: node_name(index), peer_address: link.local_address() });
            links.push((link, frames));
        }
        let rows =
            entries.iter().enumerate().map(|(index, entry)| initial_row(index, entry.peer_address));
        let shared = Arc::new(SharedState {
            rows: Mutex::new(rows.collect()),
            list: MemberList::first(entries),
            sent_bytes: AtomicU64::new(0),
            acting: (0..count).map(|_| AtomicBool::new(false)).collect(),
        });
        let start = |(index, (link, frames))| {
            tokio::spawn(LiveMember::new(index, link, shared.clone()).run(frames))
        };
        let tasks = links.into_iter().enumerate().map(start).collect();
        Ok(Self { shared, tasks })
    }

    /// Returns the number of bytes that all members have sent.
    pub fn sent_bytes(&self) -> u64 {
        self.shared.sent_bytes.load(Ordering::Relaxed)
    }

    /// Counts the members that may act.
    pub fn count_acting(&self) -> usize {
        self.shared.acting.iter().filter(|acting| acting.load(Ordering::Relaxed)).count()
    }

    /// Stops a member without notice to its peers, and returns the time until the takeover of its
    /// resources is allowed; `None` after `TAKEOVER_TIMEOUT`.
    pub async fn fail_and_await_takeover(&mut self, index: usize) -> Option<Duration> {
        self.tasks[index].abort();
        let failed_at = Instant::now();
        while failed_at.elapsed() < TAKEOVER_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let rows = self.shared.rows.lock().expect("lock is never poisoned");
            if rows[index].takeover_up_to >= 1 {
                return Some(failed_at.elapsed());
            }
        }
        None
    }

    /// Stops all members.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
            // An aborted task returns an error.
            let _ = task.await;
        }
    }
}

struct LiveMember {
    index: usize,
    member: Member,
    link: NngLink,
    inbox: Inbox,
    outbox: Outbox,
    shared: Arc<SharedState>,
    tick_count: u32,
}

impl LiveMember {
    fn new(index: usize, link: NngLink, shared: Arc<SharedState>) -> Self {
        let key = ClusterKey::derive(CLUSTER, "secret of the bench");
        let member = Member::new(member_settings(index), 1, shared.list.clone(), Instant::now());
        Self {
            index,
            member,
            link,
            inbox: Inbox::new(CLUSTER, node_name(index), key.clone()),
            outbox: Outbox::new(CLUSTER, node_name(index), key),
            shared,
            tick_count: 0,
        }
    }

    async fn run(mut self, mut frames: mpsc::Receiver<Bytes>) {
        let others =
            self.shared.list.members.iter().filter(|entry| entry.node != node_name(self.index));
        let peers: Vec<_> = others.map(|entry| (entry.node.clone(), entry.peer_address)).collect();
        self.link.set_peers(&peers);
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL / 4);
        let mut reads = tokio::time::interval(TTL / 3);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = reads.tick() => self.read_table(),
                Some(frame) = frames.recv() => self.handle_frame(&frame),
            }
        }
    }

    fn tick(&mut self) {
        self.tick_count += 1;
        let count = |key: u32| LimitCounts {
            key: format!("running/levy/team-{key:02}"),
            running: 1 + if key.is_multiple_of(3) { self.tick_count } else { 0 },
            queued: 0,
            spare: 4,
            served_ms: 0,
        };
        self.member.set_counts((0..COUNTS_PER_NODE).map(count).collect());
        self.step(Input::Tick);
    }

    fn read_table(&mut self) {
        let rows = self.shared.rows.lock().expect("lock is never poisoned").clone();
        let view = TableView { rows, list: Some(self.shared.list.clone()), is_complete: true };
        self.step(Input::Table { sent_at: Instant::now(), view });
    }

    fn handle_frame(&mut self, frame: &Bytes) {
        let Ok(envelope) = self.inbox.open(frame) else {
            return;
        };
        let Some(body) = envelope.body else {
            return;
        };
        let from = envelope.sender.as_str().into();
        let (incarnation, config_version) = (envelope.incarnation, envelope.config_version);
        self.step(Input::Message { from, incarnation, config_version, body });
    }

    fn step(&mut self, input: Input) {
        let now = Instant::now();
        for output in self.member.step(input, now) {
            match output {
                Output::Send { to, body } => {
                    let frame = self.outbox.seal(&to, 1, 1, (1, 1), body);
                    let size_bytes = frame.len() as u64;
                    self.shared.sent_bytes.fetch_add(size_bytes, Ordering::Relaxed);
                    self.link.send(&to, frame);
                }
                Output::Evict { node, incarnation } => {
                    self.update_row(&node, |row| row.with_eviction(incarnation));
                    self.read_table();
                }
                Output::AllowTakeover { node, incarnation } => {
                    self.update_row(&node, |row| row.with_takeover(incarnation));
                    self.read_table();
                }
                Output::Redial { peer, .. } => self.link.redial(&peer),
                _ => {}
            }
        }
        let may_act = self.member.protocol().may_act(now);
        self.shared.acting[self.index].store(may_act, Ordering::Relaxed);
    }

    fn update_row(&self, node: &str, change: impl FnOnce(MemberRow) -> MemberRow) {
        let mut rows = self.shared.rows.lock().expect("lock is never poisoned");
        if let Some(index) = self.shared.list.position(node) {
            rows[index] = change(rows[index].clone());
        }
    }
}
