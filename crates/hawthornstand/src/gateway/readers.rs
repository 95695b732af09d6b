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
/// Age of the last confirmation by the store after which every VM reads the store, unless the time within which changes
/// have to be in force asks for less.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(4);
/// The same as a fraction of that time: the rest is for the read.
const MAX_CONFIRMATION_FRACTION: f64 = 0.75;

/// Timeout of a watch. A VM does not rely on its end: [`draw_check_age`] says when the state is checked meanwhile.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Bounds of the age of a confirmation at which a VM checks the state, as fractions of the time within which a change has
/// to be in force. Each VM draws its own age, so that one VM checks for all, and another one if that fails.
const MIN_CHECK_FRACTION: f64 = 0.25;
const MAX_CHECK_FRACTION: f64 = 0.5;
/// The same for the difference to the last announced confirmation at which a newer one is announced: less than the time
/// between two checks.
const ANNOUNCE_FRACTION: f64 = 0.2;

/// Returns the age of the last confirmation at which a VM that reads the store checks whether its state is current.
pub fn draw_check_age(config_apply: Duration) -> Duration {
    config_apply.mul_f64(rand::random_range(MIN_CHECK_FRACTION..MAX_CHECK_FRACTION))
}

/// Returns by how much a confirmation must be newer than the last announced one to be announced.
pub fn announce_step(config_apply: Duration) -> Duration {
    config_apply.mul_f64(ANNOUNCE_FRACTION)
}

/// Returns the age of the last confirmation after which every VM reads the store.
pub fn max_confirmation_age(config_apply: Duration) -> Duration {
    MAX_CONFIRMATION_AGE.min(config_apply.mul_f64(MAX_CONFIRMATION_FRACTION))
}

/// Decides whether this VM reads the store.
///
/// `known` are the other VMs, in any order, also ones that are gone; `confirmation_age` is the time since the store
/// last confirmed the state of this VM, to it or to a VM linked with it, none if it never did; `max_age` is
/// [`max_confirmation_age`]; `is_starting` is whether the VM is within its [`start_delay`].
pub fn should_read(
    own: SocketAddr,
    known: &[SocketAddr],
    confirmation_age: Option<Duration>,
    max_age: Duration,
    is_starting: bool,
) -> bool {
    if confirmation_age.is_none_or(|age| age > max_age) {
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
