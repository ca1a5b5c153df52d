//! Claims of idempotency keys in the platform's table, and the stored responses.
//!
//! A claim is written before its request is dispatched, so that a repeat on any node finds it.
//! Concurrent claims are written in one transaction. Each transaction also writes an index row,
//! whose key contains the time at which the claims may be removed. This bounds the size of the
//! table without ever scanning all of it.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use model::OperationId;
use model::RequestId;
use model::ids::random_id;
use routing::Admission;
use routing::Claim;
use routing::ClaimState;
use serde::Deserialize;
use serde::Serialize;
use services::Committer;
use services::FinalOutcome;
use services::Objects;
use services::Precondition;
use services::Scan;
use services::Table;
use services::Unavailable;
use services::Write;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Key prefix of the claim rows.
const CLAIM_PREFIX: &str = "idem/";
/// Key prefix of the index rows, which sort by the time at which their claims may be removed.
const INDEX_PREFIX: &str = "idem-until/";
/// Name prefix of the stored responses in the object store.
const RESPONSE_PREFIX: &str = "answers/";
/// Maximum number of claims in a transaction.
const BATCH_CLAIMS_MAX: usize = 64;
/// Maximum number of claims that wait to be written; further ones are refused.
const QUEUED_CLAIMS_MAX: usize = 1_024;
/// Maximum number of index rows that a sweep reads.
const SWEEP_INDEX_ROWS_MAX: usize = 16;
/// Time between two attempts to write the final state of a claim.
const FINALIZE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of background attempts to write the final state of a claim. After the last one,
/// the claim stays in its old state until it is swept.
const FINALIZE_ATTEMPTS_MAX: u32 = 60;

/// Result of an attempt to claim a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// This request holds the key and may be dispatched.
    Claimed,
    /// Another request holds the key.
    KeyInUse,
    /// The claim was not written, or that is unknown. The request must not run.
    Unavailable,
}

/// Value of an index row, stored as JSON: row keys and requests of claims that are removed
/// together.
#[derive(Serialize, Deserialize)]
struct ClaimIndex {
    claims: Vec<(String, RequestId)>,
}

struct ClaimRequest {
    row_key: String,
    claim: Claim,
    reply: oneshot::Sender<ClaimResult>,
}

/// Identifies a claim that is to get its final state or to be removed.
struct ClaimRef {
    row_key: String,
    request: RequestId,
}

impl ClaimRequest {
    fn claim_ref(&self) -> ClaimRef {
        ClaimRef { row_key: self.row_key.clone(), request: self.claim.request.clone() }
    }
}

/// Writes and reads claims and stored responses for one node.
pub struct Claims {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    committer: Committer,
    requests: mpsc::Sender<ClaimRequest>,
    timeout: Duration,
    retention: Duration,
}

impl Claims {
    /// Starts the task that writes claims. It stops when the last reference is dropped.
    pub fn start(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        timeout: Duration,
        retention: Duration,
    ) -> Arc<Self> {
        let (requests, receiver) = mpsc::channel(QUEUED_CLAIMS_MAX);
        let committer = Committer::default();
        let claims = Arc::new(Self { table, objects, committer, requests, timeout, retention });
        let weak = Arc::downgrade(&claims);
        tokio::spawn(async move {
            let mut receiver = receiver;
            while let Some(batch) = next_batch(&mut receiver).await {
                let Some(claims) = weak.upgrade() else { break };
                claims.write_batch(batch).await;
            }
        });
        claims
    }

    /// Reads the claim in a row; `None` if the key is free.
    pub async fn read(&self, row_key: &str) -> Result<Option<Claim>, Unavailable> {
        let Some(row) = self.table.get(row_key).await? else {
            return Ok(None);
        };
        serde_json::from_slice(&row.value).map(Some).map_err(Unavailable::new)
    }

    /// Claims a key for a request that has not been dispatched.
    pub async fn claim(&self, row_key: &str, claim: &Claim) -> ClaimResult {
        let (reply, result) = oneshot::channel();
        let request = ClaimRequest { row_key: row_key.to_owned(), claim: claim.clone(), reply };
        if self.requests.try_send(request).is_err() {
            return ClaimResult::Unavailable;
        }
        result.await.unwrap_or(ClaimResult::Unavailable)
    }

    /// Writes the final state of a claim. Retries in the background if the table is unavailable.
    pub async fn finalize(self: &Arc<Self>, row_key: &str, claim: Claim) {
        let claim_ref = ClaimRef { row_key: row_key.to_owned(), request: claim.request.clone() };
        if !self.try_finalize(&claim_ref, Some(&claim)).await {
            self.finalize_in_background(claim_ref, Some(claim));
        }
    }

    /// Releases in the background a key whose request did not run.
    pub fn release(self: &Arc<Self>, row_key: String, request: RequestId) {
        self.finalize_in_background(ClaimRef { row_key, request }, None);
    }

    /// Stores a response for repeats; returns false if that failed.
    pub async fn store_response(&self, request: &RequestId, response: Bytes) -> bool {
        let name = response_name(request);
        let stored = self.objects.put(&name, response);
        matches!(tokio::time::timeout(self.timeout, stored).await, Ok(Ok(())))
    }

    /// Reads a stored response.
    pub async fn stored_response(&self, request: &RequestId) -> Result<Option<Bytes>, Unavailable> {
        self.objects.get(&response_name(request)).await
    }

    /// Removes claims whose retention has expired, and their stored responses, the oldest first.
    /// Continues behind index rows that cannot be read, which stay in the table.
    pub async fn sweep(&self, now: SystemTime) {
        let now_key = index_key(unix_ms(now), "");
        let mut after = None;
        loop {
            let prefix = INDEX_PREFIX.to_owned();
            let scan = Scan { prefix, after, rows_max: SWEEP_INDEX_ROWS_MAX };
            let Ok(rows) = self.table.scan(scan).await else {
                return;
            };
            let is_full = rows.len() == SWEEP_INDEX_ROWS_MAX;
            let expired = rows.into_iter().filter(|row| row.key < now_key);
            let mut readable = 0;
            after = None;
            for row in expired {
                if let Ok(index) = serde_json::from_slice::<ClaimIndex>(&row.value) {
                    readable += 1;
                    self.remove(&row, &index).await;
                }
                after = Some(row.key);
            }
            if !is_full || readable > 0 || after.is_none() {
                return;
            }
        }
    }

    async fn remove(&self, index_row: &services::Row, index: &ClaimIndex) {
        let mut preconditions = vec![Precondition::unchanged(&*index_row.key, Some(index_row))];
        let mut writes = vec![Write::Delete { key: index_row.key.clone() }];
        for (row_key, request) in &index.claims {
            let Ok(row) = self.table.get(row_key).await else {
                return;
            };
            // The key may have been released and claimed by another request in the meantime.
            let Some(row) = row.filter(|row| claim_holder(row).as_ref() == Some(request)) else {
                continue;
            };
            preconditions.push(Precondition::unchanged(row_key, Some(&row)));
            writes.push(Write::Delete { key: row_key.clone() });
        }
        let removed = self.committer.commit(&*self.table, preconditions, writes, self.timeout);
        if removed.await != FinalOutcome::Committed {
            return;
        }
        for (_, request) in &index.claims {
            // A response that is not deleted only takes up space.
            let _ = self.objects.delete(&response_name(request)).await;
        }
    }

    async fn write_batch(self: &Arc<Self>, mut batch: Vec<ClaimRequest>) {
        while !batch.is_empty() {
            let (preconditions, writes) = self.transaction(&batch);
            let committed =
                self.committer.commit(&*self.table, preconditions, writes, self.timeout).await;
            match committed {
                FinalOutcome::Committed => return reply_all(batch, ClaimResult::Claimed),
                FinalOutcome::Conflict { key } => {
                    let conflicting = batch.iter().position(|request| request.row_key == key);
                    let Some(index) = conflicting else {
                        return reply_all(batch, ClaimResult::Unavailable);
                    };
                    reply_all(vec![batch.swap_remove(index)], ClaimResult::KeyInUse);
                }
                FinalOutcome::Refused { .. } => return reply_all(batch, ClaimResult::Unavailable),
                FinalOutcome::Unknown { operation_id } => {
                    self.undo_in_background(
                        operation_id,
                        batch.iter().map(ClaimRequest::claim_ref).collect(),
                    );
                    return reply_all(batch, ClaimResult::Unavailable);
                }
            }
        }
    }

    fn transaction(&self, batch: &[ClaimRequest]) -> (Vec<Precondition>, Vec<Write>) {
        let until_ms = unix_ms(SystemTime::now() + self.retention);
        let claims =
            batch.iter().map(|request| (request.row_key.clone(), request.claim.request.clone()));
        let index = ClaimIndex { claims: claims.collect() };
        let mut writes = vec![Write::put_json(index_key(until_ms, &random_id()), &index)];
        writes
            .extend(batch.iter().map(|request| Write::put_json(&request.row_key, &request.claim)));
        let absent = |request: &ClaimRequest| Precondition::Absent { key: request.row_key.clone() };
        (batch.iter().map(absent).collect(), writes)
    }

    /// Replaces a claim, or removes it if `claim` is `None`. Returns true if nothing remains to be
    /// done.
    async fn try_finalize(&self, claim_ref: &ClaimRef, claim: Option<&Claim>) -> bool {
        let Ok(row) = self.table.get(&claim_ref.row_key).await else {
            return false;
        };
        // The claim may have been swept, and the key claimed by another request in the meantime.
        let Some(row) = row.filter(|row| claim_holder(row).as_ref() == Some(&claim_ref.request))
        else {
            return true;
        };
        let write = match claim {
            Some(claim) => Write::put_json(&claim_ref.row_key, claim),
            None => Write::Delete { key: claim_ref.row_key.clone() },
        };
        let unchanged = vec![Precondition::unchanged(&claim_ref.row_key, Some(&row))];
        let committed = self.committer.commit(&*self.table, unchanged, vec![write], self.timeout);
        committed.await == FinalOutcome::Committed
    }

    fn finalize_in_background(self: &Arc<Self>, claim_ref: ClaimRef, claim: Option<Claim>) {
        let claims = self.clone();
        tokio::spawn(async move {
            for _ in 0..FINALIZE_ATTEMPTS_MAX {
                if claims.try_finalize(&claim_ref, claim.as_ref()).await {
                    return;
                }
                tokio::time::sleep(FINALIZE_RETRY_DELAY).await;
            }
        });
    }

    /// Undoes a write of claims whose outcome is unknown. Resolves the outcome, and removes the
    /// claims unless the write has certainly failed. None of their requests has run.
    fn undo_in_background(self: &Arc<Self>, operation_id: OperationId, claim_refs: Vec<ClaimRef>) {
        let claims = self.clone();
        tokio::spawn(async move {
            for _ in 0..FINALIZE_ATTEMPTS_MAX {
                match claims.committer.resolve(&*claims.table, &operation_id).await {
                    Some(true) => break,
                    Some(false) => return,
                    None => tokio::time::sleep(FINALIZE_RETRY_DELAY).await,
                }
            }
            for claim_ref in claim_refs {
                claims.finalize_in_background(claim_ref, None);
            }
        });
    }
}

/// Returns the key of the row that holds the claim of an idempotency key. Keys of different teams
/// or queues are independent.
pub fn claim_row_key(admission: &Admission, idempotency_key: &[u8]) -> String {
    let hash = blake3::hash(idempotency_key).to_hex();
    format!("{CLAIM_PREFIX}{}/{}/{hash}", admission.team, admission.queue)
}

/// Returns the digest that distinguishes a repeat from a different request with the same key.
pub fn request_digest(method: &http::Method, target: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Creates the claim of a request that is about to be dispatched. After `response_within`, the
/// claim counts as unknown if it has no final state.
pub fn running_claim(request: RequestId, digest: String, response_within: Duration) -> Claim {
    let response_due_ms = unix_ms(SystemTime::now() + response_within);
    Claim { request, digest, response_due_ms, state: ClaimState::Running }
}

/// Returns the milliseconds since the Unix epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

async fn next_batch(receiver: &mut mpsc::Receiver<ClaimRequest>) -> Option<Vec<ClaimRequest>> {
    let mut batch: Vec<ClaimRequest> = vec![receiver.recv().await?];
    while batch.len() < BATCH_CLAIMS_MAX {
        let Ok(request) = receiver.try_recv() else { break };
        if batch.iter().any(|other| other.row_key == request.row_key) {
            reply_all(vec![request], ClaimResult::KeyInUse);
            continue;
        }
        batch.push(request);
    }
    Some(batch)
}

fn reply_all(batch: Vec<ClaimRequest>, result: ClaimResult) {
    for request in batch {
        // Fails only if the request is no longer waiting for the reply.
        let _ = request.reply.send(result);
    }
}

fn claim_holder(row: &services::Row) -> Option<RequestId> {
    Some(serde_json::from_slice::<Claim>(&row.value).ok()?.request)
}

fn index_key(until_ms: u64, id: &str) -> String {
    format!("{INDEX_PREFIX}{until_ms:015}/{id}")
}

fn response_name(request: &RequestId) -> String {
    format!("{RESPONSE_PREFIX}{request}")
}
