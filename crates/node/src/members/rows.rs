//! Reads and writes of the member rows.
//!
//! | row | value |
//! |---|---|
//! | `member/node/{node}` | [`MemberRow`] |
//! | `member/list` | [`MemberList`] |

use std::sync::Arc;
use std::time::Duration;

use membership::MemberList;
use membership::MemberRow;
use membership::TableView;
use model::Incarnation;
use model::NodeId;
use serde::de::DeserializeOwned;
use services::Committer;
use services::FinalOutcome;
use services::Precondition;
use services::Row;
use services::Scan;
use services::Table;
use services::Unavailable;
use services::Write;

/// Prefix of all rows of the membership.
const PREFIX: &str = "member/";
/// Key of the member list.
const LIST_KEY: &str = "member/list";
/// Time that a write may take to settle.
const PATIENCE: Duration = Duration::from_secs(3);

/// The member rows in the table.
#[derive(Clone)]
pub struct Rows {
    table: Arc<dyn Table>,
    committer: Arc<Committer>,
}

impl Rows {
    /// Rows of `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table, committer: Arc::default() }
    }

    /// Number of a new run of `node`; from the wall clock alone if the table does not answer.
    pub async fn next_incarnation(&self, node: &str, wall_ms: u64) -> Incarnation {
        match self.table.get(&key(node)).await.and_then(decode_option::<MemberRow>) {
            Ok(Some(row)) => row.next_incarnation(wall_ms),
            Ok(None) | Err(_) => wall_ms,
        }
    }

    /// Reads the row of one node.
    pub async fn read_own(&self, node: &str) -> Result<TableView, Unavailable> {
        let row = decode_option(self.table.get(&key(node)).await?)?;
        Ok(TableView { rows: row.into_iter().collect(), list: None, is_complete: false })
    }

    /// Reads all rows, as of one moment.
    pub async fn read_all(&self) -> Result<TableView, Unavailable> {
        let mut view = TableView { rows: Vec::new(), list: None, is_complete: true };
        for row in self.table.scan(Scan::prefix(PREFIX)).await? {
            if row.key == LIST_KEY {
                view.list = Some(decode(&row)?);
            } else {
                view.rows.push(decode(&row)?);
            }
        }
        Ok(view)
    }

    /// Registers a run; earlier runs of the node are marked.
    pub async fn register(&self, own: MemberRow) -> bool {
        self.change(&own.node.clone(), |held| match held {
            Some(held) if held.incarnation >= own.incarnation => None,
            Some(held) => {
                let mut row = held.with_incarnation(own.incarnation);
                row.zone = own.zone.clone();
                row.caller_address = own.caller_address;
                row.admin_address = own.admin_address;
                row.peer_address = own.peer_address;
                Some(row)
            }
            None => Some(own.clone()),
        })
        .await
    }

    /// Marks runs as gone.
    pub async fn mark(&self, node: &str, incarnation: Incarnation) -> bool {
        let is_new = |row: &MemberRow| row.evicted_up_to < incarnation;
        self.change(node, |held| held.filter(is_new).map(|row| row.with_eviction(incarnation)))
            .await
    }

    /// Writes that what runs held may be taken.
    pub async fn take(&self, node: &str, incarnation: Incarnation) -> bool {
        let is_new = |row: &MemberRow| row.takeover_up_to < incarnation;
        self.change(node, |held| held.filter(is_new).map(|row| row.with_takeover(incarnation)))
            .await
    }

    /// Replaces the member list, if it is still the one before.
    pub async fn put_list(&self, list: &MemberList) -> bool {
        let Ok(row) = self.table.get(LIST_KEY).await else {
            return false;
        };
        let held: Option<MemberList> = match decode_option(row.clone()) {
            Ok(held) => held,
            Err(_) => return false,
        };
        let is_next = match &held {
            Some(held) => held.version + 1 == list.version,
            None => list.version == membership::list::FIRST_VERSION,
        };
        is_next && self.write(LIST_KEY, row.as_ref(), Write::put_json(LIST_KEY, list)).await
    }

    async fn change(
        &self,
        node: &str,
        decide: impl FnOnce(Option<MemberRow>) -> Option<MemberRow>,
    ) -> bool {
        let key = key(node);
        let Ok(row) = self.table.get(&key).await else {
            return false;
        };
        let Ok(held) = decode_option(row.clone()) else {
            return false;
        };
        let Some(next) = decide(held) else {
            return false;
        };
        self.write(&key, row.as_ref(), Write::put_json(&key, &next)).await
    }

    async fn write(&self, key: &str, held: Option<&Row>, write: Write) -> bool {
        let unchanged = Precondition::unchanged(key, held);
        let settled = self.committer.commit(&*self.table, vec![unchanged], vec![write], PATIENCE);
        settled.await == FinalOutcome::Committed
    }
}

fn key(node: &str) -> String {
    format!("{PREFIX}node/{node}")
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Unavailable> {
    serde_json::from_slice(&row.value).map_err(Unavailable::new)
}

fn decode_option<T: DeserializeOwned>(row: Option<Row>) -> Result<Option<T>, Unavailable> {
    row.as_ref().map(decode).transpose()
}

/// Row of a run that is not registered yet.
pub fn own_row(own: &membership::MemberView, peer_address: std::net::SocketAddr) -> MemberRow {
    MemberRow {
        node: NodeId::clone(&own.node),
        incarnation: own.incarnation,
        evicted_up_to: 0,
        takeover_up_to: 0,
        zone: own.zone.clone(),
        caller_address: own.caller_address,
        admin_address: own.admin_address,
        peer_address,
    }
}
