//! Requests with an idempotency key: they run at most once, and repeats get the response to the
//! first request.
//!
//! Such a request is detached: a task of its own sends it, so that it finishes and its response is
//! stored even if the caller disconnects.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use axum::body::Body;
use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use model::Outcome;
use model::RequestId;
use routing::Claim;
use routing::ClaimState;
use routing::RepeatOutcome;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::bounded_body::BoundedBuffer;
use crate::bounded_body::ReadError;
use crate::budget::ConnectionBudget;
use crate::claims::ClaimResult;
use crate::claims::claim_row_key;
use crate::claims::request_digest;
use crate::claims::running_claim;
use crate::claims::unix_ms;
use crate::error_response::GatewayError;
use crate::handler::Gateway;
use crate::handler::RETRY_AFTER;
use crate::handler::ReadyRequest;
use crate::lifecycle::AdmittedRequest;
use crate::lifecycle::RelayedResponse;
use crate::lifecycle::StagedRequest;
use crate::request_body::OutboundBody;

/// Time after the deadline of a request at which a claim without a final state counts as unknown,
/// because the node that holds it has probably failed.
const CLAIM_MARGIN: Duration = Duration::from_secs(60);
/// Time after the deadline for which the caller's connection still waits for the result of the
/// detached task.
const RESPONSE_MARGIN: Duration = Duration::from_millis(50);
/// Maximum length of an idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// Head of a stored response. In the object, a line feed and the body follow its JSON.
#[derive(Serialize, Deserialize)]
struct StoredHead {
    status: u16,
    headers: Vec<(String, String)>,
}

/// Identity of a request with an idempotency key: the key of its claim row and its digest.
struct KeyedRequest {
    row_key: String,
    digest: String,
}

impl Gateway {
    /// Processes a request with an idempotency key: reads its body, responds from an earlier
    /// request if there is one, else claims the key and sends the request.
    pub(crate) async fn process_idempotent(
        self: &Arc<Self>,
        staged: StagedRequest<AdmittedRequest>,
        request: Request<OutboundBody>,
        key: &HeaderValue,
    ) -> Result<RelayedResponse, GatewayError> {
        if key.is_empty() || key.len() > KEY_MAX_BYTES {
            let detail = format!("an Idempotency-Key has 1 to {KEY_MAX_BYTES} bytes");
            return Err(GatewayError::not_run(StatusCode::BAD_REQUEST, detail));
        }
        let row_key = claim_row_key(&staged.stage.admission, key.as_bytes());
        let (parts, body) = request.into_parts();
        let budget = parts.extensions.get::<ConnectionBudget>().cloned();
        let body = body.read_all(budget.as_ref()).await.map_err(ReadError::into_error)?;
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let digest = request_digest(&parts.method, target, &body);
        let keyed = KeyedRequest { row_key, digest };
        if let Some(result) = self.earlier_response(&keyed).await? {
            return Ok(result);
        }
        let request = Request::from_parts(parts, OutboundBody::buffered(body));
        let ready = match self.acquire_tokens(staged, request).await {
            Ok(ready) => ready,
            Err(early) => return *early,
        };
        let (sender, result_receiver) = oneshot::channel();
        let response_due = ready.staged.stage.admitted.deadline.at + RESPONSE_MARGIN;
        let gateway = self.clone();
        let detached = self.detached.clone();
        tokio::spawn(async move {
            let result = gateway.claim_and_send(ready, keyed, budget).await;
            // Fails if the caller has disconnected. A repeat then gets the stored response.
            drop(sender.send(result));
            drop(detached);
        });
        match tokio::time::timeout_at(response_due.into(), result_receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => {
                let detail = "the request was lost inside the node";
                Err(GatewayError::unknown(StatusCode::INTERNAL_SERVER_ERROR, detail))
            }
            Err(_) => {
                let detail = "no answer came in time; a repeat with the same key may get it";
                Err(GatewayError::unknown(StatusCode::GATEWAY_TIMEOUT, detail))
            }
        }
    }

    async fn claim_and_send(
        self: &Arc<Self>,
        ready: ReadyRequest,
        keyed: KeyedRequest,
        budget: Option<ConnectionBudget>,
    ) -> Result<RelayedResponse, GatewayError> {
        let remaining = ready.staged.stage.admitted.deadline.remaining(Instant::now());
        let id = ready.staged.id.clone();
        let claim = running_claim(id, keyed.digest.clone(), remaining + CLAIM_MARGIN);
        match self.claims.claim(&keyed.row_key, &claim).await {
            ClaimResult::Claimed => {}
            ClaimResult::KeyInUse => {
                drop(ready);
                let result = self.earlier_response(&keyed).await?;
                return result.ok_or_else(|| still_running("the key was just used"));
            }
            ClaimResult::Unavailable => return Err(table_unavailable()),
        }
        match self.dispatch(ready).await {
            Ok(relayed) => Ok(self.read_and_store(&keyed, claim, relayed, budget.as_ref()).await),
            Err(error) if error.outcome == Outcome::NotRun => {
                self.claims.release(keyed.row_key, claim.request);
                Err(error)
            }
            Err(error) => {
                let claim = Claim { state: ClaimState::Unknown, ..claim };
                self.claims.finalize(&keyed.row_key, claim).await;
                Err(error)
            }
        }
    }

    /// Returns the response of an earlier request with the same key, or `None` if there was none.
    /// Fails if that request is still running, or its response is not available.
    async fn earlier_response(
        &self,
        keyed: &KeyedRequest,
    ) -> Result<Option<RelayedResponse>, GatewayError> {
        let read =
            tokio::time::timeout(self.settings.claim_timeout, self.claims.read(&keyed.row_key));
        let Ok(Ok(claim)) = read.await else {
            return Err(table_unavailable());
        };
        let Some(claim) = claim else {
            return Ok(None);
        };
        match routing::resolve_repeat(&claim, &keyed.digest, unix_ms(SystemTime::now())) {
            RepeatOutcome::DifferentRequest => {
                let detail = "the Idempotency-Key was used for another request";
                Err(GatewayError::not_run(StatusCode::CONFLICT, detail))
            }
            RepeatOutcome::Running => {
                Err(still_running("the first request with this key is running"))
            }
            RepeatOutcome::Unknown => {
                let detail = "the first request with this key may have run; its answer is lost";
                Err(GatewayError::unknown(StatusCode::BAD_GATEWAY, detail))
            }
            RepeatOutcome::NotStored => {
                let detail = "the first request with this key was answered; its answer was not \
                              stored: it was too large, or the object store failed";
                Err(GatewayError::unknown(StatusCode::BAD_GATEWAY, detail))
            }
            RepeatOutcome::StoredResponse => self.stored_response(claim.request).await.map(Some),
        }
    }

    async fn stored_response(&self, id: RequestId) -> Result<RelayedResponse, GatewayError> {
        let unavailable = || {
            let detail = "the first answer cannot be read now";
            GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER)
        };
        let bytes = self.claims.stored_response(&id).await.map_err(|_| unavailable())?;
        let response = bytes.and_then(decode_stored).ok_or_else(unavailable)?;
        self.telemetry.count("request.repeated");
        Ok(RelayedResponse { id, outcome: Outcome::Complete, response })
    }

    /// Reads a response into memory, stores it for repeats, writes the final state of the claim,
    /// and returns the response. One that is too large to store, or for which no memory is left in
    /// `budget`, is passed on while it is being received.
    async fn read_and_store(
        self: &Arc<Self>,
        keyed: &KeyedRequest,
        claim: Claim,
        relayed: RelayedResponse,
        budget: Option<&ConnectionBudget>,
    ) -> RelayedResponse {
        let (parts, mut body) = relayed.response.into_parts();
        let mut response_body = BoundedBuffer::of_response(budget);
        // The part that did not fit into the budget.
        let mut unbuffered = None;
        let state = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data()
                        && response_body.extend(&data).await.is_err()
                    {
                        unbuffered = Some(data);
                        break ClaimState::NotStored;
                    }
                    if response_body.len() > self.settings.stored_response_max_bytes {
                        break ClaimState::NotStored;
                    }
                }
                Some(Err(error)) => {
                    let claim = Claim { state: ClaimState::Unknown, ..claim };
                    self.claims.finalize(&keyed.row_key, claim).await;
                    let detail = format!("the answer was cut: {error}");
                    let error = GatewayError::unknown(StatusCode::BAD_GATEWAY, detail);
                    let response = error.into_response(&relayed.id);
                    return RelayedResponse { response, outcome: Outcome::Unknown, ..relayed };
                }
                None => break ClaimState::Complete,
            }
        };
        let response_body = response_body.freeze();
        let is_stored = state == ClaimState::Complete && {
            let response = encode_stored(&parts, &response_body);
            self.claims.store_response(&relayed.id, response).await
        };
        let state = if is_stored { ClaimState::Complete } else { ClaimState::NotStored };
        self.claims.finalize(&keyed.row_key, Claim { state, ..claim }).await;
        let prefix = [Some(response_body), unbuffered];
        let body = Body::new(PrefixedBody { prefix, rest: body });
        RelayedResponse { response: Response::from_parts(parts, body), ..relayed }
    }
}

fn still_running(detail: &str) -> GatewayError {
    GatewayError::retryable(StatusCode::CONFLICT, detail, RETRY_AFTER)
}

fn table_unavailable() -> GatewayError {
    let detail = "the Idempotency-Key cannot be recorded now";
    GatewayError::retryable(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER)
}

fn encode_stored(parts: &http::response::Parts, body: &Bytes) -> Bytes {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    let head = StoredHead { status: parts.status.as_u16(), headers: headers.collect() };
    let mut stored = serde_json::to_vec(&head).expect("a response head serializes to JSON");
    stored.push(b'\n');
    stored.extend_from_slice(body);
    stored.into()
}

fn decode_stored(stored: Bytes) -> Option<Response<Body>> {
    let head_end = stored.iter().position(|byte| *byte == b'\n')?;
    let head: StoredHead = serde_json::from_slice(&stored[..head_end]).ok()?;
    let mut response = Response::new(Body::from(stored.slice(head_end + 1..)));
    *response.status_mut() = StatusCode::from_u16(head.status).ok()?;
    for (name, value) in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        response.headers_mut().append(name, HeaderValue::from_str(&value).ok()?);
    }
    Some(response)
}

/// Body whose first parts have been read into memory already.
struct PrefixedBody {
    prefix: [Option<Bytes>; 2],
    rest: Body,
}

impl http_body::Body for PrefixedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let mut parts = self.prefix.iter_mut().filter_map(Option::take);
        match parts.find(|part| !part.is_empty()) {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.prefix.iter().flatten().map(|part| part.len() as u64).sum::<u64>();
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(buffered + rest),
            None => SizeHint::default(),
        }
    }
}
