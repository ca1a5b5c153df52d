//! A node process with lowered limits, and what it holds of its machine.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordinator::http::CallKind;
use coordinator::http::Client;
use coordinator::http::Request;
use coordinator::http::Server;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use serde_json::json;
use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::Instant;

use crate::proxy::Proxy;
use crate::table::TableStandin;

/// Memory of the machine: 18 percent of 260 MB.
const MEMORY_MB: u64 = 48;
/// Descriptors of the process: 18 percent of 4,100.
const DESCRIPTORS_MAX: usize = 750;
const KEY: &str = "key-of-the-test";
const FRONT_PORT: u16 = 17_340;
const READY_PORT: u16 = 17_343;
const PEER_PORT: u16 = 17_000;
/// Longest time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at a process.
const LOOK_PERIOD: Duration = Duration::from_millis(400);
/// Processor time of a process that has nothing to do, between two looks, in clock ticks.
const CALM_TICKS: u64 = 8;

/// A port of a node.
#[derive(Clone, Copy)]
pub enum Port {
    Front,
    Ready,
    Metrics,
    Peer,
}

/// A node process with lowered limits, and its table.
pub struct LimitedNode {
    ip: IpAddr,
    settings: PathBuf,
    child: Child,
    pub table: TableStandin,
    pub table_link: Proxy,
    _table_server: Server,
}

/// Waits until no other test of this file runs.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::const_new(());
    TURN.lock().await
}

impl LimitedNode {
    /// Starts a node and waits until it accepts a job.
    pub async fn start() -> Self {
        Self::start_on(None).await
    }

    /// Starts a node that reads the list of hosts at an address of its own.
    pub async fn start_with_hosts_at(cloud: SocketAddr) -> Self {
        Self::start_on(Some(cloud)).await
    }

    async fn start_on(cloud: Option<SocketAddr>) -> Self {
        let table = TableStandin::default();
        let (address, table_server) = table.serve().await;
        let ip = free_ip();
        table.put("op", "config", &build_config(ip));
        let table_link = Proxy::start(address).await;
        let settings = write_settings(ip, table_link.address, cloud.unwrap_or(address));
        let child = spawn_node(&settings);
        let node = Self { ip, settings, child, table, table_link, _table_server: table_server };
        node.wait_until_accepted().await;
        node
    }

    pub fn address(&self, port: Port) -> SocketAddr {
        let port = match port {
            Port::Front => FRONT_PORT,
            Port::Ready => READY_PORT,
            Port::Metrics => PEER_PORT + 1,
            Port::Peer => PEER_PORT,
        };
        SocketAddr::new(self.ip, port)
    }

    /// Waits until the process has taken up what a crowd has sent, and checks the node.
    pub async fn check(&mut self, what: &str) {
        self.wait_until_calm().await;
        self.check_now(what).await;
    }

    /// Checks the node after a time in which it makes calls.
    pub async fn check_after(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        self.check_now("calls").await;
    }

    async fn check_now(&mut self, what: &str) {
        let descriptors = self.descriptors();
        eprintln!(
            "{what}: {} kB, peak {} kB, {descriptors:?} descriptors",
            self.memory_kb("VmRSS:").unwrap_or_default(),
            self.memory_kb("VmHWM:").unwrap_or_default()
        );
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
        self.wait_until_accepted().await;
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
        let peak_kb = self.memory_kb("VmHWM:").expect("the process lives");
        assert!(peak_kb <= MEMORY_MB * 1_000, "{peak_kb} kB are above {MEMORY_MB} MB");
        let descriptors = descriptors.expect("the process lives");
        assert!(descriptors < DESCRIPTORS_MAX, "{descriptors} descriptors: none is left");
    }

    /// Submits jobs as an ordinary caller, again when refused, until one is accepted.
    async fn wait_until_accepted(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let id = format!("{:016x}", rand::random::<u64>());
        let body = json!({ "spec": "10", "steps": [{ "count": 1, "cpu": 100, "memMb": 10 }] });
        loop {
            let timeout = Duration::from_secs(3);
            let request = Request::new(Method::POST, format!("/q/{id}"), body.to_string(), timeout)
                .header(HeaderName::from_static("authorization"), &format!("Bearer {KEY}"));
            let address = self.address(Port::Front);
            let sent = Client::default().call(address, CallKind::Short, request).await;
            let status = sent.map(|response| response.status);
            if status == Ok(StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < deadline, "no job accepted in {WAIT_TIMEOUT:?}: {status:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn wait_until_calm(&self) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut before = (0, 0);
        while Instant::now() < deadline {
            tokio::time::sleep(LOOK_PERIOD).await;
            let now = (self.memory_kb("VmRSS:").unwrap_or_default(), self.ticks());
            if now.0 == before.0 && now.1 - before.1 < CALM_TICKS {
                return;
            }
            before = now;
        }
    }

    /// Returns a figure of the process's memory; none if it has ended.
    fn memory_kb(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(self.proc("status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(field))?;
        line.split_whitespace().next()?.parse().ok()
    }

    fn ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(self.proc("stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.split_whitespace().collect();
        let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
        field(13).unwrap_or_default() + field(14).unwrap_or_default()
    }

    fn descriptors(&self) -> Option<usize> {
        Some(std::fs::read_dir(self.proc("fd")).ok()?.count())
    }

    fn proc(&self, name: &str) -> PathBuf {
        Path::new("/proc").join(self.child.id().to_string()).join(name)
    }
}

impl Drop for LimitedNode {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Starts a node process that may have [`DESCRIPTORS_MAX`] descriptors.
fn spawn_node(settings: &Path) -> Child {
    let limited = format!("ulimit -n {DESCRIPTORS_MAX} && exec \"$0\" serve-platform");
    Command::new("sh")
        .args(["-c", &limited, env!("CARGO_BIN_EXE_savorypitch")])
        .env("SAVORYPITCH_BOOT", settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Returns a configuration with a queue for the crowd, one that needs a key, and one for the
/// ordinary caller.
fn build_config(ip: IpAddr) -> serde_json::Value {
    let route = |name: &str, host: &str, prefix: &str, is_public: bool| {
        json!({ "name": name, "host": host, "pathPrefix": prefix, "service": "p",
            "public": is_public })
    };
    json!({
        "version": 1,
        "routes": [route("q", "q.example", "/q/", true),
            route("closed", "q.example", "/closed/", false),
            route("ordinary", &ip.to_string(), "/q/", false)],
        "services": [{ "name": "p" }],
        "tenants": [{ "name": "t", "apiKeys": [KEY], "weight": 1 }],
        "limits": { "maxBodyBytes": crate::BODY_BYTES, "maxHeaderBytes": 16_384,
            "headerTimeoutMs": 3_000, "idleTimeoutMs": 10_000 },
    })
}

fn write_settings(ip: IpAddr, table: SocketAddr, cloud: SocketAddr) -> PathBuf {
    let text = json!({
        "node": "n0", "ip": ip, "zone": "a",
        "listen": { "front": SocketAddr::new(ip, FRONT_PORT), "ready": SocketAddr::new(ip, READY_PORT) },
        "portRange": [PEER_PORT, PEER_PORT + 1],
        "platform": { "address": table }, "cloud": { "address": cloud },
        "limits": { "cpuShare": 1.0, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS_MAX },
    });
    let path = std::env::temp_dir().join(format!("savorypitch-limits-{ip}.json"));
    std::fs::write(&path, text.to_string()).unwrap();
    path
}

/// Returns a loopback address that only this process uses.
fn free_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high | 64, low, host))
}
