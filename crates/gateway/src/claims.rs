//! Claims of idempotency keys in the platform's table, and the kept first answers.
//!
//! A claim is written before its request is dispatched, so a repeat on any node finds it. Claims that
//! come together are written in one transaction. An index row of each transaction says when its
//! claims may be removed, so that the table stays bounded without ever being scanned as a whole.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use model::OperationId;
use model::RequestId;
use model::ids::random_id;
use routing::Admitted;
use routing::Claim;
use routing::ClaimState;
use serde::Deserialize;
use serde::Serialize;
use services::Committer;
use services::Objects;
use services::Precondition;
use services::Scan;
use services::Settled;
use services::Table;
use services::Unavailable;
use services::Write;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// Prefix of claims.
const CLAIM_PREFIX: &str = "idem/";
/// Prefix of the index rows, which sort by the time when their claims may be removed.
const INDEX_PREFIX: &str = "idem-until/";
/// Prefix of kept answers in the object store.
const ANSWER_PREFIX: &str = "answers/";
/// Claims in one transaction.
const BATCH_MAX: usize = 64;
/// Claims that wait to be written; more are refused.
const WRITE_QUEUE_MAX: usize = 1_024;
/// Index rows that one sweep looks at.
const SWEEP_ROWS_MAX: usize = 16;
/// Time between two tries to settle a claim.
const SETTLE_RETRY: Duration = Duration::from_secs(1);
/// Tries to settle a claim in the background.
const SETTLE_TRIES_MAX: u32 = 60;

/// What became of an attempt to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The key is held by this request.
    Claimed,
    /// Another request has the key.
    Taken,
    /// The table did not say; the request must not run.
    Unavailable,
}

/// Index row: claims that may be removed together.
#[derive(Serialize, Deserialize)]
struct Index {
    claims: Vec<(String, RequestId)>,
}

struct Job {
    row_key: String,
    claim: Claim,
    claimed: oneshot::Sender<ClaimEnd>,
}

/// A claim that comes to its end.
struct End {
    row_key: String,
    request: RequestId,
}

impl Job {
    fn end(&self) -> End {
        End { row_key: self.row_key.clone(), request: self.claim.request.clone() }
    }
}

/// Claims of this node.
pub struct Claims {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    committer: Committer,
    jobs: mpsc::Sender<Job>,
    patience: Duration,
    retention: Duration,
}

impl Claims {
    /// Starts the task that writes claims; it ends with the last reference.
    pub fn start(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        patience: Duration,
        retention: Duration,
    ) -> Arc<Self> {
        let (jobs, queued) = mpsc::channel(WRITE_QUEUE_MAX);
        let committer = Committer::default();
        let claims = Arc::new(Self { table, objects, committer, jobs, patience, retention });
        let weak = Arc::downgrade(&claims);
        tokio::spawn(async move {
            let mut queued = queued;
            while let Some(batch) = next_batch(&mut queued).await {
                let Some(claims) = weak.upgrade() else { break };
                claims.commit(batch).await;
            }
        });
        claims
    }

    /// Reads the claim of a key.
    pub async fn read(&self, row_key: &str) -> Result<Option<Claim>, Unavailable> {
        let Some(row) = self.table.get(row_key).await? else {
            return Ok(None);
        };
        serde_json::from_slice(&row.value).map(Some).map_err(Unavailable::new)
    }

    /// Claims a key for a request that has not been dispatched.
    pub async fn claim(&self, row_key: &str, claim: &Claim) -> ClaimEnd {
        let (claimed, ended) = oneshot::channel();
        let job = Job { row_key: row_key.to_owned(), claim: claim.clone(), claimed };
        if self.jobs.try_send(job).is_err() {
            return ClaimEnd::Unavailable;
        }
        ended.await.unwrap_or(ClaimEnd::Unavailable)
    }

    /// Writes how a claimed request ended; goes on in the background if the table is away.
    pub async fn settle(self: &Arc<Self>, row_key: &str, claim: Claim) {
        let end = End { row_key: row_key.to_owned(), request: claim.request.clone() };
        if !self.write_end(&end, Some(&claim)).await {
            self.write_end_later(end, Some(claim));
        }
    }

    /// Gives a key back whose request has not run.
    pub fn release(self: &Arc<Self>, row_key: String, request: RequestId) {
        self.write_end_later(End { row_key, request }, None);
    }

    /// Keeps an answer for repeats.
    pub async fn keep_answer(&self, request: &RequestId, answer: Bytes) -> bool {
        let name = answer_name(request);
        let kept = self.objects.put(&name, answer);
        matches!(tokio::time::timeout(self.patience, kept).await, Ok(Ok(())))
    }

    /// Reads a kept answer.
    pub async fn kept_answer(&self, request: &RequestId) -> Result<Option<Bytes>, Unavailable> {
        self.objects.get(&answer_name(request)).await
    }

    /// Removes claims whose time is over, the oldest first.
    pub async fn sweep(&self, now: SystemTime) {
        let prefix = INDEX_PREFIX.to_owned();
        let scan = Scan { prefix, after: None, rows_max: SWEEP_ROWS_MAX };
        let Ok(rows) = self.table.scan(scan).await else {
            return;
        };
        let now_key = index_key(unix_ms(now), "");
        for row in rows.into_iter().filter(|row| row.key < now_key) {
            let Ok(index) = serde_json::from_slice::<Index>(&row.value) else {
                continue;
            };
            self.remove(&row, &index).await;
        }
    }

    async fn remove(&self, index_row: &services::Row, index: &Index) {
        let mut preconditions = vec![Precondition::unchanged(&*index_row.key, Some(index_row))];
        let mut writes = vec![Write::Delete { key: index_row.key.clone() }];
        for (row_key, request) in &index.claims {
            let Ok(row) = self.table.get(row_key).await else {
                return;
            };
            // The key may have been given back and claimed again since.
            let Some(row) = row.filter(|row| holder_of(row).as_ref() == Some(request)) else {
                continue;
            };
            preconditions.push(Precondition::unchanged(row_key, Some(&row)));
            writes.push(Write::Delete { key: row_key.clone() });
        }
        let removed = self.committer.commit(&*self.table, preconditions, writes, self.patience);
        if removed.await != Settled::Committed {
            return;
        }
        for (_, request) in &index.claims {
            // An answer that stays behind costs space only.
            let _ = self.objects.delete(&answer_name(request)).await;
        }
    }

    async fn commit(self: &Arc<Self>, mut batch: Vec<Job>) {
        while !batch.is_empty() {
            let (preconditions, writes) = self.transaction(&batch);
            let committed =
                self.committer.commit(&*self.table, preconditions, writes, self.patience).await;
            match committed {
                Settled::Committed => return end_all(batch, ClaimEnd::Claimed),
                Settled::Conflict { key } => {
                    let taken = batch.iter().position(|job| job.row_key == key);
                    let Some(index) = taken else {
                        return end_all(batch, ClaimEnd::Unavailable);
                    };
                    end_all(vec![batch.swap_remove(index)], ClaimEnd::Taken);
                }
                Settled::Refused { .. } => return end_all(batch, ClaimEnd::Unavailable),
                Settled::Unknown { operation_id } => {
                    self.undo_later(operation_id, batch.iter().map(Job::end).collect());
                    return end_all(batch, ClaimEnd::Unavailable);
                }
            }
        }
    }

    fn transaction(&self, batch: &[Job]) -> (Vec<Precondition>, Vec<Write>) {
        let until_ms = unix_ms(SystemTime::now() + self.retention);
        let claims = batch.iter().map(|job| (job.row_key.clone(), job.claim.request.clone()));
        let index = Index { claims: claims.collect() };
        let mut writes = vec![Write::put_json(index_key(until_ms, &random_id()), &index)];
        writes.extend(batch.iter().map(|job| Write::put_json(&job.row_key, &job.claim)));
        let absent = |job: &Job| Precondition::Absent { key: job.row_key.clone() };
        (batch.iter().map(absent).collect(), writes)
    }

    /// Replaces or removes a claim; true once nothing is left to do.
    async fn write_end(&self, end: &End, claim: Option<&Claim>) -> bool {
        let Ok(row) = self.table.get(&end.row_key).await else {
            return false;
        };
        // Its time may have been over, and the key claimed by another since.
        let Some(row) = row.filter(|row| holder_of(row).as_ref() == Some(&end.request)) else {
            return true;
        };
        let write = match claim {
            Some(claim) => Write::put_json(&end.row_key, claim),
            None => Write::Delete { key: end.row_key.clone() },
        };
        let unchanged = vec![Precondition::unchanged(&end.row_key, Some(&row))];
        let settled = self.committer.commit(&*self.table, unchanged, vec![write], self.patience);
        settled.await == Settled::Committed
    }

    fn write_end_later(self: &Arc<Self>, end: End, claim: Option<Claim>) {
        let claims = self.clone();
        tokio::spawn(async move {
            for _ in 0..SETTLE_TRIES_MAX {
                if claims.write_end(&end, claim.as_ref()).await {
                    return;
                }
                tokio::time::sleep(SETTLE_RETRY).await;
            }
        });
    }

    /// Settles a write of claims whose answer was lost; none of the requests has run.
    fn undo_later(self: &Arc<Self>, operation_id: OperationId, ends: Vec<End>) {
        let claims = self.clone();
        tokio::spawn(async move {
            for _ in 0..SETTLE_TRIES_MAX {
                match claims.committer.resolve(&*claims.table, &operation_id).await {
                    Some(true) => break,
                    Some(false) => return,
                    None => tokio::time::sleep(SETTLE_RETRY).await,
                }
            }
            for end in ends {
                claims.write_end_later(end, None);
            }
        });
    }
}

/// Key of the claim row of a caller's idempotency key.
pub fn claim_row_key(admitted: &Admitted, idempotency_key: &[u8]) -> String {
    let hash = blake3::hash(idempotency_key).to_hex();
    format!("{CLAIM_PREFIX}{}/{}/{hash}", admitted.team, admitted.queue)
}

/// Digest by which a repeat is told from another request.
pub fn request_digest(method: &http::Method, target: &str, body: &[u8]) -> String {
    let mut hasher = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), target.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}

/// Claim of a request that is about to be dispatched.
pub fn running_claim(request: RequestId, digest: String, answer_within: Duration) -> Claim {
    let response_due_ms = unix_ms(SystemTime::now() + answer_within);
    Claim { request, digest, response_due_ms, state: ClaimState::Running }
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

async fn next_batch(queued: &mut mpsc::Receiver<Job>) -> Option<Vec<Job>> {
    let mut batch: Vec<Job> = vec![queued.recv().await?];
    while batch.len() < BATCH_MAX {
        let Ok(job) = queued.try_recv() else { break };
        if batch.iter().any(|other| other.row_key == job.row_key) {
            end_all(vec![job], ClaimEnd::Taken);
            continue;
        }
        batch.push(job);
    }
    Some(batch)
}

fn end_all(batch: Vec<Job>, end: ClaimEnd) {
    for job in batch {
        // A request that has gone needs no answer.
        let _ = job.claimed.send(end);
    }
}

fn holder_of(row: &services::Row) -> Option<RequestId> {
    Some(serde_json::from_slice::<Claim>(&row.value).ok()?.request)
}

fn index_key(until_ms: u64, id: &str) -> String {
    format!("{INDEX_PREFIX}{until_ms:015}/{id}")
}

fn answer_name(request: &RequestId) -> String {
    format!("{ANSWER_PREFIX}{request}")
}
