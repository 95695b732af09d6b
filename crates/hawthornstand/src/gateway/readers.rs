//! Which VMs read the store; the others hear of changes through links.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::rendezvous_weight;

/// Fleet up to which every VM reads: its reads cost less than a late change.
pub const SMALL_FLEET: usize = 12;
/// VMs that read in a larger fleet: enough for a third to be turned away by the store while others
/// are being replaced.
pub const READER_COUNT: usize = 9;
/// Age of the last confirmation by the store after which any VM reads.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);

/// Wait of a watch for each VM that reads: their watches end at different times, so that one of them
/// soon notices that the store is back.
const WAIT_PER_READER: Duration = Duration::from_millis(800);
/// Wait of a watch in a fleet in which others rely on the readers' confirmations.
const RELIED_ON_WAIT: Duration = Duration::from_secs(2);

/// Returns the longest wait of one watch in a fleet.
pub fn watch_timeout(fleet: usize) -> Duration {
    if fleet > SMALL_FLEET { RELIED_ON_WAIT } else { WAIT_PER_READER * fleet.max(1) as u32 }
}

/// Decides whether this VM reads the store.
///
/// `known` are the other VMs, in any order, also ones that are gone; `age` is the time since the store
/// last confirmed what this VM knows, as told by links, none if it never did.
pub fn should_read(own: SocketAddr, known: &[SocketAddr], age: Option<Duration>) -> bool {
    if known.len() < SMALL_FLEET || age.is_none_or(|age| age > MAX_CONFIRMATION_AGE) {
        return true;
    }
    let own_weight = weight(own);
    known.iter().filter(|other| weight(**other) > own_weight).count() < READER_COUNT
}

/// Returns the weight of a VM; the greatest ones read.
fn weight(address: SocketAddr) -> (u64, SocketAddr) {
    (rendezvous_weight(0, &address.to_string()), address)
}
