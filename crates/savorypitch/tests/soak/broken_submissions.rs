//! Submissions whose connections break while their jobs are being stored.

use std::time::Duration;

use crate::proxy::Fault;
use crate::proxy::Proxy;
use crate::table::TableFault;
use crate::table::TableStandin;

/// Time for which the table is slow before callers' connections break, and before it refuses calls.
const SLOW_TIME: Duration = Duration::from_millis(400);
/// Time during which callers' connections break.
const RESET_TIME: Duration = Duration::from_millis(80);
/// Breaks the connections of callers while their jobs are being stored, so that they submit them again
/// through other nodes, and lets the table refuse the transactions that follow.
pub async fn break_submissions(table: TableStandin, link: Proxy) {
    table.set_fault(TableFault::Slow);
    tokio::time::sleep(SLOW_TIME).await;
    link.set_fault(Fault::Reset);
    tokio::time::sleep(RESET_TIME).await;
    link.set_fault(Fault::None);
    tokio::time::sleep(SLOW_TIME - RESET_TIME).await;
    table.set_fault(TableFault::Unavailable);
}
