//! `queue`: lists queues.

use node::api;

use crate::args::QueueCommand;
use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_table;

/// Runs a `queue` command and prints its result.
pub fn run(client: &Client, command: QueueCommand, json: bool) -> Result<(), Failure> {
    let QueueCommand::List = command;
    let queues: Vec<api::QueueView> = client.get("/queues")?;
    if json {
        print_json(&queues);
        return Ok(());
    }
    let rows: Vec<_> = queues
        .into_iter()
        .map(|queue| {
            [
                queue.name.to_string(),
                queue.customer.to_string(),
                queue.service.to_string(),
                queue.access,
            ]
        })
        .collect();
    print_table(["QUEUE", "CUSTOMER", "SERVICE", "ACCESS"], &rows);
    Ok(())
}
