//! Stand-ins for external systems: the platform, backend servers, and links between VMs that can be blocked.
//!
//! They implement `docs/CONTRACTS.md`, and only tests, demonstrations and experiments use them.

pub mod booking_caller;
pub mod fleet;
pub mod http;
pub mod leaf;
pub mod leaf_model;
pub mod link_proxy;
pub mod platform;
pub mod serve;
