//! Messages that an inbox accepts and rejects, and links over the loopback interface.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::sync::mpsc;
use wire::Body;
use wire::ClusterKey;
use wire::Inbox;
use wire::Leave;
use wire::Link;
use wire::NngLink;
use wire::Outbox;
use wire::RejectedMessage;

const SECRET: &str = "secret of the test's cluster";
const TIMEOUT: Duration = Duration::from_secs(30);

fn frame(cluster: &str, secret: &str, receiver: &str, incarnation: u64) -> Bytes {
    let mut outbox = Outbox::new(cluster, "n1".into(), ClusterKey::derive("c", secret));
    outbox.seal(receiver, incarnation, 7, (1, 2), Body::Leave(Leave {}))
}

fn inbox() -> Inbox {
    Inbox::new("c", "n2".into(), ClusterKey::derive("c", SECRET))
}

#[test]
fn sealed_message_is_accepted_only_once() {
    let mut inbox = inbox();
    let frame = frame("c", SECRET, "n2", 5);
    let envelope = inbox.open(&frame).unwrap();
    assert_eq!((&*envelope.sender, envelope.incarnation, envelope.config_version), ("n1", 5, 7));
    assert_eq!(envelope.body, Some(Body::Leave(Leave {})));
    assert_eq!(inbox.open(&frame), Err(RejectedMessage::OldSequence));
}

#[rstest]
#[case::secret(frame("c", "another secret", "n2", 5), RejectedMessage::BadHash)]
#[case::cluster(frame("d", SECRET, "n2", 5), RejectedMessage::OtherCluster)]
#[case::receiver(frame("c", SECRET, "n3", 5), RejectedMessage::OtherReceiver)]
#[case::short(Bytes::from_static(b"short"), RejectedMessage::BadHash)]
fn message_with_another_secret_cluster_or_receiver_is_rejected(
    #[case] frame: Bytes,
    #[case] reason: RejectedMessage,
) {
    assert_eq!(inbox().open(&frame), Err(reason));
}

#[test]
fn message_of_an_earlier_incarnation_is_rejected() {
    let mut inbox = inbox();
    inbox.open(&frame("c", SECRET, "n2", 5)).unwrap();
    let earlier = frame("c", SECRET, "n2", 4);
    assert_eq!(inbox.open(&earlier), Err(RejectedMessage::OldIncarnation));
}

#[test]
fn frame_with_any_changed_byte_is_rejected() {
    let frame = frame("c", SECRET, "n2", 5);
    for position in 0..frame.len() {
        let mut changed = frame.to_vec();
        changed[position] ^= 1;
        assert_eq!(inbox().open(&Bytes::from(changed)), Err(RejectedMessage::BadHash));
    }
}

#[tokio::test]
async fn link_delivers_frames_before_and_after_a_redial() {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (sender, mut frames) = mpsc::channel(16);
    let receiver = NngLink::listen(any, sender).unwrap();
    let (unused, _) = mpsc::channel(1);
    let link = NngLink::listen(any, unused).unwrap();
    link.set_peers(&[("n2".into(), receiver.local_address())]);
    for round in 0..2_u8 {
        let frame = Bytes::from(vec![round]);
        let arrived = async {
            // A link drops frames until its connection is open, so the frame is sent repeatedly.
            loop {
                link.send("n2", frame.clone());
                let wait = tokio::time::timeout(Duration::from_millis(50), frames.recv());
                if let Ok(Some(arrived)) = wait.await
                    && arrived == frame
                {
                    return;
                }
            }
        };
        tokio::time::timeout(TIMEOUT, arrived).await.unwrap();
        link.redial("n2");
    }
    assert!(!link.send("n3", Bytes::new()));
}
