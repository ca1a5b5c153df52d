//! Reads the layout of the shards, or stores it if there is none yet.

use std::time::Duration;

use rand::RngExt;
use scheduler::HostName;
use scheduler::ShardIndex;

use crate::ports::Platform;
use crate::ports::ReadError;
use crate::ports::Table;
use crate::ports::Transaction;
use crate::ports::WriteOutcome;
use crate::rows;
use crate::rows::LAYOUT_KEY;
use crate::rows::OWNER_KEY;
use crate::sharding::Layout;
use crate::sharding::LayoutRow;
use crate::shared::NodeState;

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Upper end of the random delay before a node lists the hosts to store a layout. The first node that
/// does so should be done before the others begin.
const STORE_DELAY_MAX_MS: u64 = 400;
/// Maximum number of times that the upper end doubles. Each listing takes several calls, and when
/// hundreds of nodes make them at once, the platform's rate limit refuses some of each listing.
const DELAY_DOUBLINGS_MAX: u32 = 4;
/// Maximum number of hosts in one row; below the platform's limit on the size of a row.
const HOSTS_PER_ROW: usize = 1_000;
/// Shard whose part of the store holds the layout.
const LAYOUT_SHARD: ShardIndex = 0;

/// Reads the layout, or stores one; retries until one of them succeeds.
pub(crate) async fn read_or_store<P: Platform>(node: &NodeState<P>) -> Layout {
    let mut doublings = 0;
    loop {
        let delay_max_ms = STORE_DELAY_MAX_MS << doublings;
        match try_read_or_store(node, delay_max_ms).await {
            Ok(Some(layout)) => {
                telemetry::log::line("layout-known")
                    .field("shards", layout.shard_count)
                    .field("hosts", layout.hosts.len())
                    .write();
                return layout;
            }
            Ok(None) => {}
            Err(error) => {
                telemetry::log::line("layout-not-known").text("why", error).write();
            }
        }
        tokio::time::sleep(RETRY_PAUSE).await;
        doublings = (doublings + 1).min(DELAY_DOUBLINGS_MAX);
    }
}

/// Returns none if another node has stored a layout meanwhile, or if a write had no effect.
async fn try_read_or_store<P: Platform>(
    node: &NodeState<P>,
    delay_max_ms: u64,
) -> Result<Option<Layout>, ReadError> {
    if let Some(layout) = read(node).await? {
        return Ok(Some(layout));
    }
    // Rows of a version without shards are those of a single one.
    if node.platform.get(LAYOUT_SHARD, Table::Owner, OWNER_KEY).await?.is_some() {
        return store(node, Layout::single()).await;
    }
    let delay_ms = rand::rng().random_range(0..delay_max_ms);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    if let Some(layout) = read(node).await? {
        return Ok(Some(layout));
    }
    let hosts = node.platform.list_hosts().await?;
    store(node, Layout::new(&hosts, node.settings.hosts_per_shard)).await
}

async fn read<P: Platform>(node: &NodeState<P>) -> Result<Option<Layout>, ReadError> {
    let Some(found) = node.platform.get(LAYOUT_SHARD, Table::Owner, LAYOUT_KEY).await? else {
        return Ok(None);
    };
    let malformed = |error: rows::RowError| ReadError::Malformed(error.to_string());
    let row: LayoutRow = rows::decode(&found.key, &found.value).map_err(malformed)?;
    let mut layout = Layout { shard_count: row.shard_count.max(1), ..Layout::default() };
    for number in 0..row.host_rows {
        let key = rows::layout_hosts_key(number);
        let found = node.platform.get(LAYOUT_SHARD, Table::Owner, &key).await?;
        let found = found.ok_or_else(|| ReadError::Malformed(format!("row {key} is missing")))?;
        let hosts: Vec<(HostName, ShardIndex)> =
            rows::decode(&found.key, &found.value).map_err(malformed)?;
        for (host, shard) in hosts {
            if usize::from(shard) < layout.shard_count {
                layout.hosts.insert(host, shard);
            }
        }
    }
    Ok(Some(layout))
}

async fn store<P: Platform>(
    node: &NodeState<P>,
    layout: Layout,
) -> Result<Option<Layout>, ReadError> {
    let hosts: Vec<(&HostName, &ShardIndex)> = layout.hosts.iter().collect();
    let chunks: Vec<&[(&HostName, &ShardIndex)]> = hosts.chunks(HOSTS_PER_ROW).collect();
    let row = LayoutRow { shard_count: layout.shard_count, host_rows: chunks.len() };
    let mut puts = vec![(Table::Owner, LAYOUT_KEY.to_owned(), rows::encode(&row))];
    puts.extend(chunks.iter().enumerate().map(|(number, hosts)| {
        (Table::Owner, rows::layout_hosts_key(number), rows::encode(hosts))
    }));
    let transaction = Transaction {
        shard: LAYOUT_SHARD,
        preconditions: vec![(Table::Owner, LAYOUT_KEY.to_owned(), 0)],
        puts,
        removals: Vec::new(),
    };
    match node.platform.write(transaction).await {
        WriteOutcome::Committed(_) => Ok(Some(layout)),
        WriteOutcome::Conflict(_) | WriteOutcome::Unknown(_) => Ok(None),
        WriteOutcome::Refused(why) | WriteOutcome::Rejected(why) => Err(ReadError::Refused(why)),
    }
}
