//! Golden tests: sessions of callers and operators, one with each example contract.
//!
//! `sessions/NAME.session` is replayed against one node. The transcript is compared with
//! `sessions/NAME.golden`: the responses to callers, the runs at the backend server, and the state
//! changes that the node recorded. Ids are replaced by numbers in the order of their appearance.
//! With `SAVORYPITCH_REGENERATE=1`, the golden files are rewritten.

#[path = "common/cluster.rs"]
mod cluster;

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use model::TeamRef;
use model::key::KeyHolder;
use node::Node;
use node::Platform;
use node::api;
use rstest::rstest;
use standin::backend::JobRuns;
use standin::backend::StandinBackend;
use standin::caller::call;
use standin::platform_server::PlatformFaults;
use standin::platform_server::StandinPlatform;

use crate::cluster::ClusterOptions;
use crate::cluster::admin;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Response headers that callers rely on.
const HEADERS: [&str; 3] = ["savorypitch-outcome", "savorypitch-request-id", "retry-after"];
/// Kinds of events that are counted in the transcript.
const KINDS: [&str; 7] = [
    "contract-applied",
    "key-granted",
    "key-withdrawn",
    "request-unknown",
    "backend-silent",
    "token-in-doubt",
    "token-freed",
];
const ID_LENGTH: usize = 32;

struct Session {
    customer: &'static str,
    node: Node,
    platform: Arc<StandinPlatform>,
    /// One backend server for each host, since each fences only what it was probed for itself.
    backends: Vec<Arc<StandinBackend>>,
    /// Last key granted to each team, by the team's name.
    keys: Vec<(String, api::GrantedKey)>,
    /// Ids in the order of their appearance.
    ids: Vec<String>,
    transcript: String,
}

#[rstest]
#[tokio::test]
async fn session_matches_its_golden_file(#[values("levy", "studio")] customer: &'static str) {
    let files = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let script = std::fs::read_to_string(files.join(format!("{customer}.session"))).unwrap();
    let mut session = Session::start(customer).await;
    for line in script.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        session.step(line).await;
    }
    let transcript = session.finish().await;
    let golden = files.join(format!("{customer}.golden"));
    if std::env::var_os("SAVORYPITCH_REGENERATE").is_some() {
        std::fs::write(&golden, &transcript).unwrap();
    }
    let expected = std::fs::read_to_string(&golden).unwrap();
    for (number, (actual, expected)) in transcript.lines().zip(expected.lines()).enumerate() {
        assert_eq!(actual, expected, "line {} of {}", number + 1, golden.display());
    }
    assert_eq!(transcript.lines().count(), expected.lines().count());
}

impl Session {
    async fn start(customer: &'static str) -> Self {
        let platform = Arc::new(StandinPlatform::default());
        let (platform_address, _) =
            standin::platform_server::serve(platform.clone(), ANY_PORT).await.unwrap();
        let remote = Platform::remote(platform_address, Duration::from_secs(5));
        let node =
            Node::start(cluster::settings(&ClusterOptions::default(), 0), remote).await.unwrap();
        let (text, backends) = contract(customer).await;
        let source = format!("{customer}.toml");
        let apply = api::ApplyContract { source, text, seen_version: None };
        let _: api::Accepted = admin(&node, Method::POST, "/contracts", &apply).await;
        let (keys, ids, transcript) = (Vec::new(), Vec::new(), String::new());
        Self { customer, node, platform, backends, keys, ids, transcript }
    }

    async fn step(&mut self, line: &str) {
        writeln!(self.transcript, "> {line}").unwrap();
        let (verb, rest) = line.split_once(' ').unwrap();
        match verb {
            "grant" => self.grant(rest).await,
            "withdraw" => self.withdraw(rest).await,
            "table" => self.platform.set_faults(faults(rest)),
            "send" => self.send(rest).await,
            _ => panic!("unknown step: {line}"),
        }
    }

    async fn grant(&mut self, team: &str) {
        let holder = KeyHolder::Team(TeamRef::new(self.customer, team));
        let grant = api::GrantKey { holder };
        let key = admin(&self.node, Method::POST, "/keys", &grant).await;
        self.keys.retain(|(other, _)| other != team);
        self.keys.push((team.to_owned(), key));
    }

    async fn withdraw(&mut self, team: &str) {
        let path = format!("/keys/{}", self.key_of(team).id);
        let _: api::Accepted = admin(&self.node, Method::DELETE, &path, &()).await;
    }

    /// Sends a request: `TEAM METHOD QUEUE/PATH [HEADER=VALUE]... [| BODY]`. The team `-` sends no
    /// key, and `!` sends an unknown one.
    async fn send(&mut self, step: &str) {
        let (head, body) = step.split_once(" | ").unwrap_or((step, ""));
        let mut words = head.split(' ');
        let team = words.next().unwrap();
        let method: Method = words.next().unwrap().parse().unwrap();
        let target = words.next().unwrap_or_default();
        let path = format!("/q/{target}");
        let authorization = match team {
            "-" => None,
            "!" => Some("Bearer spk_nobody".to_owned()),
            team => Some(format!("Bearer {}", self.key_of(team).secret)),
        };
        let job = format!("{method} {target}");
        let mut headers = vec![("standin-job", &*job)];
        headers.extend(authorization.as_deref().map(|value| ("authorization", value)));
        headers.extend(words.filter_map(|word| word.split_once('=')));
        let address = self.node.caller_address;
        match call(address, method, &path, &headers, body.to_owned()).await {
            Ok(response) => {
                writeln!(self.transcript, "< {}", response.status).unwrap();
                for name in HEADERS.into_iter().filter(|name| !response.header(name).is_empty()) {
                    let value = self.with_numbered_ids(response.header(name));
                    writeln!(self.transcript, "< {name}: {value}").unwrap();
                }
                if !response.body.is_empty() {
                    let body = self.with_numbered_ids(&String::from_utf8_lossy(&response.body));
                    writeln!(self.transcript, "< {body}").unwrap();
                }
            }
            Err(_) => writeln!(self.transcript, "< the answer was cut").unwrap(),
        }
    }

    async fn finish(mut self) -> String {
        self.wait_until_free().await;
        writeln!(self.transcript, "\nruns").unwrap();
        for runs in self.runs() {
            writeln!(self.transcript, "{} {}", runs.count, runs.job).unwrap();
        }
        let timeline: serde_json::Value = admin(&self.node, Method::GET, "/timeline", &()).await;
        let timeline = timeline.to_string();
        writeln!(self.transcript, "\nstate changes").unwrap();
        for kind in KINDS {
            let count = timeline.matches(&format!("\"{kind}\"")).count();
            writeln!(self.transcript, "{count} {kind}").unwrap();
        }
        let stopped = self.node.stop(Duration::ZERO, Duration::from_secs(10)).await;
        writeln!(self.transcript, "\nstopped gracefully: {}", stopped.is_graceful).unwrap();
        self.transcript
    }

    /// Returns the runs of each job on all hosts, sorted by job.
    fn runs(&self) -> Vec<JobRuns> {
        let mut total: Vec<JobRuns> = Vec::new();
        for runs in self.backends.iter().flat_map(|backend| backend.stats().runs) {
            match total.binary_search_by(|other| other.job.cmp(&runs.job)) {
                Ok(index) => total[index].count += runs.count,
                Err(index) => total.insert(index, runs),
            }
        }
        total
    }

    async fn wait_until_free(&self) {
        let waited = tokio::time::timeout(Duration::from_secs(20), async {
            loop {
                let hosts: Vec<api::HostView> = admin(&self.node, Method::GET, "/hosts", &()).await;
                if hosts.iter().all(|host| host.in_doubt == 0 && host.running == 0) {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        waited.await.expect("all slots are free in time");
    }

    fn key_of(&self, team: &str) -> &api::GrantedKey {
        let found = self.keys.iter().find(|(other, _)| other == team);
        &found.expect("the session granted a key").1
    }

    /// Replaces each id by the number of its first appearance.
    fn with_numbered_ids(&mut self, text: &str) -> String {
        let is_id_char = |c: char| c.is_ascii_hexdigit();
        let mut output = String::new();
        for part in text.split_inclusive(|c: char| !is_id_char(c)) {
            let word = part.trim_end_matches(|c: char| !is_id_char(c));
            if word.len() != ID_LENGTH {
                output.push_str(part);
                continue;
            }
            let position = self.ids.iter().position(|id| id == word);
            let number = position.unwrap_or_else(|| {
                self.ids.push(word.to_owned());
                self.ids.len() - 1
            });
            write!(output, "id-{number}{}", &part[word.len()..]).unwrap();
        }
        output
    }
}

fn faults(state: &str) -> PlatformFaults {
    match state {
        "down" => PlatformFaults { is_down: true, ..PlatformFaults::default() },
        "lose" => PlatformFaults { lose_replies: 1, ..PlatformFaults::default() },
        _ => PlatformFaults::default(),
    }
}

/// Returns the example contract with the address of a stand-in backend server for each host.
async fn contract(customer: &str) -> (String, Vec<Arc<StandinBackend>>) {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let text = std::fs::read_to_string(examples.join(format!("{customer}.toml"))).unwrap();
    let mut lines = Vec::new();
    let mut backends = Vec::new();
    for line in text.lines() {
        if !line.starts_with("address = ") {
            lines.push(line.to_owned());
            continue;
        }
        let backend = Arc::new(StandinBackend::default());
        let (address, _) = standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap();
        backends.push(backend);
        lines.push(format!("address = \"{address}\""));
    }
    (lines.join("\n"), backends)
}
