//! Which nodes run, and which of them may act, without a consensus group.
//!
//! A node may act on what it holds only while one of two proofs is fresh: the table showed its row
//! unmarked, or a majority of the member list answered one heartbeat "not marked, same member
//! list". Both count from when the question was sent. What a silent node held is taken over in four
//! steps: mark its row, collect the agreement of a majority, wait until its last proof has lapsed,
//! and write the take-over. [`Core`] decides all that; [`Watch`] says who is silent; [`Member`]
//! joins the two into one state machine. No clock is read and nothing is sent here.

pub mod claim;
pub mod core;
pub mod counts;
pub mod list;
pub mod member;
pub mod row;
pub mod runs;
pub mod view;
pub mod watch;

pub use core::Core;
pub use core::Timing;
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
pub use row::MemberRow;
pub use row::TableView;
pub use runs::Runs;
pub use view::MemberView;
pub use watch::Place;
pub use watch::Watch;
