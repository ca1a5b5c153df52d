//! A node without tokens sends a request once to a node that has some.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use axum::extract::Request;
use events::Recorder;
use gateway::Authority;
use gateway::Gateway;
use gateway::GatewaySettings;
use gateway::Parts;
use gateway::Peer;
use gateway::Server;
use http::Method;
use http::StatusCode;
use limits::LimitKey;
use limits::LimitTable;
use model::Config;
use model::ConfigRow;
use model::HostRow;
use model::ServiceId;
use model::TeamRef;
use model::contract::parse_contract;
use platform::MemoryObjects;
use platform::MemoryTable;
use standin::backend::StandinBackend;
use standin::caller::Answer;
use standin::caller::call;
use telemetry::Telemetry;

const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const SECRET: [u8; 32] = [9; 32];

/// A node's view that the test sets.
struct View {
    config: Arc<Config>,
    peers: Mutex<Vec<Peer>>,
}

impl Authority for View {
    fn config(&self) -> Arc<Config> {
        self.config.clone()
    }

    fn may_admit(&self, _now: Instant) -> bool {
        true
    }

    fn spare_peers(&self, _team: &TeamRef, _service: &ServiceId) -> Vec<Peer> {
        self.peers.lock().unwrap().clone()
    }
}

struct Entry {
    view: Arc<View>,
    server: Server,
    telemetry: Telemetry,
}

impl Entry {
    /// Node with `slots` of the only backend server.
    async fn start(config: &Arc<Config>, slots: u32, secret: [u8; 32]) -> Self {
        let limits = Arc::new(LimitTable::default());
        limits.grant(&LimitKey::Slots("w1".into()), slots);
        limits.grant(&LimitKey::Connections("w1".into()), slots * 2);
        limits.grant(&LimitKey::Running(TeamRef::new("levy", "desk")), 8);
        let view = Arc::new(View { config: config.clone(), peers: Mutex::default() });
        let telemetry = Telemetry::new(None).unwrap();
        let gateway = Gateway::start(Parts {
            authority: view.clone(),
            limits,
            events: Arc::new(Recorder::new("n".into(), 1)),
            telemetry: telemetry.clone(),
            table: Arc::new(MemoryTable::default()),
            objects: Arc::new(MemoryObjects::default()),
            settings: GatewaySettings {
                cluster_secret: Some(secret),
                ..GatewaySettings::default()
            },
        });
        let router =
            Router::new().fallback(move |request: Request| gateway.clone().handle(request));
        let server = gateway::serve(ANY_PORT, router).await.unwrap();
        Self { view, server, telemetry }
    }

    fn may_send_to(&self, others: &[&Self]) {
        let peer = |other: &&Self| Peer { node: "peer".into(), address: other.server.address };
        *self.view.peers.lock().unwrap() = others.iter().map(peer).collect();
    }

    async fn send(&self, job: &str, body: &str) -> Answer {
        let headers = [("standin-job", job)];
        let sent = call(self.server.address, Method::POST, "/q/q/x?y=1", &headers, body.to_owned());
        sent.await.unwrap()
    }

    fn forwards(&self) -> u64 {
        let totals = self.telemetry.totals();
        totals.iter().find(|(name, _)| name.ends_with("request.forwarded")).map_or(0, |t| t.1)
    }
}

async fn start() -> (Arc<StandinBackend>, Arc<Config>) {
    let backend = Arc::new(StandinBackend::default());
    let (address, _) = standin::backend::serve(backend.clone(), ANY_PORT).await.unwrap();
    let text = format!(
        r#"
customer = "levy"
profile = "share"
[[services]]
name = "s"
unavailable_max = 0
[[queues]]
name = "q"
service = "s"
open = true
open_team = "desk"
wait_max_ms = 300
[[teams]]
name = "desk"
running_max = 8
[[pools]]
name = "p"
service = "s"
[[hosts]]
name = "w1"
pool = "p"
address = "{address}"
zone = "a"
rack = "r1"
slots = 8
connections_max = 64
processors = 16
memory_mib = 32768
"#
    );
    let contract = parse_contract("levy.toml", &text).unwrap();
    let host = HostRow::new(contract.customer.clone(), contract.hosts[0].clone());
    let rows = vec![ConfigRow::Contract(contract), ConfigRow::Host(host)];
    (backend, Arc::new(Config::from_rows(1, rows)))
}

#[tokio::test]
async fn request_goes_to_the_peer_with_tokens_once() {
    let (backend, config) = start().await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    let also_poor = Entry::start(&config, 0, SECRET).await;
    poor.may_send_to(&[&also_poor, &rich]);
    // Were it sent on again, it would come back here.
    also_poor.may_send_to(&[&poor]);
    let answer = poor.send("forwarded", "").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::OK, "complete"));
    assert_eq!((poor.forwards(), also_poor.forwards()), (2, 0));
    assert_eq!(backend.runs_of("forwarded"), 1);

    // A body that has been sent cannot be sent again, so the refusal of the first peer stands.
    let answer = poor.send("body", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::SERVICE_UNAVAILABLE, "not-run"));
    poor.may_send_to(&[&rich]);
    let answer = poor.send("body", "steel").await;
    assert_eq!((answer.outcome(), &*answer.body), ("complete", &b"steel"[..]));
    assert_eq!(backend.runs_of("body"), 1);
    assert!(answer.header("savorypitch-request-id").len() == 32);
}

#[tokio::test]
async fn mark_of_another_cluster_is_not_believed() {
    let (backend, config) = start().await;
    let stranger = Entry::start(&config, 0, [1; 32]).await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    stranger.may_send_to(&[&poor]);
    poor.may_send_to(&[&rich]);
    let answer = stranger.send("stranger", "").await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(poor.forwards(), 1, "to this node it is a caller's request like any other");
    assert_eq!(backend.runs_of("stranger"), 1);
}

#[tokio::test]
async fn peer_that_is_gone_is_passed_over_and_one_that_is_cut_is_unknown() {
    let (backend, config) = start().await;
    let poor = Entry::start(&config, 0, SECRET).await;
    let gone = Entry::start(&config, 4, SECRET).await;
    let rich = Entry::start(&config, 4, SECRET).await;
    poor.may_send_to(&[&gone, &rich]);
    let address = gone.server.address;
    gone.server.stop(Duration::ZERO).await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
    let answer = poor.send("passed", "steel").await;
    assert_eq!(answer.outcome(), "complete");
    assert_eq!(backend.runs_of("passed"), 1);

    let listener = tokio::net::TcpListener::bind(ANY_PORT).await.unwrap();
    let cutter = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 64];
            let _ = tokio::io::AsyncReadExt::read(&mut stream, &mut head).await;
        }
    });
    let cutting = Peer { node: "cutter".into(), address: cutter };
    let spare = Peer { node: "spare".into(), address: rich.server.address };
    *poor.view.peers.lock().unwrap() = vec![cutting, spare];
    let answer = poor.send("cut", "steel").await;
    assert_eq!((answer.status, answer.outcome()), (StatusCode::BAD_GATEWAY, "unknown"));
    assert_eq!(backend.runs_of("cut"), 0, "nobody may try it again");
}
