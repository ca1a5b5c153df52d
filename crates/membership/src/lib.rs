//! Which nodes run, and which of them may act, without a consensus group.
//!
//! A node may act on what it holds only while one of two proofs is fresh: the table showed its row
//! unmarked, or a majority of the member list answered one heartbeat "not marked, same member
//! list". Both count from when the question was sent. What a silent node held is taken over in four
//! steps: mark its row, collect the agreement of a majority, wait until its last proof has lapsed,
//! and write the take-over. [`Protocol`] decides all that; [`FailureDetector`] says who is silent; [`Member`]
//! joins the two into one state machine. No clock is read and nothing is sent here.

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
