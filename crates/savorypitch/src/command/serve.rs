//! `serve`: runs a node until a signal stops it.

mod check;
mod descriptors;
mod peers;

use node::Node;
use node::Platform;
use services::HttpPlatform;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use self::check::ServeSettings;
use crate::args::ServeArgs;
use crate::failure::Failure;

/// Runs a node until SIGTERM or SIGINT, then stops it gracefully.
pub fn run(args: &ServeArgs) -> Result<(), Failure> {
    let settings = check::check_settings(args).map_err(Failure::Diagnostics)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|source| Failure::File { path: "the event loop".to_owned(), source })?;
    runtime.block_on(serve(settings))
}

async fn serve(mut settings: ServeSettings) -> Result<(), Failure> {
    let limits = &mut settings.node.gateway;
    descriptors::leave_descriptors(&mut limits.caller_limits, &limits.admin_limits);
    let platform = match settings.platform {
        Some(address) => {
            let client = HttpPlatform::new(address, settings.platform_timeout);
            Platform::with_client(client.with_reply_max_bytes(settings.platform_reply_max_bytes))
        }
        None => {
            spdlog::warn!("no platform is set: the configuration is lost when this process ends");
            Platform::embedded()
        }
    };
    let node_name = settings.node.node.clone();
    let node = Node::start(settings.node, platform).await?;
    spdlog::info!(
        "node {node_name} serves callers on {} and operators on {}",
        node.caller_address,
        node.admin_address
    );
    wait_for_stop_signal(&node).await;
    spdlog::info!("node {node_name} is stopping");
    let stop_outcome = node.stop(settings.stop_notice, settings.stop_grace).await;
    spdlog::info!("node {node_name} stopped; graceful: {}", stop_outcome.is_graceful);
    Ok(())
}

/// Waits for SIGTERM or SIGINT; forever if the signal handlers cannot be installed. SIGHUP makes the
/// node poll for configuration changes at once.
async fn wait_for_stop_signal(node: &Node) {
    let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        return std::future::pending().await;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = interrupt.recv() => return,
            _ = hangup.recv() => {
                spdlog::info!("received SIGHUP: reading the configuration again");
                node.poll_config().await;
            }
        }
    }
}
