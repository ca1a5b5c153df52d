//! The time line: typed state changes of one process, stamped so that all processes merge in order.
//!
//! A [`Recorder`] keeps a bounded ring of events; the oldest are dropped and counted when nobody has
//! collected them in time. Stamps come from a hybrid logical clock: wall time, and a counter where
//! wall time stands still or a message from a later clock was seen. A [`Batch`] is the form in which
//! events go to the object store; [`merge`] puts the batches of all processes in one order, and
//! [`render_html`] draws them.

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
