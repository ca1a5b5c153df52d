//! Reads and writes the rows of the membership.
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
/// Longest time to wait for the outcome of a write.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Access to the rows of the membership in the table.
#[derive(Clone)]
pub struct MemberRows {
    table: Arc<dyn Table>,
    committer: Arc<Committer>,
}

impl MemberRows {
    /// Returns the access to the rows in `table`.
    pub fn new(table: Arc<dyn Table>) -> Self {
        Self { table, committer: Arc::default() }
    }

    /// Returns the number for the next incarnation of `node`; the wall clock alone decides while
    /// the table is unavailable.
    pub async fn next_incarnation(&self, node: &str, wall_ms: u64) -> Incarnation {
        match self.table.get(&key(node)).await.and_then(decode_option::<MemberRow>) {
            Ok(Some(row)) => row.next_incarnation(wall_ms),
            Ok(None) | Err(_) => wall_ms,
        }
    }

    /// Reads the row of `node` only.
    pub async fn read_own(&self, node: &str) -> Result<TableView, Unavailable> {
        let row = decode_option(self.table.get(&key(node)).await?)?;
        Ok(TableView { rows: row.into_iter().collect(), list: None, is_complete: false })
    }

    /// Reads all rows as of one moment.
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

    /// Registers an incarnation, which evicts the earlier incarnations of the node. Returns true if
    /// the write was committed.
    pub async fn register(&self, own: MemberRow) -> bool {
        self.change(&own.node.clone(), |stored| match stored {
            Some(stored) if stored.incarnation >= own.incarnation => None,
            Some(stored) => {
                let mut row = stored.with_incarnation(own.incarnation);
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

    /// Evicts the incarnations of `node` up to `incarnation`. Returns true if the write was
    /// committed.
    pub async fn evict(&self, node: &str, incarnation: Incarnation) -> bool {
        let is_new = |row: &MemberRow| row.evicted_up_to < incarnation;
        self.change(node, |stored| stored.filter(is_new).map(|row| row.with_eviction(incarnation)))
            .await
    }

    /// Allows the takeover of the resources of the incarnations of `node` up to `incarnation`.
    /// Returns true if the write was committed.
    pub async fn allow_takeover(&self, node: &str, incarnation: Incarnation) -> bool {
        let is_new = |row: &MemberRow| row.takeover_up_to < incarnation;
        self.change(node, |stored| stored.filter(is_new).map(|row| row.with_takeover(incarnation)))
            .await
    }

    /// Replaces the member list if `list` directly follows the stored one. Returns true if the
    /// write was committed.
    pub async fn put_list(&self, list: &MemberList) -> bool {
        let Ok(row) = self.table.get(LIST_KEY).await else {
            return false;
        };
        let stored: Option<MemberList> = match decode_option(row.clone()) {
            Ok(stored) => stored,
            Err(_) => return false,
        };
        let is_next = match &stored {
            Some(stored) => stored.version + 1 == list.version,
            None => list.version == membership::list::FIRST_VERSION,
        };
        is_next && self.write(LIST_KEY, row.as_ref(), Write::put_json(LIST_KEY, list)).await
    }

    /// Replaces a row by the one that `decide` returns, unless the row changes in the meantime.
    async fn change(
        &self,
        node: &str,
        decide: impl FnOnce(Option<MemberRow>) -> Option<MemberRow>,
    ) -> bool {
        let key = key(node);
        let Ok(row) = self.table.get(&key).await else {
            return false;
        };
        let Ok(stored) = decode_option(row.clone()) else {
            return false;
        };
        let Some(next) = decide(stored) else {
            return false;
        };
        self.write(&key, row.as_ref(), Write::put_json(&key, &next)).await
    }

    async fn write(&self, key: &str, stored: Option<&Row>, write: Write) -> bool {
        let unchanged = Precondition::unchanged(key, stored);
        let outcome =
            self.committer.commit(&*self.table, vec![unchanged], vec![write], SETTLE_TIMEOUT);
        outcome.await == FinalOutcome::Committed
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

/// Returns the first row of a node, for an incarnation that is not registered yet.
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
