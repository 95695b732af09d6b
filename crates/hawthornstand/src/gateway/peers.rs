//! The other VMs that this one has heard of.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::watch;

use crate::gateway::culprits::Culprits;
use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::pulls::PullScheduler;
use crate::gateway::readers;
use crate::gateway::settings::{GatewaySettings, Location};
use crate::gateway::state::PublishedState;
use crate::gateway::store_watch::ReadPolicy;
use crate::ids::LinkId;
use crate::locks::lock;

/// Time in which a VM that reads the store hears of a change by itself.
const NEWS_DELAY: Duration = Duration::from_millis(300);

/// VMs that were heard of.
pub struct Peers {
    pub crash_tracker: Arc<Culprits>,
    /// Sorted.
    pub known_addresses: watch::Sender<Vec<SocketAddr>>,
    pub location: Location,
    pub own_address: SocketAddr,
    pub pulls: PullScheduler,
    pub state: Arc<PublishedState>,
    link_bytes: Counter,
    linked: Mutex<Vec<SocketAddr>>,
    next_link_id: AtomicU64,
}

impl Peers {
    /// Creates the list of VMs with those that the settings name.
    pub fn new(
        own_address: SocketAddr,
        settings: &GatewaySettings,
        crash_tracker: Arc<Culprits>,
        state: Arc<PublishedState>,
        link_bytes: Counter,
    ) -> Self {
        let peers = Self {
            crash_tracker,
            known_addresses: watch::Sender::default(),
            location: settings.location.clone(),
            own_address,
            pulls: PullScheduler::default(),
            state,
            link_bytes,
            linked: Mutex::default(),
            next_link_id: AtomicU64::new(0),
        };
        peers.add(&settings.seeds);
        peers
    }

    /// Counts bytes that were sent on a link.
    pub fn count_sent_bytes(&self, bytes: usize) {
        self.link_bytes.inc_by(bytes as u64);
    }

    /// Returns a number for a new link.
    pub fn next_link_id(&self) -> LinkId {
        self.next_link_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds VMs.
    pub fn add(&self, addresses: &[SocketAddr]) {
        self.known_addresses.send_if_modified(|known| {
            let before = known.len();
            for address in addresses {
                if *address == self.own_address {
                    continue;
                }
                if let Err(index) = known.binary_search(address) {
                    known.insert(index, *address);
                }
            }
            known.len() > before
        });
    }

    /// Takes over what a link tells of the fleet.
    pub fn add_reported(&self, addresses: &[SocketAddr]) {
        self.add(addresses);
        let fleet = self.known_addresses.borrow().len() + 1;
        if fleet != self.state.directory.fleet_size() {
            self.state.directory.set_fleet_size(fleet);
        }
    }

    /// Returns a VM to open a link to.
    pub fn pick_unlinked(&self) -> Option<SocketAddr> {
        let mut linked = lock(&self.linked);
        let known = self.known_addresses.borrow();
        let free: Vec<SocketAddr> =
            known.iter().filter(|address| !linked.contains(address)).copied().collect();
        if free.is_empty() {
            return None;
        }
        let address = free[rand::random_range(0..free.len())];
        linked.push(address);
        Some(address)
    }

    /// Notes that a link has ended.
    pub fn release(&self, address: SocketAddr) {
        lock(&self.linked).retain(|linked| *linked != address);
    }

    /// Returns the time in which this VM may hear of a change from the store; none if it knows nothing yet.
    pub fn pull_delay(&self) -> Duration {
        let hears_soon = self.state.as_of() > 0
            && !self.state.store_recently_unreachable()
            && self.should_read();
        if hears_soon { NEWS_DELAY } else { Duration::ZERO }
    }

    /// Returns what this VM knows and how fresh it is.
    pub fn ping(&self) -> PeerMessage {
        PeerMessage::Ping {
            age_ms: self.state.confirmation_age().map(|age| age.as_millis() as u64),
            as_of: self.state.as_of(),
        }
    }
}

impl ReadPolicy for Peers {
    fn should_read(&self) -> bool {
        readers::should_read(
            self.own_address,
            &self.known_addresses.borrow(),
            self.state.confirmation_age(),
        )
    }

    fn watch_timeout(&self) -> Duration {
        readers::watch_timeout(self.known_addresses.borrow().len() + 1)
    }
}
