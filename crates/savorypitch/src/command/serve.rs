//! `serve`: runs a node until a signal ends it.

mod check;
mod peers;

use node::Node;
use node::Platform;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use self::check::Checked;
use crate::args::ServeArgs;
use crate::failure::Failure;

/// Runs a node until SIGTERM or SIGINT.
pub fn run(args: &ServeArgs) -> Result<(), Failure> {
    let checked = check::check(args).map_err(Failure::Diagnostics)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|source| Failure::File { path: "the event loop".to_owned(), source })?;
    runtime.block_on(serve(checked))
}

async fn serve(checked: Checked) -> Result<(), Failure> {
    let platform = match checked.platform {
        Some(address) => Platform::remote(address, checked.platform_timeout),
        None => {
            spdlog::warn!("no platform is set: the configuration ends with this process");
            Platform::embedded()
        }
    };
    let name = checked.node.node.clone();
    let node = Node::start(checked.node, platform).await?;
    spdlog::info!(
        "node {name} serves callers on {} and operators on {}",
        node.caller_address,
        node.admin_address
    );
    wait_for_end(&node).await;
    spdlog::info!("node {name} stops");
    let stopped = node.stop(checked.stop_notice, checked.stop_grace).await;
    spdlog::info!("node {name} stopped; graceful: {}", stopped.is_graceful);
    Ok(())
}

/// Waits for SIGTERM or SIGINT; SIGHUP makes the node read the configuration at once.
async fn wait_for_end(node: &Node) {
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
                spdlog::info!("hangup: the configuration is read again");
                node.poll_config().await;
            }
        }
    }
}
