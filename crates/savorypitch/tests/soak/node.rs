//! Node processes.

use std::fs::OpenOptions;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::proxy::Proxy;

/// Node process with its own faulty link to the table.
pub struct Node {
    pub ip: IpAddr,
    pub settings: PathBuf,
    pub link: Proxy,
    pub child: Child,
}

impl Node {
    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub fn restart(&mut self) {
        // Kills the process if it still runs.
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn_node(&self.settings);
    }

    /// Returns how often the node has logged that a worker lists a unit of another one.
    pub fn units_on_two_workers(&self) -> usize {
        let log = std::fs::read_to_string(log_path(&self.settings)).unwrap_or_default();
        let is_on_two = |line: &&str| {
            line.contains("\"kind\":\"run-unexpected\"") && line.contains("\"worker_assigned\"")
        };
        log.lines().filter(is_on_two).count()
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(sent.unwrap().success());
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
        if !std::thread::panicking() && std::env::var_os(LOGS_VARIABLE).is_none() {
            let _ = std::fs::remove_file(log_path(&self.settings));
        }
    }
}

/// Variable that names the folder for the logs.
const LOGS_VARIABLE: &str = "SAVORYPITCH_SOAK_LOGS";

/// Ports of a node; each node has a loopback address of its own.
pub const CALLER_PORT: u16 = 17_340;
pub const READY_PORT: u16 = 17_343;
pub const PEER_PORT: u16 = 17_000;

pub fn spawn_node(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_savorypitch"))
        .arg("serve-platform")
        .env("SAVORYPITCH_BOOT", settings)
        .stdout(log_of(settings))
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// Opens the log file of the node with these settings.
fn log_of(settings: &Path) -> Stdio {
    let path = log_path(settings);
    OpenOptions::new().create(true).append(true).open(path).unwrap().into()
}

fn log_path(settings: &Path) -> PathBuf {
    let name = settings.file_stem().expect("a settings file has a name");
    let folder = std::env::var_os(LOGS_VARIABLE).map_or_else(std::env::temp_dir, PathBuf::from);
    folder.join(name).with_extension("log")
}

/// Returns a loopback address that only this process uses and whose ports for a node are free.
pub fn free_ip() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    loop {
        let ip =
            IpAddr::V4(Ipv4Addr::new(127, high | 128, low, NEXT.fetch_add(1, Ordering::Relaxed)));
        let ports = [CALLER_PORT, READY_PORT, PEER_PORT, PEER_PORT + 1];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
}
