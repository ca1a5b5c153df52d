//! Events and their timestamps.

use model::ConfigVersion;
use model::HostId;
use model::HostState;
use model::Incarnation;
use model::KeyId;
use model::NodeId;
use model::PoolId;
use model::RequestId;
use model::TeamRef;
use model::WaveId;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Reading of a hybrid logical clock. Timestamps of causally related events are in causal order,
/// even if the clocks of their nodes differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Wall time since the Unix epoch, in milliseconds.
    pub wall_ms: u64,
    /// Orders events with the same wall time.
    pub logical: u32,
}

/// A state change that one node has recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When it was recorded.
    #[serde(rename = "stamp")]
    pub timestamp: HybridTimestamp,
    /// Node that recorded it.
    pub node: NodeId,
    /// Incarnation of the node that recorded it.
    pub incarnation: Incarnation,
    /// Position among the events of this incarnation, starting at 0.
    pub sequence: u64,
    /// What happened.
    pub kind: EventKind,
}

/// A field of an event, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Detail {
    /// Name of the field.
    pub name: String,
    /// Value as text; see [`Event::details`].
    pub value: String,
}

impl Event {
    /// Returns the name of the kind, as in `host-step`.
    pub fn kind_name(&self) -> String {
        match self.kind_value().get("kind") {
            Some(Value::String(name)) => name.clone(),
            _ => String::new(),
        }
    }

    /// Returns the fields of the kind, sorted by name. A team is shown as `customer/team`, an
    /// absent value as `-`.
    pub fn details(&self) -> Vec<Detail> {
        let Value::Object(fields) = self.kind_value() else {
            return Vec::new();
        };
        fields
            .into_iter()
            .filter(|(name, _)| name != "kind")
            .map(|(name, value)| Detail { name, value: display_value(&value) })
            .collect()
    }

    /// Returns the fields of the kind as `name=value`, separated by spaces.
    pub fn describe_details(&self) -> String {
        let details = self.details();
        let parts: Vec<String> =
            details.iter().map(|detail| format!("{}={}", detail.name, detail.value)).collect();
        parts.join(" ")
    }

    fn kind_value(&self) -> Value {
        serde_json::to_value(&self.kind)
            .expect("events serialize to JSON: their map keys are strings")
    }
}

/// Returns a value in the form that operators use; the parts of an object are joined by `/`.
fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let parts: Vec<String> = fields.values().map(display_value).collect();
            parts.join("/")
        }
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Kind of an event, with its fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum EventKind {
    /// The node has started.
    NodeStarted,
    /// The node accepts no new work, and running work may finish.
    NodeStopping { running: u32 },
    /// The node has stopped; `cut` is 0 if all running requests were finished, else 1.
    NodeStopped { cut: u32 },
    /// The node holds no lease, so it has fenced itself and rejects new work.
    NodeFenced { reason: String },
    /// The node holds a lease again.
    NodeUnfenced,
    /// Another node was evicted, up to this incarnation.
    PeerMarked { peer: NodeId, incarnation: Incarnation },
    /// The resources of a gone node, up to this incarnation, may be taken over.
    PeerTaken { peer: NodeId, incarnation: Incarnation },
    /// The connection to a silent peer was closed and opened again.
    LinkRedialled { peer: NodeId },
    /// This version of the configuration is active at the node.
    ConfigInForce { version: ConfigVersion },
    /// A contract was accepted.
    ContractApplied { customer: String, version: ConfigVersion },
    /// A key was granted.
    KeyGranted { key: KeyId, holder: String },
    /// A key was withdrawn.
    KeyWithdrawn { key: KeyId },
    /// A host has changed to another state of its life cycle.
    HostStep { host: HostId, state: HostState, pool: PoolId },
    /// A maintenance wave has changed its state.
    WaveStep { wave: WaveId, state: String, reason: String },
    /// A backend server has failed too often and gets no new work for a while.
    BackendEjected { host: HostId },
    /// An ejected backend server gets work again.
    BackendRestored { host: HostId },
    /// A backend server has sent no response within the idle timeout, and reports that it is not
    /// running the request.
    BackendSilent { host: HostId },
    /// A request got no response, and it is unknown whether the backend server has run it.
    RequestUnknown { request: RequestId, team: TeamRef, host: HostId },
    /// A token is in doubt: it is not used until there is evidence that its work has ended.
    TokenInDoubt { request: RequestId, host: HostId },
    /// A token in doubt was released because its work has ended.
    TokenFreed { request: RequestId, host: HostId },
    /// The node has acquired a duty.
    DutyTaken { duty: String, epoch: u64 },
    /// The node has lost or released a duty.
    DutyLost { duty: String, epoch: u64 },
    /// A task has changed its state.
    TaskStep { job: String, state: String, host: Option<HostId> },
    /// A worker is quarantined: it gets no tasks until it has shown that it can run them.
    WorkerQuarantined { host: HostId },
}
