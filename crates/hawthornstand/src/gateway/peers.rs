//! The other VMs that this one has heard of.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::watch;

use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::pulls::Pulls;
use crate::gateway::readers;
use crate::gateway::settings::{GatewaySettings, Place};
use crate::gateway::state::State;
use crate::gateway::store_watch::ReadDuty;
use crate::ids::LinkId;
use crate::locks::lock;

/// Time in which a VM that reads the store hears of a change by itself.
const NEWS_DELAY: Duration = Duration::from_millis(300);

/// VMs that were heard of.
pub struct Peers {
    pub culprits: Arc<CrashTracker>,
    /// Sorted.
    pub known: watch::Sender<Vec<SocketAddr>>,
    pub own: SocketAddr,
    pub place: Place,
    pub pulls: Pulls,
    pub state: Arc<State>,
    link_bytes: Counter,
    linked: Mutex<Vec<SocketAddr>>,
    next_link: AtomicU64,
}

impl Peers {
    /// Creates the list of VMs with those that the settings name.
    pub fn new(
        own: SocketAddr,
        settings: &GatewaySettings,
        culprits: Arc<CrashTracker>,
        state: Arc<State>,
        link_bytes: Counter,
    ) -> Self {
        let peers = Self {
            culprits,
            known: watch::Sender::default(),
            own,
            place: settings.place.clone(),
            pulls: Pulls::default(),
            state,
            link_bytes,
            linked: Mutex::default(),
            next_link: AtomicU64::new(0),
        };
        peers.learn(&settings.seeds);
        peers
    }

    /// Counts bytes that were sent on a link.
    pub fn note_sent(&self, bytes: usize) {
        self.link_bytes.inc_by(bytes as u64);
    }

    /// Returns a number for a new link.
    pub fn number_link(&self) -> LinkId {
        self.next_link.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds VMs.
    pub fn learn(&self, addresses: &[SocketAddr]) {
        self.known.send_if_modified(|known| {
            let before = known.len();
            for address in addresses {
                if *address == self.own {
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
    pub fn hear_of(&self, addresses: &[SocketAddr]) {
        self.learn(addresses);
        let fleet = self.known.borrow().len() + 1;
        if fleet != self.state.directory.fleet() {
            self.state.directory.set_fleet(fleet);
        }
    }

    /// Returns a VM to open a link to.
    pub fn next(&self) -> Option<SocketAddr> {
        let mut linked = lock(&self.linked);
        let known = self.known.borrow();
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
    pub fn unlink(&self, address: SocketAddr) {
        lock(&self.linked).retain(|linked| *linked != address);
    }

    /// Returns the time in which this VM may hear of a change from the store; none if it knows nothing yet.
    pub fn patience(&self) -> Duration {
        let hears_soon = self.state.as_of() > 0 && !self.state.store_was_away() && self.reads();
        if hears_soon { NEWS_DELAY } else { Duration::ZERO }
    }

    /// Returns what this VM knows and how fresh it is.
    pub fn ping(&self) -> PeerMessage {
        PeerMessage::Ping {
            age_ms: self.state.age_of_knowledge().map(|age| age.as_millis() as u64),
            as_of: self.state.as_of(),
        }
    }
}

impl ReadDuty for Peers {
    fn reads(&self) -> bool {
        readers::reads(self.own, &self.known.borrow(), self.state.age_of_knowledge())
    }

    fn watch_wait(&self) -> Duration {
        readers::watch_wait(self.known.borrow().len() + 1)
    }
}
