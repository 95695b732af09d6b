//! Stand-ins for external systems: the platform, backend servers, crowds of clients, and links between VMs that can be
//! blocked.
//!
//! They implement `docs/CONTRACTS.md`, and only tests, demonstrations and experiments use them.

pub mod booking_caller;
pub mod client_crowd;
pub mod fleet;
pub mod http;
pub mod leaf;
pub mod leaf_model;
pub mod link_proxy;
pub mod platform;
pub mod process_usage;
pub mod serve;
