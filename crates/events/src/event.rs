//! Events and their stamps.

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

/// Reading of a hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct HybridTimestamp {
    /// Wall time since the Unix epoch, in milliseconds.
    pub wall_ms: u64,
    /// Order of events within one reading of wall time.
    pub logical: u32,
}

/// A state change at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When.
    #[serde(rename = "stamp")]
    pub timestamp: HybridTimestamp,
    /// Node that saw it.
    pub node: NodeId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Position among the events of this incarnation, from 0.
    pub sequence: u64,
    /// What.
    pub kind: EventKind,
}

/// A named value of an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Detail {
    /// Name of the field.
    pub name: String,
    /// Value as text.
    pub value: String,
}

impl Event {
    /// Kind, as in `host-step`.
    pub fn kind_name(&self) -> String {
        match self.kind_value().get("kind") {
            Some(Value::String(name)) => name.clone(),
            _ => String::new(),
        }
    }

    /// Fields of the kind, sorted by name.
    pub fn details(&self) -> Vec<Detail> {
        let Value::Object(fields) = self.kind_value() else {
            return Vec::new();
        };
        fields
            .into_iter()
            .filter(|(name, _)| name != "kind")
            .map(|(name, value)| Detail { name, value: text_of(&value) })
            .collect()
    }

    /// Fields of the kind, as `name=value` in a line.
    pub fn describe_details(&self) -> String {
        let details = self.details();
        let parts: Vec<String> =
            details.iter().map(|detail| format!("{}={}", detail.name, detail.value)).collect();
        parts.join(" ")
    }

    fn kind_value(&self) -> Value {
        serde_json::to_value(&self.kind).expect("kinds have string keys only")
    }
}

/// A value as an operator writes it; a team is `customer/team`.
fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let parts: Vec<String> = fields.values().map(text_of).collect();
            parts.join("/")
        }
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum EventKind {
    /// The process is up.
    NodeStarted,
    /// The process takes no new work and ends what runs.
    NodeStopping { running: u32 },
    /// The process has ended all its work.
    NodeStopped { cut: u32 },
    /// The process has no fresh proof and refuses new work.
    NodeFenced { reason: String },
    /// The process has a fresh proof again.
    NodeUnfenced,
    /// Another node was marked as gone.
    PeerMarked { peer: NodeId, incarnation: Incarnation },
    /// What a gone node held was taken over.
    PeerTaken { peer: NodeId, incarnation: Incarnation },
    /// A silent link was closed and dialled anew.
    LinkRedialled { peer: NodeId },
    /// A configuration is in force at this node.
    ConfigInForce { version: ConfigVersion },
    /// A contract was accepted.
    ContractApplied { customer: String, version: ConfigVersion },
    /// A key was granted.
    KeyGranted { key: KeyId, holder: String },
    /// A key was withdrawn.
    KeyWithdrawn { key: KeyId },
    /// A host took a step of its life cycle.
    HostStep { host: HostId, state: HostState, pool: PoolId },
    /// A maintenance wave changed its state.
    WaveStep { wave: WaveId, state: String, reason: String },
    /// A backend server fails too often and gets no new work for a while.
    BackendEjected { host: HostId },
    /// A backend server gets work again.
    BackendRestored { host: HostId },
    /// A connection to a backend server was silent for too long.
    BackendSilent { host: HostId },
    /// A request ended without a known outcome.
    RequestUnknown { request: RequestId, team: TeamRef, host: HostId },
    /// A token is held back until there is evidence that its work has ended.
    TokenInDoubt { request: RequestId, host: HostId },
    /// Evidence freed a token.
    TokenFreed { request: RequestId, host: HostId },
    /// A duty is held by this node.
    DutyTaken { duty: String, epoch: u64 },
    /// A duty is no longer held by this node.
    DutyLost { duty: String, epoch: u64 },
    /// A task changed its state.
    TaskStep { job: String, state: String, host: Option<HostId> },
    /// A worker gets no tasks until it has shown that it can run them.
    WorkerQuarantined { host: HostId },
}
