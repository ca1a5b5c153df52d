//! Stand-in for the platform's table, object store and host list over HTTP, with faults that a
//! test can set.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use model::OperationId;
use serde::Deserialize;
use serde::Serialize;
use services::CommitOutcome;
use services::Fleet;
use services::FleetHost;
use services::MemoryObjects;
use services::MemoryTable;
use services::Objects;
use services::RebootState;
use services::Row;
use services::Scan;
use services::Table;
use services::Transaction;
use tokio::net::TcpListener;

use crate::fleet::FleetFaults;
use crate::fleet::StandinFleet;

/// Faults of the platform; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Every call fails with status 503.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming transactions that are applied but whose replies are lost.
    #[serde(rename = "lose_answers")]
    pub lose_replies: u32,
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions, whatever their outcome.
    pub table_writes: u64,
}

/// In-memory services of the platform.
#[derive(Default)]
pub struct StandinPlatform {
    /// Table that nodes read and write.
    pub table: MemoryTable,
    /// Object store that nodes read and write.
    pub objects: MemoryObjects,
    /// Host list and reboots.
    pub fleet: StandinFleet,
    /// Active faults.
    pub faults: Mutex<PlatformFaults>,
    calls: Mutex<CallCounts>,
}

impl StandinPlatform {
    /// Returns the number of calls since the start.
    pub fn calls(&self) -> CallCounts {
        *self.calls.lock().expect("lock is never poisoned")
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.faults.lock().expect("lock is never poisoned") = faults;
    }

    fn current_faults(&self) -> PlatformFaults {
        *self.faults.lock().expect("lock is never poisoned")
    }

    fn update_counts(&self, update: impl FnOnce(&mut CallCounts)) {
        update(&mut self.calls.lock().expect("lock is never poisoned"));
    }

    /// Returns whether the next reply is to be lost, and counts it.
    fn consume_lost_reply(&self) -> bool {
        let mut faults = self.faults.lock().expect("lock is never poisoned");
        if faults.lose_replies == 0 {
            return false;
        }
        faults.lose_replies -= 1;
        true
    }
}

/// Serves `platform` on `address`; returns the bound address and the server task.
pub async fn serve(
    platform: Arc<StandinPlatform>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = router(platform);
    let task = tokio::spawn(async move {
        // Runs until the process or the test ends.
        let _ = axum::serve(listener, router).await;
    });
    Ok((address, task))
}

fn router(platform: Arc<StandinPlatform>) -> Router {
    Router::new()
        .route("/table/get", post(table_get))
        .route("/table/scan", post(table_scan))
        .route("/table/commit", post(table_commit))
        .route("/objects", get(list_objects))
        .route("/objects/{*name}", put(put_object).get(get_object).delete(delete_object))
        .route("/hosts", get(get_hosts).put(set_hosts))
        .route("/hosts/{id}/reboot", post(reboot))
        .layer(axum::middleware::from_fn_with_state(platform.clone(), inject_faults))
        .route("/standin/faults", put(set_faults))
        .route("/standin/fleet-faults", put(set_fleet_faults))
        .route("/standin/calls", get(get_calls))
        .with_state(platform)
}

type Shared = State<Arc<StandinPlatform>>;

async fn inject_faults(State(platform): Shared, request: Request, next: Next) -> Response {
    let faults = platform.current_faults();
    if faults.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    next.run(request).await
}

async fn table_get(State(platform): Shared, Json(key): Json<String>) -> Json<Option<Row>> {
    platform.update_counts(|calls| calls.table_reads += 1);
    Json(platform.table.get(&key).await.expect("memory is always available"))
}

async fn table_scan(State(platform): Shared, Json(scan): Json<Scan>) -> Json<Vec<Row>> {
    platform.update_counts(|calls| calls.table_reads += 1);
    Json(platform.table.scan(scan).await.expect("memory is always available"))
}

async fn table_commit(
    State(platform): Shared,
    Json(transaction): Json<Transaction>,
) -> Result<Json<CommitOutcome>, StatusCode> {
    platform.update_counts(|calls| calls.table_writes += 1);
    let outcome = platform.table.commit(&transaction).await;
    if platform.consume_lost_reply() {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(outcome))
}

#[derive(Deserialize)]
struct ListQuery {
    prefix: String,
}

async fn list_objects(
    State(platform): Shared,
    Query(query): Query<ListQuery>,
) -> Json<Vec<String>> {
    Json(platform.objects.list(&query.prefix).await.expect("memory is always available"))
}

async fn put_object(State(platform): Shared, Path(name): Path<String>, body: Bytes) {
    platform.objects.put(&name, body).await.expect("memory is always available");
}

async fn get_object(
    State(platform): Shared,
    Path(name): Path<String>,
) -> Result<Bytes, StatusCode> {
    let object = platform.objects.get(&name).await.expect("memory is always available");
    object.ok_or(StatusCode::NOT_FOUND)
}

async fn delete_object(State(platform): Shared, Path(name): Path<String>) {
    platform.objects.delete(&name).await.expect("memory is always available");
}

async fn get_hosts(State(platform): Shared) -> Json<Vec<FleetHost>> {
    Json(platform.fleet.hosts().await.expect("memory is always available"))
}

async fn set_hosts(State(platform): Shared, Json(hosts): Json<Vec<FleetHost>>) {
    platform.fleet.set_hosts(hosts);
}

async fn reboot(
    State(platform): Shared,
    Path(id): Path<String>,
    Json(operation_id): Json<OperationId>,
) -> Result<Json<RebootState>, StatusCode> {
    let reboot_state = platform.fleet.reboot(&id, &operation_id).await;
    reboot_state.map(Json).map_err(|_| StatusCode::GATEWAY_TIMEOUT)
}

async fn set_faults(State(platform): Shared, Json(faults): Json<PlatformFaults>) {
    platform.set_faults(faults);
}

async fn set_fleet_faults(State(platform): Shared, Json(faults): Json<FleetFaults>) {
    platform.fleet.set_faults(faults);
}

async fn get_calls(State(platform): Shared) -> Json<CallCounts> {
    Json(platform.calls())
}
