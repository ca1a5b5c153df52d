//! The platform's table, object store and host list over HTTP, with faults that a test can set.

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

/// Faults of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Nothing answers.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Commits take effect and their answers are lost, this many times.
    #[serde(rename = "lose_answers")]
    pub lose_replies: u32,
}

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads and scans of the table.
    pub table_reads: u64,
    /// Transactions.
    pub table_writes: u64,
}

/// The platform's services in memory.
#[derive(Default)]
pub struct StandinPlatform {
    /// Table.
    pub table: MemoryTable,
    /// Object store.
    pub objects: MemoryObjects,
    /// Host list.
    pub fleet: StandinFleet,
    /// Faults in force.
    pub faults: Mutex<PlatformFaults>,
    calls: Mutex<Calls>,
}

impl StandinPlatform {
    /// Calls since the start.
    pub fn calls(&self) -> Calls {
        *self.calls.lock().expect("no holder panics")
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *self.faults.lock().expect("no holder panics") = faults;
    }

    fn faults_now(&self) -> PlatformFaults {
        *self.faults.lock().expect("no holder panics")
    }

    fn count(&self, add: impl FnOnce(&mut Calls)) {
        add(&mut self.calls.lock().expect("no holder panics"));
    }

    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.lock().expect("no holder panics");
        if faults.lose_replies == 0 {
            return false;
        }
        faults.lose_replies -= 1;
        true
    }
}

/// Serves the platform on `address`; returns the address and the task.
pub async fn serve(
    platform: Arc<StandinPlatform>,
    address: SocketAddr,
) -> io::Result<(SocketAddr, tokio::task::JoinHandle<()>)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let router = router(platform);
    let task = tokio::spawn(async move {
        // Serves until the process or the test ends.
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
        .route("/hosts", get(hosts).put(set_hosts))
        .route("/hosts/{id}/reboot", post(reboot))
        .layer(axum::middleware::from_fn_with_state(platform.clone(), fail))
        .route("/standin/faults", put(set_faults))
        .route("/standin/fleet-faults", put(set_fleet_faults))
        .route("/standin/calls", get(calls))
        .with_state(platform)
}

type Shared = State<Arc<StandinPlatform>>;

async fn fail(State(platform): Shared, request: Request, next: Next) -> Response {
    let faults = platform.faults_now();
    if faults.is_down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
    next.run(request).await
}

async fn table_get(State(platform): Shared, Json(key): Json<String>) -> Json<Option<Row>> {
    platform.count(|calls| calls.table_reads += 1);
    Json(platform.table.get(&key).await.expect("memory answers"))
}

async fn table_scan(State(platform): Shared, Json(scan): Json<Scan>) -> Json<Vec<Row>> {
    platform.count(|calls| calls.table_reads += 1);
    Json(platform.table.scan(scan).await.expect("memory answers"))
}

async fn table_commit(
    State(platform): Shared,
    Json(transaction): Json<Transaction>,
) -> Result<Json<CommitOutcome>, StatusCode> {
    platform.count(|calls| calls.table_writes += 1);
    let outcome = platform.table.commit(&transaction).await;
    if platform.loses_answer() {
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(outcome))
}

#[derive(Deserialize)]
struct Listing {
    prefix: String,
}

async fn list_objects(
    State(platform): Shared,
    Query(listing): Query<Listing>,
) -> Json<Vec<String>> {
    Json(platform.objects.list(&listing.prefix).await.expect("memory answers"))
}

async fn put_object(State(platform): Shared, Path(name): Path<String>, body: Bytes) {
    platform.objects.put(&name, body).await.expect("memory answers");
}

async fn get_object(
    State(platform): Shared,
    Path(name): Path<String>,
) -> Result<Bytes, StatusCode> {
    let object = platform.objects.get(&name).await.expect("memory answers");
    object.ok_or(StatusCode::NOT_FOUND)
}

async fn delete_object(State(platform): Shared, Path(name): Path<String>) {
    platform.objects.delete(&name).await.expect("memory answers");
}

async fn hosts(State(platform): Shared) -> Json<Vec<FleetHost>> {
    Json(platform.fleet.hosts().await.expect("memory answers"))
}

async fn set_hosts(State(platform): Shared, Json(hosts): Json<Vec<FleetHost>>) {
    platform.fleet.set_hosts(hosts);
}

async fn reboot(
    State(platform): Shared,
    Path(id): Path<String>,
    Json(operation): Json<OperationId>,
) -> Result<Json<RebootState>, StatusCode> {
    let answer = platform.fleet.reboot(&id, &operation).await;
    answer.map(Json).map_err(|_| StatusCode::GATEWAY_TIMEOUT)
}

async fn set_faults(State(platform): Shared, Json(faults): Json<PlatformFaults>) {
    platform.set_faults(faults);
}

async fn set_fleet_faults(State(platform): Shared, Json(faults): Json<FleetFaults>) {
    platform.fleet.set_faults(faults);
}

async fn calls(State(platform): Shared) -> Json<Calls> {
    Json(platform.calls())
}
