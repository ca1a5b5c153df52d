//! Cluster membership without a consensus group: which nodes are members, and which of them may
//! act.
//!
//! Each process of a node is one *incarnation*. An incarnation may act on the resources that it
//! holds only while it has a *lease*. There are two kinds: the table lease is renewed when a read
//! of the table shows that the incarnation is not evicted; the quorum lease is renewed when a
//! majority of the member list confirms one heartbeat, that is, replies that the incarnation is not
//! evicted and that the member lists are the same. Each lease starts when the request was sent, not
//! when the reply arrived.
//!
//! The resources of a silent node are taken over in four steps: write its *eviction* to the table,
//! collect the agreement of a majority, wait until its last lease has expired, and write that the
//! takeover is allowed. [`Protocol`] decides these steps, [`FailureDetector`] reports the silent
//! nodes, and [`Member`] combines the two into one state machine. The crate reads no clock and
//! sends no messages: the caller passes the time in and performs the [`Output`]s.

pub mod counts;
pub mod failure_detector;
pub mod incarnation_set;
pub mod list;
pub mod member;
pub mod protocol;
pub mod row;
pub mod takeover;
pub mod view;

pub use failure_detector::FailureDetector;
pub use failure_detector::NodeLocation;
pub use incarnation_set::IncarnationSet;
pub use list::ListChange;
pub use list::ListChangeError;
pub use list::ListVersion;
pub use list::MemberEntry;
pub use list::MemberList;
pub use list::next_list;
pub use member::Input;
pub use member::Member;
pub use member::MemberSettings;
pub use member::Output;
pub use protocol::Protocol;
pub use protocol::Timing;
pub use row::MemberRow;
pub use row::TableView;
pub use view::MemberView;
