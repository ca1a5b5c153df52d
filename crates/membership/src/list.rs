//! The member list, and its changes one node at a time.

use std::net::SocketAddr;

use model::NodeId;
use serde::Deserialize;
use serde::Serialize;
use wire::ListEntry;
use wire::MemberListMessage;

/// Version of the member list; grows by one with each change.
pub type ListVersion = u64;

/// Version of the list that nodes take from their settings.
pub const FIRST_VERSION: ListVersion = 1;

/// A node that counts for majorities.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Node.
    pub node: NodeId,
    /// Address that it listens on for its peers.
    pub peer_address: SocketAddr,
}

/// The nodes that count for majorities.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberList {
    /// Version.
    pub version: ListVersion,
    /// Members, sorted by node.
    pub members: Vec<MemberEntry>,
}

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListChange {
    /// Adds a member, or moves it to another address.
    Put(MemberEntry),
    /// Removes a member.
    Remove(NodeId),
}

/// Why the list may not change now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListChangeError {
    /// A majority has not reported the last change yet.
    #[error("a majority has not reported the last change of the member list")]
    LastNotReported,
    /// Nothing would change.
    #[error("the member list is already so")]
    Unchanged,
    /// The last member cannot be removed.
    #[error("the last member cannot be removed")]
    LastMember,
}

impl MemberList {
    /// List of the settings.
    pub fn first(mut members: Vec<MemberEntry>) -> Self {
        members.sort_by(|a, b| a.node.cmp(&b.node));
        members.dedup_by(|a, b| a.node == b.node);
        Self { version: FIRST_VERSION, members }
    }

    /// Position of `node`.
    pub fn position(&self, node: &str) -> Option<usize> {
        self.members.binary_search_by(|entry| (*entry.node).cmp(node)).ok()
    }

    /// True if `node` counts for majorities.
    pub fn contains(&self, node: &str) -> bool {
        self.position(node).is_some()
    }

    /// Members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The list as a message carries it.
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

    /// The list of a message; `None` if it cannot be read.
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

/// List after `change`, if a majority of `list` has reported its version; `reports` says which
/// version each node has.
pub fn next_list(
    list: &MemberList,
    reports: &[(NodeId, ListVersion)],
    change: ListChange,
) -> Result<MemberList, ListChangeError> {
    let reported =
        reports.iter().filter(|(node, v)| list.contains(node) && *v == list.version).count();
    if reported < list.majority() {
        return Err(ListChangeError::LastNotReported);
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
    match list.members.binary_search_by(|held| held.node.cmp(&entry.node)) {
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
