//! The timeline: typed state changes of all processes, timestamped so that they merge in causal
//! order.
//!
//! A [`Recorder`] keeps the recent events of one process in a bounded ring. If the events are not
//! collected in time, the oldest are dropped and counted. Timestamps come from a hybrid logical
//! clock: wall time, and a counter that advances while the wall time has not advanced or is behind
//! the timestamp of a received message. A [`Batch`] is the form in which events are stored in the
//! object store; [`merge`] sorts the events of all processes, and [`render_html`] draws them.

mod batch;
mod compact;
mod event;
mod filter;
mod html;
mod merge;
mod recorder;

pub use batch::Batch;
pub use batch::BatchError;
pub use batch::BatchName;
pub use batch::OBJECT_PREFIX;
pub use compact::Compaction;
pub use compact::plan_compaction;
pub use event::Detail;
pub use event::Event;
pub use event::EventKind;
pub use event::HybridTimestamp;
pub use filter::Filter;
pub use html::render_html;
pub use merge::merge;
pub use recorder::Recorder;
