//! Process that serves stand-in backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use clap::Parser;
use standin::backend::StandinBackend;
use standin::backend::serve;

/// Stand-in backend servers on consecutive ports, for tests and demos.
#[derive(Parser)]
struct Args {
    /// Address of the first server.
    #[arg(long, default_value = "127.0.0.1:7001")]
    listen: SocketAddr,
    /// Number of servers in this process.
    #[arg(long, default_value_t = 1)]
    count: u16,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let args = Args::parse();
    let mut tasks = Vec::new();
    for offset in 0..args.count {
        let mut address = args.listen;
        address.set_port(address.port() + offset);
        let (_, task) = serve(Arc::new(StandinBackend::default()), address).await?;
        tasks.push(task);
    }
    println!("{} servers from {}", args.count, args.listen);
    for task in tasks {
        task.await.map_err(std::io::Error::other)?;
    }
    Ok(())
}
