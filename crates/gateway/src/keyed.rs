//! Requests with an idempotency key: they run once at most, and their repeats get the first answer.
//!
//! Such a request is carried by a task of its own, so that it ends and its answer is kept also when
//! its caller goes away.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use axum::body::Body;
use bytes::Bytes;
use bytes::BytesMut;
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

use crate::answer::Refusal;
use crate::body::OutboundBody;
use crate::claims::ClaimEnd;
use crate::claims::claim_row_key;
use crate::claims::request_digest;
use crate::claims::running_claim;
use crate::claims::unix_ms;
use crate::handler::Gateway;
use crate::handler::RETRY_AFTER;
use crate::handler::Ready;
use crate::life::Answered;
use crate::life::Order;
use crate::life::Work;

/// Time beyond its deadline after which a claim whose holder is silent reads as unknown.
const CLAIM_MARGIN: Duration = Duration::from_secs(60);
/// Time beyond its deadline in which the task that carries a request says how it ended.
const ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;

/// Head of a kept answer; the body follows after a line feed.
#[derive(Serialize, Deserialize)]
struct KeptHead {
    status: u16,
    headers: Vec<(String, String)>,
}

/// A request with an idempotency key.
struct Keyed {
    row_key: String,
    digest: String,
}

impl Gateway {
    /// Carries a request with an idempotency key.
    pub(crate) async fn carry_keyed(
        self: &Arc<Self>,
        work: Work<Order>,
        request: Request<OutboundBody>,
        key: &HeaderValue,
    ) -> Result<Answered, Refusal> {
        if key.is_empty() || key.len() > KEY_MAX_BYTES {
            let detail = format!("an Idempotency-Key has 1 to {KEY_MAX_BYTES} bytes");
            return Err(Refusal::not_run(StatusCode::BAD_REQUEST, detail));
        }
        let row_key = claim_row_key(&work.step.admitted, key.as_bytes());
        let (parts, body) = request.into_parts();
        let body = body.hold().await.map_err(|state| {
            let failure = state.failure();
            let (status, detail) = failure.unwrap_or((StatusCode::BAD_REQUEST, "no body came"));
            Refusal::not_run(status, detail)
        })?;
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        let digest = request_digest(&parts.method, target, &body);
        let keyed = Keyed { row_key, digest };
        if let Some(end) = self.first_end(&keyed).await? {
            return Ok(end);
        }
        let request = Request::from_parts(parts, OutboundBody::held(body));
        let ready = match self.ready(work, request).await {
            Ok(ready) => ready,
            Err(ended) => return *ended,
        };
        let (sender, ended) = oneshot::channel();
        let answer_by = ready.work.step.order.deadline.at + ANSWER_MARGIN;
        let gateway = self.clone();
        let running = self.running.clone();
        tokio::spawn(async move {
            let end = gateway.claim_and_send(ready, keyed).await;
            // The caller may have gone; the answer is kept for its repeat.
            drop(sender.send(end));
            drop(running);
        });
        match tokio::time::timeout_at(answer_by.into(), ended).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => {
                let detail = "the request was lost inside the node";
                Err(Refusal::unknown(StatusCode::INTERNAL_SERVER_ERROR, detail))
            }
            Err(_) => {
                let detail = "no answer came in time; a repeat with the same key may get it";
                Err(Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, detail))
            }
        }
    }

    async fn claim_and_send(
        self: &Arc<Self>,
        ready: Ready,
        keyed: Keyed,
    ) -> Result<Answered, Refusal> {
        let left = ready.work.step.order.deadline.left(Instant::now());
        let id = ready.work.id.clone();
        let claim = running_claim(id, keyed.digest.clone(), left + CLAIM_MARGIN);
        match self.claims.claim(&keyed.row_key, &claim).await {
            ClaimEnd::Claimed => {}
            ClaimEnd::Taken => {
                drop(ready);
                let end = self.first_end(&keyed).await?;
                return end.ok_or_else(|| still_running("the key was just used"));
            }
            ClaimEnd::Unavailable => return Err(no_table()),
        }
        match self.finish(ready).await {
            Ok(answered) => Ok(self.keep(&keyed, claim, answered).await),
            Err(refusal) if refusal.outcome == Outcome::NotRun => {
                self.claims.release(keyed.row_key, claim.request);
                Err(refusal)
            }
            Err(refusal) => {
                let claim = Claim { state: ClaimState::Unknown, ..claim };
                self.claims.settle(&keyed.row_key, claim).await;
                Err(refusal)
            }
        }
    }

    /// The end of an earlier try of the same key.
    async fn first_end(&self, keyed: &Keyed) -> Result<Option<Answered>, Refusal> {
        let read =
            tokio::time::timeout(self.settings.claim_timeout, self.claims.read(&keyed.row_key));
        let Ok(Ok(claim)) = read.await else {
            return Err(no_table());
        };
        let Some(claim) = claim else {
            return Ok(None);
        };
        match routing::resolve_repeat(&claim, &keyed.digest, unix_ms(SystemTime::now())) {
            RepeatOutcome::DifferentRequest => {
                let detail = "the Idempotency-Key was used for another request";
                Err(Refusal::not_run(StatusCode::CONFLICT, detail))
            }
            RepeatOutcome::Running => {
                Err(still_running("the first request with this key is running"))
            }
            RepeatOutcome::Unknown => {
                let detail = "the first request with this key may have run; its answer is lost";
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, detail))
            }
            RepeatOutcome::NotKept => {
                let detail = "the first request with this key was answered; \
                              the answer was too large to keep";
                Err(Refusal::unknown(StatusCode::BAD_GATEWAY, detail))
            }
            RepeatOutcome::FirstAnswer => self.kept(claim.request).await.map(Some),
        }
    }

    async fn kept(&self, id: RequestId) -> Result<Answered, Refusal> {
        let unavailable = || {
            let detail = "the first answer cannot be read now";
            Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER)
        };
        let bytes = self.claims.kept_answer(&id).await.map_err(|_| unavailable())?;
        let response = bytes.and_then(parse_kept).ok_or_else(unavailable)?;
        self.telemetry.count("request.repeated");
        Ok(Answered { id, outcome: Outcome::Complete, response })
    }

    /// Reads an answer to its end, keeps it for repeats, and hands it on.
    async fn keep(self: &Arc<Self>, keyed: &Keyed, claim: Claim, answered: Answered) -> Answered {
        let (parts, mut body) = answered.response.into_parts();
        let mut read = BytesMut::new();
        let state = loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(data) = frame.data_ref() {
                        read.extend_from_slice(data);
                    }
                    if read.len() > self.settings.stored_response_max_bytes {
                        break ClaimState::NotKept;
                    }
                }
                Some(Err(error)) => {
                    let claim = Claim { state: ClaimState::Unknown, ..claim };
                    self.claims.settle(&keyed.row_key, claim).await;
                    let detail = format!("the answer was cut: {error}");
                    let refusal = Refusal::unknown(StatusCode::BAD_GATEWAY, detail);
                    let response = refusal.into_response(&answered.id);
                    return Answered { response, outcome: Outcome::Unknown, ..answered };
                }
                None => break ClaimState::Complete,
            }
        };
        let read = read.freeze();
        let kept = state == ClaimState::Complete && {
            let answer = format_kept(&parts, &read);
            self.claims.keep_answer(&answered.id, answer).await
        };
        let state = if kept { ClaimState::Complete } else { ClaimState::NotKept };
        self.claims.settle(&keyed.row_key, Claim { state, ..claim }).await;
        let body = Body::new(Prefixed { first: Some(read), rest: body });
        Answered { response: Response::from_parts(parts, body), ..answered }
    }
}

fn still_running(detail: &str) -> Refusal {
    Refusal::retry(StatusCode::CONFLICT, detail, RETRY_AFTER)
}

fn no_table() -> Refusal {
    let detail = "the Idempotency-Key cannot be recorded now";
    Refusal::retry(StatusCode::SERVICE_UNAVAILABLE, detail, RETRY_AFTER)
}

fn format_kept(parts: &http::response::Parts, body: &Bytes) -> Bytes {
    let headers = parts.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    let head = KeptHead { status: parts.status.as_u16(), headers: headers.collect() };
    let mut kept = serde_json::to_vec(&head).expect("a head is plain");
    kept.push(b'\n');
    kept.extend_from_slice(body);
    kept.into()
}

fn parse_kept(kept: Bytes) -> Option<Response<Body>> {
    let end = kept.iter().position(|byte| *byte == b'\n')?;
    let head: KeptHead = serde_json::from_slice(&kept[..end]).ok()?;
    let mut response = Response::new(Body::from(kept.slice(end + 1..)));
    *response.status_mut() = StatusCode::from_u16(head.status).ok()?;
    for (name, value) in head.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        response.headers_mut().append(name, HeaderValue::from_str(&value).ok()?);
    }
    Some(response)
}

/// Body of which the first part has been read.
struct Prefixed {
    first: Option<Bytes>,
    rest: Body,
}

impl http_body::Body for Prefixed {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        match self.first.take().filter(|first| !first.is_empty()) {
            Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
            None => Pin::new(&mut self.rest).poll_frame(context),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
