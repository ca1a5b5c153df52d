//! Members of one process that talk over real links on loopback.

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
use crate::virtual_fleet::name;
use crate::virtual_fleet::row;
use crate::virtual_fleet::settings;

const CLUSTER: &str = "bench";
const FRAMES_MAX: usize = 1_024;
/// Counts that each node reports; a third of them changes with every heartbeat.
const COUNTS: u32 = 24;
/// Longest wait for a take-over.
const TAKE_OVER_MAX: Duration = Duration::from_secs(30);

/// State that the members of one process share.
struct Common {
    rows: Mutex<Vec<MemberRow>>,
    list: MemberList,
    sent_bytes: AtomicU64,
    /// By position.
    acting: Vec<AtomicBool>,
}

/// Members of one process.
pub struct LiveFleet {
    common: Arc<Common>,
    tasks: Vec<JoinHandle<()>>,
}

impl LiveFleet {
    /// Starts `count` members.
    pub fn start(count: usize) -> Result<Self, LinkError> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut links = Vec::new();
        let mut entries = Vec::new();
        for index in 0..count {
            let (sender, frames) = mpsc::channel(FRAMES_MAX);
            let link = NngLink::listen(any, sender)?;
            entries.push(MemberEntry { node: name(index), peer_address: link.local_address() });
            links.push((link, frames));
        }
        let rows = entries.iter().enumerate().map(|(index, entry)| row(index, entry.peer_address));
        let common = Arc::new(Common {
            rows: Mutex::new(rows.collect()),
            list: MemberList::first(entries),
            sent_bytes: AtomicU64::new(0),
            acting: (0..count).map(|_| AtomicBool::new(false)).collect(),
        });
        let start = |(index, (link, frames))| {
            tokio::spawn(LiveMember::new(index, link, common.clone()).run(frames))
        };
        let tasks = links.into_iter().enumerate().map(start).collect();
        Ok(Self { common, tasks })
    }

    /// Bytes that all members have sent.
    pub fn sent_bytes(&self) -> u64 {
        self.common.sent_bytes.load(Ordering::Relaxed)
    }

    /// Members that may act.
    pub fn acting(&self) -> usize {
        self.common.acting.iter().filter(|acting| acting.load(Ordering::Relaxed)).count()
    }

    /// Ends a member without a word; time until what it held may be taken.
    pub async fn time_to_take(&mut self, index: usize) -> Option<Duration> {
        self.tasks[index].abort();
        let failed_at = Instant::now();
        while failed_at.elapsed() < TAKE_OVER_MAX {
            tokio::time::sleep(Duration::from_millis(10)).await;
            let rows = self.common.rows.lock().expect("no holder panics");
            if rows[index].takeover_up_to >= 1 {
                return Some(failed_at.elapsed());
            }
        }
        None
    }

    /// Ends all members.
    pub async fn stop(self) {
        for task in self.tasks {
            task.abort();
            // Aborted tasks end with an error.
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
    common: Arc<Common>,
    beats: u32,
}

impl LiveMember {
    fn new(index: usize, link: NngLink, common: Arc<Common>) -> Self {
        let key = ClusterKey::derive(CLUSTER, "secret of the bench");
        let member = Member::new(settings(index), 1, common.list.clone(), Instant::now());
        Self {
            index,
            member,
            link,
            inbox: Inbox::new(CLUSTER, name(index), key.clone()),
            outbox: Outbox::new(CLUSTER, name(index), key),
            common,
            beats: 0,
        }
    }

    async fn run(mut self, mut frames: mpsc::Receiver<Bytes>) {
        let others = self.common.list.members.iter().filter(|entry| entry.node != name(self.index));
        let peers: Vec<_> = others.map(|entry| (entry.node.clone(), entry.peer_address)).collect();
        self.link.set_peers(&peers);
        let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL / 4);
        let mut reads = tokio::time::interval(TTL / 3);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                _ = reads.tick() => self.read(),
                Some(frame) = frames.recv() => self.receive(&frame),
            }
        }
    }

    fn tick(&mut self) {
        self.beats += 1;
        let count = |key: u32| LimitCounts {
            key: format!("running/levy/team-{key:02}"),
            running: 1 + if key.is_multiple_of(3) { self.beats } else { 0 },
            queued: 0,
            spare: 4,
            served_ms: 0,
        };
        self.member.set_counts((0..COUNTS).map(count).collect());
        self.step(Input::Tick);
    }

    fn read(&mut self) {
        let rows = self.common.rows.lock().expect("no holder panics").clone();
        let view = TableView { rows, list: Some(self.common.list.clone()), is_complete: true };
        self.step(Input::Table { sent_at: Instant::now(), view });
    }

    fn receive(&mut self, frame: &Bytes) {
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
                    self.common.sent_bytes.fetch_add(size_bytes, Ordering::Relaxed);
                    self.link.send(&to, frame);
                }
                Output::Evict { node, incarnation } => {
                    self.write(&node, |row| row.with_eviction(incarnation));
                    self.read();
                }
                Output::AllowTakeover { node, incarnation } => {
                    self.write(&node, |row| row.with_takeover(incarnation));
                    self.read();
                }
                Output::Redial { peer, .. } => self.link.redial(&peer),
                _ => {}
            }
        }
        let may_act = self.member.protocol().may_act(now);
        self.common.acting[self.index].store(may_act, Ordering::Relaxed);
    }

    fn write(&self, node: &str, change: impl FnOnce(MemberRow) -> MemberRow) {
        let mut rows = self.common.rows.lock().expect("no holder panics");
        if let Some(index) = self.common.list.position(node) {
            rows[index] = change(rows[index].clone());
        }
    }
}
