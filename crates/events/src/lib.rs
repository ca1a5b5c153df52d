//! The time line: typed state changes of one process, stamped so that all processes merge in order.
//!
//! A [`Recorder`] keeps a bounded ring of events; the oldest are dropped and counted when nobody has
//! collected them in time. Stamps come from a hybrid logical clock: wall time, and a counter where
//! wall time stands still or a message from a later clock was seen.

mod event;
mod recorder;

pub use event::Event;
pub use event::EventKind;
pub use event::Stamp;
pub use recorder::Recorder;
