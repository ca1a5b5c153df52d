//! Sends a request once to another node that holds tokens to spare.
//!
//! The other node admits the request itself, by its key. A keyed hash over the request's id and
//! target marks it as sent on, so that it is never sent on again; a caller cannot make one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use axum::body::Body;
use blake3::Hash;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http::request::Parts;
use model::Outcome;
use model::RequestId;
use routing::Deadline;

use crate::answer::Refusal;
use crate::answer_body::AnswerBody;
use crate::answer_body::Origin;
use crate::body::OutboundBody;
use crate::connection::Connection;
use crate::connection::ExchangeError;
use crate::connection::IdleConnections;
use crate::exchange::says_not_run;
use crate::handler::Gateway;
use crate::header::DEADLINE_MS;
use crate::header::FORWARDED;
use crate::header::OUTCOME;
use crate::header::remove_hop_by_hop;
use crate::life::Answered;
use crate::life::Order;
use crate::node_context::Peer;

/// Peers that are tried for one request.
const PEERS_MAX: usize = 2;
/// Length of a request id in text.
const ID_LENGTH: usize = 32;

/// Idle connections to other nodes, sorted by address.
#[derive(Default)]
pub struct PeerConnections {
    peers: Mutex<Vec<(SocketAddr, Arc<IdleConnections>)>>,
}

impl PeerConnections {
    fn to(&self, address: SocketAddr) -> Arc<IdleConnections> {
        let mut peers = self.peers.lock().expect("no holder panics");
        match peers.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(index) => peers[index].1.clone(),
            Err(index) => {
                let idle = Arc::<IdleConnections>::default();
                peers.insert(index, (address, idle.clone()));
                idle
            }
        }
    }

    /// Closes connections that have been idle for long.
    pub fn close_old(&self, now: Instant) {
        let mut peers = self.peers.lock().expect("no holder panics");
        for (_, idle) in peers.iter() {
            idle.close_old(now, false);
        }
        peers.retain(|(_, idle)| Arc::strong_count(idle) > 1 || !idle.is_empty());
    }
}

/// What came of sending a request on.
pub enum Forwarded {
    /// A peer answered, or may have run the request.
    Ended(Result<Answered, Refusal>),
    /// No peer has run it; here it is back.
    NotRun(Request<OutboundBody>),
}

enum Tried {
    Ended(Result<Answered, Refusal>),
    NotSent(Request<OutboundBody>),
    NotRun(Response<Body>),
}

impl Gateway {
    /// Tries the peers that hold spare tokens, until one has run the request or may have.
    pub(crate) async fn forward(
        &self,
        id: &RequestId,
        order: &Order,
        mut request: Request<OutboundBody>,
    ) -> Forwarded {
        let Some(secret) = &self.settings.cluster_secret else {
            return Forwarded::NotRun(request);
        };
        let peers =
            self.node.peers_with_spare_tokens(&order.admitted.team, &order.admitted.service);
        for peer in peers.into_iter().take(PEERS_MAX) {
            let replay = request.body().replay().map(|body| (copy_head(&request), body));
            let mark = forward_mark(secret, id, request.uri());
            self.telemetry.count("request.forwarded");
            match self.try_peer(id, &peer, &mark, order.deadline, request).await {
                Tried::Ended(end) => return Forwarded::Ended(end),
                Tried::NotSent(unsent) => request = unsent,
                Tried::NotRun(response) => {
                    let Some((parts, body)) = replay else {
                        let (id, outcome) = (id.clone(), Outcome::NotRun);
                        return Forwarded::Ended(Ok(Answered { id, outcome, response }));
                    };
                    request = Request::from_parts(parts, OutboundBody::held(body));
                }
            }
        }
        request.headers_mut().remove(FORWARDED);
        Forwarded::NotRun(request)
    }

    async fn try_peer(
        &self,
        id: &RequestId,
        peer: &Peer,
        mark: &str,
        deadline: Deadline,
        mut request: Request<OutboundBody>,
    ) -> Tried {
        let idle = self.peers.to(peer.address);
        let now = Instant::now();
        let timeout = self.settings.connect_timeout.min(deadline.left(now));
        let opened = match idle.take().await {
            Some(connection) => Ok(connection),
            None => Connection::open(peer.address, timeout, None).await,
        };
        let Ok(mut connection) = opened else {
            return Tried::NotSent(request);
        };
        let headers = request.headers_mut();
        remove_hop_by_hop(headers);
        headers.insert(DEADLINE_MS, HeaderValue::from(deadline.left_ms(now)));
        if let (Ok(mark), Ok(host)) =
            (HeaderValue::from_str(mark), HeaderValue::from_str(&peer.address.to_string()))
        {
            headers.insert(FORWARDED, mark);
            headers.insert(header::HOST, host);
        }
        let watch = request.body().watch();
        let exchanged =
            tokio::time::timeout_at(deadline.at.into(), connection.exchange(request)).await;
        let response = match exchanged {
            Ok(Ok(response)) => response,
            Ok(Err(ExchangeError::NotSent { request, .. })) => return Tried::NotSent(*request),
            Ok(Err(ExchangeError::NoAnswer(error))) => {
                let caller_fault = watch.state().failure();
                let (status, detail) = caller_fault.map_or_else(
                    || {
                        (
                            StatusCode::BAD_GATEWAY,
                            format!("node {} gave no answer: {error}", peer.node),
                        )
                    },
                    |(status, detail)| (status, detail.to_owned()),
                );
                return Tried::Ended(Err(Refusal::unknown(status, detail)));
            }
            Err(_) => {
                let detail = format!("no answer came in time from node {}", peer.node);
                return Tried::Ended(Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, detail)));
            }
        };
        let not_run = says_not_run(&response);
        let outcome = response.headers().get(OUTCOME).and_then(|value| value.to_str().ok());
        let outcome = outcome.and_then(Outcome::parse).unwrap_or(Outcome::Unknown);
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let silence = self.settings.backend_idle_timeout;
        let body = AnswerBody::new(body, connection, Origin::Peer(idle), watch, silence);
        let response = Response::from_parts(parts, Body::new(body));
        if not_run {
            return Tried::NotRun(response);
        }
        Tried::Ended(Ok(Answered { id: id.clone(), outcome, response }))
    }
}

/// Id of a request that another node sent on; `None` if it comes from a caller.
pub fn forwarded_id(
    secret: Option<&[u8; 32]>,
    headers: &HeaderMap,
    target: &Uri,
) -> Option<RequestId> {
    let text = headers.get(FORWARDED)?.to_str().ok()?;
    let (id, hash) = text.split_at_checked(ID_LENGTH)?;
    let given = Hash::from_hex(hash).ok()?;
    // Comparison of hashes takes the same time whatever they are.
    (keyed_hash(secret?, id, target) == given).then(|| id.into())
}

fn forward_mark(secret: &[u8; 32], id: &str, target: &Uri) -> String {
    format!("{id}{}", keyed_hash(secret, id, target).to_hex())
}

fn keyed_hash(secret: &[u8; 32], id: &str, target: &Uri) -> Hash {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(id.as_bytes());
    hasher.update(target.path().as_bytes());
    hasher.finalize()
}

fn copy_head(request: &Request<OutboundBody>) -> Parts {
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = request.method().clone();
    parts.uri = request.uri().clone();
    parts.headers = request.headers().clone();
    parts
}
