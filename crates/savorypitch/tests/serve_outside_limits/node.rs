//! Node process under lowered limits, its contract, and what it uses of its machine.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use standin::backend::StandinBackend;
use standin::caller::call;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub const OPERATOR_KEY: &str = "operator-key-of-the-test";
/// A machine of 260 MB with 4,100 descriptors, and the limits of its node, are all scaled by this.
const SCALE: u64 = 16;
/// Memory that a crowd may add to the process, in KiB.
const GROWTH_MAX_KIB: u64 = 260_000_000 / SCALE / 1_024;
/// File descriptors that the process may open.
const DESCRIPTORS_MAX: u64 = 4_100 / SCALE;
/// Longest time until an ordinary request is answered; refused ones are sent again.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(90);
/// Longest time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time until the process has read what a crowd has sent.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time between two looks at the processor time of the process.
const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
/// Processor time in such an interval below which a process counts as idle, in clock ticks.
const IDLE_TICKS: u64 = 5;

/// Limits of the node, scaled like its machine.
const LIMITS: [(&str, &str); 6] = [
    ("SAVORYPITCH_CALLER_CONNECTIONS_MAX", "96"),
    ("SAVORYPITCH_ADMIN_CONNECTIONS_MAX", "32"),
    ("SAVORYPITCH_CALLER_MEMORY_MAX_BYTES", "4194304"),
    ("SAVORYPITCH_PLATFORM_REPLY_MAX_BYTES", "2097152"),
    ("SAVORYPITCH_REQUEST_TIMEOUT_MS", "5000"),
    ("SAVORYPITCH_PLATFORM_TIMEOUT_MS", "10000"),
];

/// Node process with one ordinary backend server; killed when dropped.
pub struct Node {
    child: Child,
    pub caller_address: SocketAddr,
    pub admin_address: SocketAddr,
    pub backend: Arc<StandinBackend>,
    /// Resident memory before the crowd, in KiB.
    idle_kib: u64,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node with the queues `q`, run by a stand-in, and `bad`, run by `bad_backend`.
    pub async fn start(platform: Option<SocketAddr>, bad_backend: Option<SocketAddr>) -> Self {
        let backend = Arc::<StandinBackend>::default();
        let (backend_address, _) =
            standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap();
        let (caller_address, admin_address) = (free_address(), free_address());
        let mut command = Command::new("sh");
        command
            .args(["-c", &format!("ulimit -n {DESCRIPTORS_MAX} && exec \"$0\" \"$@\"")])
            .arg(env!("CARGO_BIN_EXE_savorypitch"))
            .arg("serve")
            .args(["--listen", &caller_address.to_string()])
            .args(["--admin-listen", &admin_address.to_string()])
            .env("SAVORYPITCH_OPERATOR_KEY", OPERATOR_KEY)
            .envs(LIMITS)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        if let Some(platform) = platform {
            command.args(["--platform", &platform.to_string()]);
        }
        let child = command.spawn().unwrap();
        let mut node = Self { child, caller_address, admin_address, backend, idle_kib: 0 };
        let contract = contract(backend_address, bad_backend.unwrap_or(backend_address));
        node.apply(&contract).await;
        node.expect_ordinary_answer().await;
        node.idle_kib = node.status_kib("VmRSS");
        node
    }

    /// Checks that the process lives, stays within its machine, and answers an ordinary request.
    pub async fn expect_within_limits(&mut self) {
        self.settle().await;
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
        let growth_kib = self.status_kib("VmHWM").saturating_sub(self.idle_kib);
        let descriptors = self.descriptors();
        println!("grown by {growth_kib} KiB from {} KiB, {descriptors} descriptors", self.idle_kib);
        self.expect_ordinary_answer().await;
        let growth_kib = self.status_kib("VmHWM").saturating_sub(self.idle_kib);
        assert!(growth_kib <= GROWTH_MAX_KIB, "grown by {growth_kib} KiB of {GROWTH_MAX_KIB}");
        assert!(descriptors <= DESCRIPTORS_MAX, "{descriptors} descriptors");
        assert_eq!(self.child.try_wait().unwrap(), None, "the process has ended");
    }

    /// Waits until the process is idle: it has read what the crowd has sent, or waits for more.
    async fn settle(&self) {
        let deadline = Instant::now() + SETTLE_TIMEOUT;
        let mut ticks = self.processor_ticks();
        while Instant::now() < deadline {
            sleep(SETTLE_INTERVAL).await;
            let ticks_before = std::mem::replace(&mut ticks, self.processor_ticks());
            if ticks - ticks_before < IDLE_TICKS {
                return;
            }
        }
    }

    /// Returns the processor time of the process, in clock ticks.
    fn processor_ticks(&self) -> u64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path).expect("the process has ended");
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        // User and system time, the 14th and 15th fields of the line.
        fields.skip(11).take(2).map(|ticks| ticks.parse::<u64>().unwrap()).sum()
    }

    /// Waits until an ordinary caller's request and an operator's call are answered.
    async fn expect_ordinary_answer(&self) {
        let key = format!("Bearer {OPERATOR_KEY}");
        let admin = [("authorization", key.as_str())];
        self.expect_ok(self.caller_address, Method::POST, "/q/q/ordinary", &[]).await;
        self.expect_ok(self.admin_address, Method::GET, "/admin/v1/status", &admin).await;
    }

    async fn expect_ok(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) {
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let answer = call(address, method.clone(), path, headers, "");
            let answer = timeout(CALL_TIMEOUT, answer).await;
            match &answer {
                Ok(Ok(response)) if response.status == StatusCode::OK => return,
                _ => {}
            }
            assert!(Instant::now() < deadline, "{path} is not answered: {answer:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    async fn apply(&self, text: &str) {
        let key = format!("Bearer {OPERATOR_KEY}");
        let headers = [("authorization", key.as_str()), ("content-type", "application/json")];
        let body = serde_json::json!({ "source": "test.toml", "text": text }).to_string();
        let deadline = Instant::now() + ANSWER_TIMEOUT;
        loop {
            let path = "/admin/v1/contracts";
            let answer = call(self.admin_address, Method::POST, path, &headers, body.clone()).await;
            match &answer {
                Ok(response) if response.status.is_success() => return,
                Ok(response) if response.status.is_client_error() => panic!("{response:?}"),
                _ => {}
            }
            assert!(Instant::now() < deadline, "the contract is not accepted: {answer:?}");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns a value of `/proc/PID/status`, in KiB.
    fn status_kib(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process has ended");
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }

    fn descriptors(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.child.id());
        std::fs::read_dir(path).expect("the process has ended").count() as u64
    }
}

/// Returns a free address. Outgoing connections come from 127.0.0.1, so none of them takes its port.
fn free_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    let own_ip = [127, high | 1, low, 9];
    std::net::TcpListener::bind(SocketAddr::from((own_ip, 0))).unwrap().local_addr().unwrap()
}

fn contract(backend: SocketAddr, bad_backend: SocketAddr) -> String {
    let mut text = "customer = \"c\"\nprofile = \"share\"\n\n".to_owned();
    for (name, address) in [("q", backend), ("bad", bad_backend)] {
        text += &format!(
            "[[services]]\nname = \"{name}\"\nunavailable_max = 0\n\n\
             [[queues]]\nname = \"{name}\"\nservice = \"{name}\"\nopen = true\n\
             open_team = \"desk\"\nwaiting_max = 400\nwait_max_ms = 2000\n\n\
             [[pools]]\nname = \"{name}\"\nservice = \"{name}\"\n\n\
             [[hosts]]\nname = \"host-{name}\"\npool = \"{name}\"\naddress = \"{address}\"\n\
             zone = \"a\"\nrack = \"r\"\nslots = 128\nconnections_max = 128\nprocessors = 16\n\
             memory_mib = 32768\n\n"
        );
    }
    text + "[[teams]]\nname = \"desk\"\nshare_weight = 1\nrunning_max = 256\n"
}
