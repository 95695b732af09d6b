//! Decides which VMs read the store; the others get changes through links.

use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::rendezvous_weight;

/// Size of a fleet up to which every VM reads the store: these reads cost less than a late change.
pub const SMALL_FLEET: usize = 12;
/// Number of VMs that read the store in a larger fleet: enough even if the store refuses a third of them while others
/// are being replaced.
pub const READER_COUNT: usize = 6;
/// Time after its start within which a VM that is no seed gets changes over its links only: it does not know yet whether
/// the fleet is small, and a large one that starts at once would read the store with every VM.
const START_DELAY: Duration = Duration::from_secs(1);
/// Age of the last confirmation by the store after which every VM reads the store.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);

/// Timeout of a watch in a small fleet, multiplied by the number of its VMs: the watches end at different times, so
/// that one of them soon detects that the store is reachable again.
const WATCH_TIMEOUT_PER_READER: Duration = Duration::from_millis(800);
/// Timeout of a watch in a larger fleet, whose other VMs depend on the confirmations of the readers.
const LARGE_FLEET_WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the timeout of one watch in a fleet of this size.
pub fn watch_timeout(fleet_size: usize) -> Duration {
    if fleet_size > SMALL_FLEET {
        LARGE_FLEET_WATCH_TIMEOUT
    } else {
        WATCH_TIMEOUT_PER_READER * fleet_size.max(1) as u32
    }
}

/// Decides whether this VM reads the store.
///
/// `known` are the other VMs, in any order, also ones that are gone; `confirmation_age` is the time since the store
/// last confirmed the state of this VM, to it or to a VM linked with it, none if it never did; `is_starting` is whether
/// the VM is within its [`start_delay`].
pub fn should_read(
    own: SocketAddr,
    known: &[SocketAddr],
    confirmation_age: Option<Duration>,
    is_starting: bool,
) -> bool {
    if confirmation_age.is_none_or(|age| age > MAX_CONFIRMATION_AGE) {
        return true;
    }
    if known.len() < SMALL_FLEET {
        return !is_starting;
    }
    let own_weight = weight(own);
    known.iter().filter(|other| weight(**other) > own_weight).count() < READER_COUNT
}

/// Returns the time after its start for which a VM leaves reads to the seeds; zero for a seed, and without seeds.
pub fn start_delay(own: SocketAddr, seeds: &[SocketAddr]) -> Duration {
    if seeds.is_empty() || seeds.contains(&own) { Duration::ZERO } else { START_DELAY }
}

/// Returns the weight of a VM; the VMs with the greatest weights read the store.
fn weight(address: SocketAddr) -> (u64, SocketAddr) {
    (rendezvous_weight(0, &address.to_string()), address)
}
