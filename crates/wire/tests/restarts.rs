//! A receiver restarts many times while senders send to it without a pause.
//!
//! A transport library that uses a connection after it was closed aborts the process, which fails
//! this test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use wire::Link;
use wire::NngLink;

const RESTARTS: usize = 100;
const SENDERS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sender_survives_every_restart_of_its_receiver() {
    // Outgoing connections use 127.0.0.1, so none of them can occupy the port of this address.
    let receiver_address: SocketAddr = ([127, 0, 1, 1], 0).into();
    let stop = Arc::new(AtomicBool::new(false));
    let (first_frames, _) = mpsc::channel(1);
    let first = NngLink::listen(receiver_address, first_frames).unwrap();
    let address = first.local_address();
    let senders: Vec<_> = (0..SENDERS).map(|_| send_until(stop.clone(), address)).collect();
    drop(first);
    let mut received_count = 0;
    for _ in 0..RESTARTS {
        let (sender, mut frames) = mpsc::channel(16);
        let Ok(receiver) = NngLink::listen(address, sender) else {
            // The port of the previous receiver is not free yet.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let arrived = tokio::time::timeout(TIMEOUT, frames.recv()).await;
        received_count += usize::from(arrived.is_ok_and(|frame| frame.is_some()));
        drop(receiver);
    }
    stop.store(true, Ordering::Relaxed);
    for sender in senders {
        sender.join().unwrap();
    }
    assert!(received_count > 0, "no receiver got a frame");
}

fn send_until(stop: Arc<AtomicBool>, address: SocketAddr) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let (unused, _) = mpsc::channel(1);
        let link = NngLink::listen(any, unused).unwrap();
        link.set_peers(&[("receiver".into(), address)]);
        while !stop.load(Ordering::Relaxed) {
            link.send("receiver", Bytes::from_static(&[7; 512]));
            std::thread::yield_now();
        }
    })
}
