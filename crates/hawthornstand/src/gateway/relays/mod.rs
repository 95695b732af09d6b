//! Searches run by relays: in a large fleet, a few VMs of each region search the shards for the others.
//!
//! [`choice`] decides which VMs are relays, [`links`] holds the links to them and hands searches over, and [`host`] runs
//! the searches of other VMs. A relay sees enough searches to keep connections open and to know which backend servers
//! are slow; a VM of a large fleet sees too few.

pub mod choice;
pub mod host;
pub mod link;
pub mod links;
pub mod messages;
pub mod offer;
