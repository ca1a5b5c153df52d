//! Cases of the second review, as scripts: node processes, with stand-ins of the platform, of
//! executors and of clients over loopback.
//!
//! `review-standin-2 CASE FOLDER` plays a case, writes FOLDER/record.txt, and exits with 1 if the
//! rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in
//! the environment, it plays the same without the disruption.

mod cases;
mod client;
mod executor_api;
mod life;
mod node;
mod record;
mod site;
mod store;
mod worker;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use axum::Router;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Longest time that a case may take.
const CASE_TIME_MAX: Duration = Duration::from_secs(115);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

/// Serves a router on a free loopback port for as long as the process runs.
async fn serve(router: Router) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

/// Waits for a signal to end, or until a case has taken too long.
async fn cut_off() -> &'static str {
    let listen = |kind| signal(kind).expect("signals can be received");
    let (mut terminate, mut interrupt) =
        (listen(SignalKind::terminate()), listen(SignalKind::interrupt()));
    tokio::select! {
        _ = terminate.recv() => "it was told to end",
        _ = interrupt.recv() => "it was told to end",
        () = tokio::time::sleep(CASE_TIME_MAX) => "it took too long",
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if let Err(error) = record::open(&PathBuf::from(folder)) {
        eprintln!("the record can't be written: {error}");
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::line(&format!(
        "case {case}, {}",
        if has_trouble { "with the disruption" } else { "without the disruption" }
    ));
    // Dropping a case that is cut off ends the processes that it has started.
    let verdict = tokio::select! {
        verdict = cases::play(&case, has_trouble) => verdict,
        why = cut_off() => Verdict::CouldNotRun(why.to_owned()),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(why) => (format!("the rule was broken: {why}"), 1),
        Verdict::CouldNotRun(why) => (format!("the case couldn't run: {why}"), 2),
    };
    record::line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
