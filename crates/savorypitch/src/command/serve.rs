//! `serve`: runs a node until a signal ends it.

mod peers;

use std::time::Duration;

use gateway::GatewaySettings;
use model::Findings;
use model::Place;
use model::key::hash_key;
use node::Node;
use node::Platform;
use node::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::args::ServeArgs;
use crate::failure::Failure;

/// Shortest operator's key, in bytes.
const OPERATOR_KEY_MIN_BYTES: usize = 16;

/// Runs a node until SIGTERM or SIGINT.
pub fn run(args: &ServeArgs) -> Result<(), Failure> {
    let settings = check(args).map_err(Failure::Findings)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|source| Failure::File { path: "the event loop".to_owned(), source })?;
    runtime.block_on(serve(args, settings))
}

async fn serve(args: &ServeArgs, settings: Settings) -> Result<(), Failure> {
    let platform = match args.platform {
        Some(address) => Platform::remote(address, Duration::from_millis(args.platform_timeout_ms)),
        None => {
            spdlog::warn!("no platform is set: the configuration ends with this process");
            Platform::embedded()
        }
    };
    let name = settings.node.clone();
    let node = Node::start(settings, platform).await?;
    spdlog::info!(
        "node {name} serves callers on {} and operators on {}",
        node.caller_address,
        node.admin_address
    );
    wait_for_signal().await;
    spdlog::info!("node {name} stops");
    let notice = Duration::from_millis(args.stop_notice_ms);
    let stopped = node.stop(notice, Duration::from_millis(args.stop_grace_ms)).await;
    spdlog::info!("node {name} stopped; graceful: {}", stopped.graceful);
    Ok(())
}

async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn check(args: &ServeArgs) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    if args.node_id.is_empty() {
        findings.push(Place::setting("--node-id"), "the name is empty", "give the node a name");
    }
    if args.node_count == 0 {
        let hint = "count all nodes that serve the fleet, this one included";
        findings.push(Place::setting("--node-count"), "there are no nodes", hint);
    }
    if args.poll_interval_ms == 0 {
        let hint = "set a time of at least 1 ms";
        findings.push(Place::setting("--poll-interval-ms"), "the interval is zero", hint);
    }
    if args.operator_key.as_ref().is_some_and(|key| key.len() < OPERATOR_KEY_MIN_BYTES) {
        let hint = format!("use at least {OPERATOR_KEY_MIN_BYTES} random characters");
        findings.push(Place::setting("SAVORYPITCH_OPERATOR_KEY"), "the key is too short", hint);
    }
    let peering = peers::check(args, &mut findings);
    findings.into_result(Settings {
        node: args.node_id.as_str().into(),
        zone: args.zone.as_str().into(),
        caller_address: args.listen,
        admin_address: args.admin_listen,
        operator_key_hash: args.operator_key.as_deref().map(hash_key),
        peering,
        node_count: args.node_count,
        poll_interval: Duration::from_millis(args.poll_interval_ms),
        metrics_address: args.metrics,
        gateway: GatewaySettings {
            connect_timeout: Duration::from_millis(args.connect_timeout_ms),
            request_timeout: Duration::from_millis(args.request_timeout_ms),
            body_max_bytes: args.body_max_bytes,
            ..GatewaySettings::default()
        },
    })
}
