//! Links to other VMs, and what is exchanged over them.

#[cfg(feature = "own-interface")]
pub mod block_versions;
#[cfg(feature = "own-interface")]
pub mod gossip;
#[cfg(feature = "own-interface")]
pub mod link;
#[cfg(feature = "own-interface")]
pub mod overlay;
#[cfg(feature = "own-interface")]
pub mod peer_service;
#[cfg(feature = "own-interface")]
pub mod peers;
#[cfg(feature = "own-interface")]
pub mod version_reports;
