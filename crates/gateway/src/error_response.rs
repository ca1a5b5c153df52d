//! Error responses that the gateway itself gives, as JSON problem details.

use std::time::Duration;

use axum::body::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use model::Outcome;
use model::RequestId;
use serde::Serialize;

use crate::header::OUTCOME;
use crate::header::REQUEST_ID;

/// Problem details (RFC 9457), extended by the outcome and the request ID.
#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    detail: &'a str,
    outcome: Outcome,
    request_id: &'a str,
}

/// Error that the caller gets instead of a response of a backend server.
#[derive(Clone)]
pub struct GatewayError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason, as a sentence for the caller.
    pub detail: String,
    /// Value of the `Retry-After` header; `None` if a retry does not help or is not safe.
    pub retry_after: Option<Duration>,
}

impl GatewayError {
    /// The request did not run, and sending the same request again does not help.
    pub fn not_run(status: StatusCode, detail: impl ToString) -> Self {
        Self { status, outcome: Outcome::NotRun, detail: detail.to_string(), retry_after: None }
    }

    /// The request did not run, and the caller may send it again after `retry_after`.
    pub fn retryable(status: StatusCode, detail: impl ToString, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..Self::not_run(status, detail) }
    }

    /// The request may have run.
    pub fn unknown(status: StatusCode, detail: impl ToString) -> Self {
        Self { outcome: Outcome::Unknown, ..Self::not_run(status, detail) }
    }

    /// Converts the error into an HTTP response.
    pub fn into_response(self, request_id: &RequestId) -> Response<Body> {
        let problem = Problem {
            title: self.status.canonical_reason().unwrap_or("Error"),
            status: self.status.as_u16(),
            detail: &self.detail,
            outcome: self.outcome,
            request_id,
        };
        let body = serde_json::to_vec(&problem).expect("problem details serialize to JSON");
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(wait) = self.retry_after {
            let wait_s = wait.as_secs().max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait_s));
        }
        set_outcome_headers(&mut response, self.outcome, request_id);
        response
    }
}

/// Sets the outcome and request ID headers of a response.
pub fn set_outcome_headers(
    response: &mut Response<Body>,
    outcome: Outcome,
    request_id: &RequestId,
) {
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID, value);
    }
}
