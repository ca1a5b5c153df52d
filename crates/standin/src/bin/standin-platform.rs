//! Process that serves the stand-in for the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use standin::platform_server::StandinPlatform;
use standin::platform_server::serve;

/// Stand-in for the platform's services, for tests and demos.
#[derive(Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long, default_value = "127.0.0.1:7900")]
    listen: SocketAddr,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let (address, task) = serve(Arc::new(StandinPlatform::default()), args.listen).await?;
    println!("listening on {address}");
    task.await.map_err(std::io::Error::other)
}
