//! Callers that submit jobs, again after a failure, and record the outcomes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordinator::http::CallError;
use coordinator::http::CallKind;
use coordinator::http::Client;
use coordinator::http::Request;
use http::HeaderName;
use http::Method;
use http::StatusCode;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::json;

use crate::KEY;
use crate::workers::HARMFUL_SPEC;
use crate::workers::UNIT_MILLIS;
use crate::workers::WorkerStandins;

/// Share of the jobs that crash each worker that starts them.
const HARMFUL_SHARE: f64 = 0.01;
/// Share of the accepted jobs that are submitted once more, with harsh faults.
const REPEATED_SHARE: f64 = 0.2;
/// Longest time after which an accepted job is submitted once more, in milliseconds.
const REPEATED_AFTER_MS_MAX: u64 = 4_000;
/// A job that a caller has submitted.
#[derive(Clone, Debug)]
pub struct Submission {
    pub id: String,
    pub is_harmful: bool,
    pub outcome: SubmitOutcome,
}

/// Result of submitting a job, as far as its caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    Accepted,
    Refused,
    Unknown,
}

/// Returns a request about a job.
pub fn job_request(method: Method, id: &str, body: impl Into<bytes::Bytes>) -> Request {
    Request::new(method, format!("/q/{id}"), body, Duration::from_secs(3))
        .header(HeaderName::from_static("authorization"), &format!("Bearer {KEY}"))
}

/// Submits jobs until the injection of faults is done.
pub async fn run_caller(
    mut rng: StdRng,
    caller_addresses: Vec<SocketAddr>,
    workers: WorkerStandins,
    is_injection_done: Arc<AtomicBool>,
    submissions: Arc<Mutex<Vec<Submission>>>,
    repeats: bool,
) {
    let client = Client::default();
    while !is_injection_done.load(Ordering::Relaxed) {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..250))).await;
        let id = format!("{:016x}", rng.random::<u64>());
        let unit_counts: Vec<u64> =
            (0..rng.random_range(1..3)).map(|_| rng.random_range(1..4)).collect();
        workers.expect_job(&id, unit_counts.clone());
        let is_harmful = rng.random_bool(HARMFUL_SHARE);
        let work_ms = rng.random_range(20..400).to_string();
        let spec = if is_harmful { HARMFUL_SPEC.to_owned() } else { work_ms };
        let step = |(index, count): (usize, &u64)| {
            let depends_on: Vec<usize> = index.checked_sub(1).into_iter().collect();
            json!({ "count": count, "cpu": UNIT_MILLIS, "memMb": 10, "estimateMs": 200, "dependsOn": depends_on })
        };
        let steps: Vec<serde_json::Value> = unit_counts.iter().enumerate().map(step).collect();
        let body = json!({ "spec": spec, "steps": steps }).to_string();
        let mut outcome = SubmitOutcome::Refused;
        for _ in 0..3 {
            let caller_address = *caller_addresses.choose(&mut rng).expect("there are nodes");
            let sent = client
                .call(caller_address, CallKind::Short, job_request(Method::POST, &id, body.clone()))
                .await;
            let is_known_refused = match sent.map(|response| response.status) {
                Ok(StatusCode::OK) => {
                    outcome = SubmitOutcome::Accepted;
                    break;
                }
                Ok(status) => status != StatusCode::GATEWAY_TIMEOUT,
                Err(CallError::NotSent(_) | CallError::ConnectionRefused) => true,
                Err(CallError::NoResponse { .. }) => false,
            };
            if !is_known_refused {
                outcome = SubmitOutcome::Unknown;
            }
        }
        if repeats && outcome == SubmitOutcome::Accepted && rng.random_bool(REPEATED_SHARE) {
            let address = *caller_addresses.choose(&mut rng).expect("there are nodes");
            let after = Duration::from_millis(rng.random_range(0..REPEATED_AFTER_MS_MAX));
            tokio::spawn(submit_later(client.clone(), address, after, id.clone(), body));
        }
        submissions.lock().unwrap().push(Submission { id, is_harmful, outcome });
    }
}

/// Submits an accepted job once more; it remains one job.
async fn submit_later(
    client: Client,
    address: SocketAddr,
    after: Duration,
    id: String,
    body: String,
) {
    tokio::time::sleep(after).await;
    let _ = client.call(address, CallKind::Short, job_request(Method::POST, &id, body)).await;
}
