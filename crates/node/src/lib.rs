//! A node: the gateway, configuration follower, membership, ledger, maintenance, job placement and
//! operators' interface, wired together in one process.
//!
//! [`Node::start`] builds the components and spawns their tasks; [`Node::stop`] shuts them down
//! gracefully. Lock order: `Shared::config` before the limit table. Neither lock is held across an
//! await.

pub mod api;

mod admin;
mod compact;
mod duty;
mod follower;
mod ledger;
mod maintain;
mod members;
mod peer_shares;
mod place;
mod run;
mod settings;
mod shared;
mod ship;

pub use place::jobs;
pub use place::workers;
pub use run::Node;
pub use run::StartError;
pub use run::StopOutcome;
pub use settings::Peering;
pub use settings::Platform;
pub use settings::Settings;
pub use settings::Transport;
