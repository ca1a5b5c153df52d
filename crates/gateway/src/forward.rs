//! Forwards requests to other nodes that have spare tokens.
//!
//! The other node admits the request itself by its API key. A keyed hash of the request ID and the
//! target path marks the request as forwarded, so that it is never forwarded again. Callers cannot
//! forge this marker, because they do not know the cluster secret.

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

use crate::connection::Connection;
use crate::connection::ExchangeError;
use crate::connection::IdleConnections;
use crate::error_response::GatewayError;
use crate::exchange::reports_not_run;
use crate::handler::Gateway;
use crate::header::DEADLINE_MS;
use crate::header::FORWARDED;
use crate::header::OUTCOME;
use crate::header::remove_hop_by_hop;
use crate::lifecycle::AdmittedRequest;
use crate::lifecycle::RelayedResponse;
use crate::node_context::Peer;
use crate::request_body::OutboundBody;
use crate::response_body::Origin;
use crate::response_body::ResponseBody;

/// Maximum number of peers that are tried for one request.
const PEER_ATTEMPTS_MAX: usize = 2;
/// Length of a request ID in characters.
const ID_LENGTH: usize = 32;

/// Idle connections to other nodes, sorted by address.
#[derive(Default)]
pub struct PeerConnections {
    peers: Mutex<Vec<(SocketAddr, Arc<IdleConnections>)>>,
}

impl PeerConnections {
    fn to(&self, address: SocketAddr) -> Arc<IdleConnections> {
        let mut peers = self.peers.lock().expect("lock is never poisoned");
        match peers.binary_search_by_key(&address, |(address, _)| *address) {
            Ok(index) => peers[index].1.clone(),
            Err(index) => {
                let idle = Arc::<IdleConnections>::default();
                peers.insert(index, (address, idle.clone()));
                idle
            }
        }
    }

    /// Closes the connections that have been idle for too long, and drops empty pools.
    pub fn close_expired(&self, now: Instant) {
        let mut peers = self.peers.lock().expect("lock is never poisoned");
        for (_, idle) in peers.iter() {
            idle.close_expired(now, false);
        }
        peers.retain(|(_, idle)| Arc::strong_count(idle) > 1 || !idle.is_empty());
    }
}

/// Result of forwarding a request.
pub enum Forwarded {
    /// A peer responded or may have run the request, so it must not be sent anywhere else.
    Final(Result<RelayedResponse, GatewayError>),
    /// No peer has run the request, and it can still be sent.
    NotRun(Request<OutboundBody>),
}

/// Result of forwarding a request to one peer.
enum Attempt {
    Final(Result<RelayedResponse, GatewayError>),
    NotSent(Request<OutboundBody>),
    NotRun(Response<Body>),
}

impl Gateway {
    /// Sends the request to the peers that have spare tokens, one after the other, until one has
    /// run it or may have run it.
    pub(crate) async fn forward(
        &self,
        id: &RequestId,
        admitted: &AdmittedRequest,
        mut request: Request<OutboundBody>,
    ) -> Forwarded {
        let Some(secret) = &self.settings.cluster_secret else {
            return Forwarded::NotRun(request);
        };
        let peers = self
            .node
            .peers_with_spare_tokens(&admitted.admission.team, &admitted.admission.service);
        for peer in peers.into_iter().take(PEER_ATTEMPTS_MAX) {
            let replay = request.body().replay().map(|body| (copy_head(&request), body));
            let marker = forward_marker(secret, id, request.uri());
            self.telemetry.count("request.forwarded");
            match self.try_peer(id, &peer, &marker, admitted.deadline, request).await {
                Attempt::Final(result) => return Forwarded::Final(result),
                Attempt::NotSent(unsent) => request = unsent,
                Attempt::NotRun(response) => {
                    let Some((parts, body)) = replay else {
                        let (id, outcome) = (id.clone(), Outcome::NotRun);
                        return Forwarded::Final(Ok(RelayedResponse { id, outcome, response }));
                    };
                    request = Request::from_parts(parts, OutboundBody::buffered(body));
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
        marker: &str,
        deadline: Deadline,
        mut request: Request<OutboundBody>,
    ) -> Attempt {
        let idle = self.peers.to(peer.address);
        let now = Instant::now();
        let timeout = self.settings.connect_timeout.min(deadline.remaining(now));
        let opened = match idle.take().await {
            Some(connection) => Ok(connection),
            None => Connection::open(peer.address, timeout, None).await,
        };
        let Ok(mut connection) = opened else {
            return Attempt::NotSent(request);
        };
        let headers = request.headers_mut();
        remove_hop_by_hop(headers);
        headers.insert(DEADLINE_MS, HeaderValue::from(deadline.remaining_ms(now)));
        if let (Ok(marker), Ok(host)) =
            (HeaderValue::from_str(marker), HeaderValue::from_str(&peer.address.to_string()))
        {
            headers.insert(FORWARDED, marker);
            headers.insert(header::HOST, host);
        }
        let body_monitor = request.body().monitor();
        let exchanged =
            tokio::time::timeout_at(deadline.at.into(), connection.exchange(request)).await;
        let response = match exchanged {
            Ok(Ok(response)) => response,
            Ok(Err(ExchangeError::NotSent { request, .. })) => return Attempt::NotSent(*request),
            Ok(Err(ExchangeError::NoResponse(error))) => {
                let caller_fault = body_monitor.state().failure();
                let (status, detail) = caller_fault.map_or_else(
                    || {
                        (
                            StatusCode::BAD_GATEWAY,
                            format!("node {} gave no answer: {error}", peer.node),
                        )
                    },
                    |(status, detail)| (status, detail.to_owned()),
                );
                return Attempt::Final(Err(GatewayError::unknown(status, detail)));
            }
            Err(_) => {
                let detail = format!("no answer came in time from node {}", peer.node);
                return Attempt::Final(Err(GatewayError::unknown(
                    StatusCode::GATEWAY_TIMEOUT,
                    detail,
                )));
            }
        };
        let is_not_run = reports_not_run(&response);
        let outcome = response.headers().get(OUTCOME).and_then(|value| value.to_str().ok());
        let outcome = outcome.and_then(Outcome::parse).unwrap_or(Outcome::Unknown);
        let (mut parts, body) = response.into_parts();
        remove_hop_by_hop(&mut parts.headers);
        let idle_timeout = self.settings.backend_idle_timeout;
        let body =
            ResponseBody::new(body, connection, Origin::Peer(idle), body_monitor, idle_timeout);
        let response = Response::from_parts(parts, Body::new(body));
        if is_not_run {
            return Attempt::NotRun(response);
        }
        Attempt::Final(Ok(RelayedResponse { id: id.clone(), outcome, response }))
    }
}

/// Returns the ID of a request that another node has forwarded; `None` if it comes from a caller.
pub fn forwarded_id(
    secret: Option<&[u8; 32]>,
    headers: &HeaderMap,
    target: &Uri,
) -> Option<RequestId> {
    let text = headers.get(FORWARDED)?.to_str().ok()?;
    let (id, hash) = text.split_at_checked(ID_LENGTH)?;
    let received_hash = Hash::from_hex(hash).ok()?;
    // `Hash` compares in constant time.
    (keyed_hash(secret?, id, target) == received_hash).then(|| id.into())
}

fn forward_marker(secret: &[u8; 32], id: &str, target: &Uri) -> String {
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
