//! Which nodes run, and which of them may act.

pub mod view;

pub use view::MemberView;
