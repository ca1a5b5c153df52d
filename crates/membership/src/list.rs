//! The member list and its changes. A change adds, replaces or removes one node.

use std::net::SocketAddr;

use model::NodeId;
use serde::Deserialize;
use serde::Serialize;
use wire::ListEntry;
use wire::MemberListMessage;

/// Version of a member list; each change increments it.
pub type ListVersion = u64;

/// Version of the initial list, which comes from the settings.
pub const FIRST_VERSION: ListVersion = 1;

/// A member: a node that counts for majorities.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Name of the node.
    pub node: NodeId,
    /// Address on which the node accepts connections from its peers.
    pub peer_address: SocketAddr,
}

/// The nodes that count for majorities.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberList {
    /// Incremented by each change.
    pub version: ListVersion,
    /// Members, sorted by node.
    pub members: Vec<MemberEntry>,
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// Adds a member or changes its address.
    Put(MemberEntry),
    /// Removes a member.
    Remove(NodeId),
}

/// Why a change of the member list is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListChangeError {
    /// Fewer than a majority of the members have reported the current version.
    #[error("fewer than a majority of the members have reported the current member list")]
    NotReported,
    /// The change would have no effect.
    #[error("the change would not alter the member list")]
    Unchanged,
    /// The list would become empty.
    #[error("the last member cannot be removed")]
    LastMember,
}

impl MemberList {
    /// Creates the initial list, from the members in the settings.
    pub fn first(mut members: Vec<MemberEntry>) -> Self {
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members.dedup_by(|a, b| a.node == b.node);
        Self { version: FIRST_VERSION, members }
    }

    /// Returns the position of `node` in the list.
    pub fn position(&self, node: &str) -> Option<usize> {
        self.members.binary_search_by(|entry| (*entry.node).cmp(node)).ok()
    }

    /// True if `node` counts for majorities.
    pub fn contains(&self, node: &str) -> bool {
        self.position(node).is_some()
    }

    /// Returns the number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the list in the form that messages carry.
    pub fn to_message(&self) -> MemberListMessage {
        let entry = |member: &MemberEntry| ListEntry {
            node: member.node.to_string(),
            address: member.peer_address.to_string(),
        };
        MemberListMessage {
            version: self.version,
            members: self.members.iter().map(entry).collect(),
        }
    }

    /// Reads the list from a message; `None` if an address is malformed.
    pub fn from_message(message: &MemberListMessage) -> Option<Self> {
        let mut members = Vec::with_capacity(message.members.len());
        for entry in &message.members {
            let peer_address = entry.address.parse().ok()?;
            members.push(MemberEntry { node: entry.node.as_str().into(), peer_address });
        }
        members.sort_by(|a, b| a.node.cmp(&b.node));
        Some(Self { version: message.version, members })
    }
}

/// Returns the list after `change`. Refuses the change until a majority of `list` has the version
/// of `list`; `reports` holds the version that each node has. Two successive lists differ by one
/// node, so their majorities always share a node.
pub fn next_list(
    list: &MemberList,
    reports: &[(NodeId, ListVersion)],
    change: ListChange,
) -> Result<MemberList, ListChangeError> {
    let reported =
        reports.iter().filter(|(node, v)| list.contains(node) && *v == list.version).count();
    if reported < list.majority() {
        return Err(ListChangeError::NotReported);
    }
    let mut next = list.clone();
    next.version += 1;
    match change {
        ListChange::Put(entry) => put(&mut next, entry)?,
        ListChange::Remove(node) => remove(&mut next, &node)?,
    }
    Ok(next)
}

fn put(list: &mut MemberList, entry: MemberEntry) -> Result<(), ListChangeError> {
    match list.members.binary_search_by(|other| other.node.cmp(&entry.node)) {
        Ok(index) if list.members[index] == entry => return Err(ListChangeError::Unchanged),
        Ok(index) => list.members[index] = entry,
        Err(index) => list.members.insert(index, entry),
    }
    Ok(())
}

fn remove(list: &mut MemberList, node: &str) -> Result<(), ListChangeError> {
    let index = list.position(node).ok_or(ListChangeError::Unchanged)?;
    if list.members.len() == 1 {
        return Err(ListChangeError::LastMember);
    }
    list.members.remove(index);
    Ok(())
}
