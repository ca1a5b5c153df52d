//! The platform's store: rows in tables and parts, transactions and a feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde_json::Value;
use serde_json::json;

/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Maximum number of rows in a reply.
const ROWS_MAX: usize = 500;

type RowKey = (String, String, String);

/// Table, part and key of a row, and its value unless the row was removed.
type Change = (u64, RowKey, Option<String>);

#[derive(Default)]
struct Data {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    log: Vec<Change>,
}

/// The store. Clones share their rows.
#[derive(Clone, Default)]
pub struct Store {
    data: Arc<Mutex<Data>>,
    is_down: Arc<AtomicBool>,
}

impl Store {
    /// Serves the store on a free port.
    pub async fn serve(&self) -> SocketAddr {
        let router = Router::new()
            .route("/v1/rows-tx", post(transact))
            .route("/v1/rows-get", get(read))
            .route("/v1/rows-feed", get(feed))
            .with_state(self.clone());
        crate::serve(router).await
    }

    /// While the store is down, it answers all calls with 503, and nothing is done.
    pub fn set_down(&self, is_down: bool) {
        crate::record::line(if is_down { "store: down (503)" } else { "store: up" });
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Writes a row without a part, as operators and executors do. Returns false if the store is
    /// down.
    pub fn put(&self, table: &str, key: &str, value: &Value) -> bool {
        if self.is_down() {
            return false;
        }
        let mut data = self.data.lock().unwrap();
        data.version += 1;
        let row_key = (table.to_owned(), String::new(), key.to_owned());
        data.set(row_key, Some(BASE64_STANDARD.encode(value.to_string())));
        true
    }
}

impl Data {
    fn set(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.log.push((self.version, key, value));
    }

    fn transact(&mut self, body: &Value) -> Response {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
        let row_key =
            |entry: &Value| (text(entry, "table"), text(entry, "part"), text(entry, "key"));
        let (mut found, mut holds) = (Vec::new(), true);
        for entry in list("precondition") {
            let key = row_key(&entry);
            let row = self.rows.get(&key);
            holds &= row.map_or(0, |(_, version)| *version) == entry["ver"].as_u64().unwrap_or(0);
            if let Some((value, version)) = row {
                found.push(row_json(&key, value, *version));
            }
        }
        if !holds {
            return (StatusCode::PRECONDITION_FAILED, Json(json!({ "rows": found })))
                .into_response();
        }
        self.version += 1;
        for entry in list("setKeys") {
            self.set(row_key(&entry), Some(text(&entry, "value")));
        }
        for entry in list("remove") {
            self.set(row_key(&entry), None);
        }
        Json(json!({ "ver": self.version, "nowMs": crate::record::now_ms() })).into_response()
    }
}

fn row_json((table, part, key): &RowKey, value: &str, version: u64) -> Value {
    json!({ "table": table, "part": part, "key": key, "value": value, "ver": version })
}

async fn transact(State(store): State<Store>, Json(body): Json<Value>) -> Response {
    tokio::time::sleep(CALL_TIME).await;
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    store.data.lock().unwrap().transact(&body)
}

type Parameters = Query<BTreeMap<String, String>>;

async fn read(State(store): State<Store>, Query(query): Parameters) -> Response {
    tokio::time::sleep(CALL_TIME).await;
    if store.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, part, from, to) = (field("table"), field("part"), field("from"), field("to"));
    let limit = field("limit").parse().unwrap_or(ROWS_MAX).min(ROWS_MAX);
    let data = store.data.lock().unwrap();
    let first = (table.clone(), part.clone(), from);
    let of_part = data
        .rows
        .range(first..)
        .take_while(|((t, p, key), _)| *t == table && *p == part && (to.is_empty() || *key < to));
    let mut rows: Vec<Value> =
        of_part.take(limit + 1).map(|(key, (value, ver))| row_json(key, value, *ver)).collect();
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    let now_ms = crate::record::now_ms();
    let reply =
        json!({ "rows": rows, "morePages": has_more, "ver": data.version, "nowMs": now_ms });
    Json(reply).into_response()
}

async fn feed(State(store): State<Store>, Query(query): Parameters) -> Response {
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    let (table, after) = (field("table"), field("dependsOn").parse().unwrap_or(0_u64));
    let wait = Duration::from_millis(field("waitMs").parse().unwrap_or(0));
    let until = Instant::now() + wait;
    loop {
        tokio::time::sleep(CALL_TIME).await;
        if store.is_down() {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let (rows, version) = {
            let data = store.data.lock().unwrap();
            let first = data.log.partition_point(|(version, ..)| *version <= after);
            let changes = data.log[first..].iter().filter(|(_, key, _)| key.0 == table);
            let row = |(version, key, value): &Change| {
                let mut row = row_json(key, value.as_deref().unwrap_or_default(), *version);
                if value.is_none() {
                    row["deleted"] = Value::Bool(true);
                }
                row
            };
            (changes.map(row).collect::<Vec<Value>>(), data.version)
        };
        if !rows.is_empty() || Instant::now() >= until {
            let now_ms = crate::record::now_ms();
            return Json(json!({ "rows": rows, "ver": version, "nowMs": now_ms })).into_response();
        }
    }
}
