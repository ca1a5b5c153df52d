//! Duties are spread over the nodes, are taken over when a node is gone, and the table refuses the
//! late write of an earlier holder.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use duties::Duties;
use duties::DutyName;
use duties::Holder;
use duties::Members;
use events::Recorder;
use model::NodeId;
use services::Committer;
use services::FinalOutcome;
use services::MemoryTable;
use services::Write;

#[derive(Default)]
struct FakeMembers {
    live: Mutex<Vec<NodeId>>,
    gone: Mutex<Vec<Holder>>,
}

impl Members for FakeMembers {
    fn live(&self) -> Vec<NodeId> {
        self.live.lock().unwrap().clone()
    }

    fn is_gone(&self, holder: &Holder) -> bool {
        self.gone.lock().unwrap().contains(holder)
    }

    fn may_act(&self, _now: Instant) -> bool {
        true
    }
}

fn node(table: &Arc<MemoryTable>, name: &str) -> Duties {
    let holder = Holder { node: name.into(), incarnation: 1 };
    let events = Arc::new(Recorder::new(name.into(), 1));
    Duties::new(holder, table.clone(), events)
}

fn names(count: usize) -> Vec<DutyName> {
    (0..count).map(|index| format!("maintenance/pool-{index:03}")).collect()
}

#[tokio::test]
async fn every_duty_has_one_holder_and_is_taken_over_only_from_a_gone_node() {
    let table = Arc::new(MemoryTable::default());
    let members = FakeMembers::default();
    *members.live.lock().unwrap() = vec!["a".into(), "b".into(), "c".into()];
    let duty_names = names(60);
    let nodes = [node(&table, "a"), node(&table, "b"), node(&table, "c")];
    for _ in 0..3 {
        for node in &nodes {
            node.refresh(&duty_names, &members).await.unwrap();
        }
    }
    let mut all: Vec<DutyName> = nodes.iter().flat_map(Duties::names).collect();
    all.sort();
    assert_eq!(all, duty_names);
    assert!(nodes.iter().all(|node| node.names().len() > 5));

    let duties_of_a = nodes[0].names();
    let late_holder = nodes[0].held(&duties_of_a[0], &members, Instant::now()).unwrap();
    *members.live.lock().unwrap() = vec!["b".into(), "c".into()];
    nodes[1].refresh(&duty_names, &members).await.unwrap();
    nodes[2].refresh(&duty_names, &members).await.unwrap();
    let duty_count: usize = nodes[1..].iter().map(|node| node.names().len()).sum();
    assert_eq!(
        duty_count,
        duty_names.len() - duties_of_a.len(),
        "a duty was taken over from a node that may still act"
    );

    members.gone.lock().unwrap().push(Holder { node: "a".into(), incarnation: 1 });
    nodes[1].refresh(&duty_names, &members).await.unwrap();
    nodes[2].refresh(&duty_names, &members).await.unwrap();
    let duty_count: usize = nodes[1..].iter().map(|node| node.names().len()).sum();
    assert_eq!(duty_count, duty_names.len());

    let writes = vec![Write::put("plan", "late")];
    let outcome = Committer::default()
        .commit(&*table, vec![late_holder.precondition()], writes, Duration::from_secs(5))
        .await;
    assert!(matches!(outcome, FinalOutcome::Conflict { .. }), "{outcome:?}");
}

#[tokio::test]
async fn holders_release_the_duties_that_a_new_node_should_hold() {
    let table = Arc::new(MemoryTable::default());
    let members = FakeMembers::default();
    *members.live.lock().unwrap() = vec!["a".into()];
    let duty_names = names(20);
    let (a, b) = (node(&table, "a"), node(&table, "b"));
    a.refresh(&duty_names, &members).await.unwrap();
    assert_eq!(a.names().len(), 20);
    *members.live.lock().unwrap() = vec!["a".into(), "b".into()];
    b.refresh(&duty_names, &members).await.unwrap();
    assert!(b.names().is_empty());
    a.refresh(&duty_names, &members).await.unwrap();
    b.refresh(&duty_names, &members).await.unwrap();
    assert_eq!(a.names().len() + b.names().len(), 20);
    assert!(!b.names().is_empty());
}
