//! `status`: shows the state of a node.

use node::api;

use crate::client::Client;
use crate::failure::Failure;
use crate::output::print_json;
use crate::output::print_line;

/// Prints the state of the node, of the cluster members it knows, and its metrics.
pub fn run(client: &Client, json: bool) -> Result<(), Failure> {
    let status: api::StatusView = client.get("/status")?;
    if json {
        print_json(&status);
        return Ok(());
    }
    print_line(format_args!("node {} in {}", status.node, status.zone));
    print_line(format_args!("configuration {}", status.config_version));
    print_line(format_args!("takes new work: {}", if status.is_admitting { "yes" } else { "no" }));
    for member in status.members {
        let state = if member.is_alive { "alive" } else { "silent" };
        print_line(format_args!(
            "member {} in {}: {state}, incarnation {}, configuration {}, callers {}, operators {}",
            member.node,
            member.zone,
            member.incarnation,
            member.config_version,
            member.caller_address,
            member.admin_address
        ));
    }
    for (name, value) in status.metrics {
        print_line(format_args!("{name} {value}"));
    }
    Ok(())
}
