//! The other VMs of the fleet, as known from settings and links.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::crash_tracker::CrashTracker;
use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::pulls::PullScheduler;
use crate::gateway::readers;
use crate::gateway::relays::choice::{self, VmProfile};
use crate::gateway::settings::{GatewaySettings, Location};
use crate::gateway::state::PublishedState;
use crate::gateway::store_version::StoreVersion;
use crate::gateway::store_watch::ReadPolicy;
use crate::ids::LinkId;
use crate::locks::lock;

/// Time within which a VM that reads the store gets a change from its own watch.
const WATCH_DELAY: Duration = Duration::from_millis(300);

/// The known VMs, and what the links to them share.
pub struct Peers {
    pub crash_tracker: Arc<CrashTracker>,
    /// Addresses of the other VMs, also of ones that are gone; sorted.
    pub known_addresses: watch::Sender<Vec<SocketAddr>>,
    pub location: Location,
    pub own_address: SocketAddr,
    /// Profiles of VMs that may be relays, also of ones that are gone; sorted by address.
    pub profiles: watch::Sender<Vec<VmProfile>>,
    pub pulls: PullScheduler,
    pub started: Instant,
    pub state: Arc<PublishedState>,
    config_apply: Duration,
    link_bytes: Counter,
    /// Addresses to which this VM has a link open or is opening one.
    linked: Mutex<Vec<SocketAddr>>,
    next_link_id: AtomicU64,
    /// Until when this VM gets changes over its links only.
    starting_until: Instant,
}

impl Peers {
    /// Creates the list of VMs from the seeds in the settings.
    pub fn new(
        own_address: SocketAddr,
        settings: &GatewaySettings,
        crash_tracker: Arc<CrashTracker>,
        state: Arc<PublishedState>,
        link_bytes: Counter,
    ) -> Self {
        let peers = Self {
            crash_tracker,
            known_addresses: watch::Sender::default(),
            location: settings.location.clone(),
            own_address,
            profiles: watch::Sender::new(vec![VmProfile {
                address: own_address,
                cpu_millicores: settings.cpu_millicores,
                failure_domain: settings.location.failure_domain.clone(),
            }]),
            pulls: PullScheduler::default(),
            started: Instant::now(),
            state,
            config_apply: settings.config_apply,
            link_bytes,
            linked: Mutex::default(),
            next_link_id: AtomicU64::new(0),
            starting_until: Instant::now() + readers::start_delay(own_address, &settings.seeds),
        };
        peers.add(&settings.seeds);
        peers
    }

    /// Counts bytes sent on a link.
    pub fn count_sent_bytes(&self, bytes: usize) {
        self.link_bytes.inc_by(bytes as u64);
    }

    /// Returns an id for a new link.
    pub fn next_link_id(&self) -> LinkId {
        self.next_link_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Adds the addresses of VMs.
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

    /// Adds addresses received on a link, and updates the size of the fleet.
    pub fn add_reported(&self, addresses: &[SocketAddr]) {
        self.add(addresses);
        let fleet_size = self.known_addresses.borrow().len() + 1;
        if fleet_size != self.state.directory.fleet_size() {
            self.state.directory.set_fleet_size(fleet_size);
        }
    }

    /// Returns the known profiles, sorted by address.
    pub fn profiles(&self) -> Vec<VmProfile> {
        self.profiles.borrow().clone()
    }

    /// Adds profiles received on a link.
    pub fn add_profiles(&self, mut reported: Vec<VmProfile>) {
        // What this VM knows of itself is newer.
        reported.retain(|profile| profile.address != self.own_address);
        self.profiles.send_if_modified(|known| choice::merge(known, reported));
    }

    /// Returns the profiles to report to others: the best relays of each region, and this VM.
    pub fn reported_profiles(&self) -> Vec<VmProfile> {
        choice::reported(&self.profiles.borrow(), &self.location, self.own_address)
    }

    /// Picks a random VM without a link from here, and reserves it for a new link; none if there is none.
    pub fn pick_unlinked(&self) -> Option<SocketAddr> {
        let mut linked = lock(&self.linked);
        let known = self.known_addresses.borrow();
        let unlinked: Vec<SocketAddr> =
            known.iter().filter(|address| !linked.contains(address)).copied().collect();
        if unlinked.is_empty() {
            return None;
        }
        let address = unlinked[rand::random_range(0..unlinked.len())];
        linked.push(address);
        Some(address)
    }

    /// Makes a VM available for a new link once the last one is closed.
    pub fn release(&self, address: SocketAddr) {
        lock(&self.linked).retain(|linked| *linked != address);
    }

    /// Returns the time for which a pull is delayed because this VM may get the change from the store itself; zero if
    /// it has no state yet, does not read the store or fails to, or may lack entries.
    pub fn pull_delay(&self) -> Duration {
        let watches_store = self.state.as_of().revision > 0
            && !self.state.is_store_failing()
            && !self.state.may_lack_entries()
            && self.should_read();
        if watches_store { WATCH_DELAY } else { Duration::ZERO }
    }

    /// Returns a ping with the version of this VM and the age of its confirmation.
    pub fn ping(&self) -> PeerMessage {
        let StoreVersion { era, revision: as_of } = self.state.as_of();
        let age = self.state.confirmation_age_in_era();
        PeerMessage::Ping {
            age_ms: age.map(|age| age.as_millis() as u64),
            as_of,
            config_version: self.state.config_version(),
            era,
        }
    }
}

impl ReadPolicy for Peers {
    fn should_read(&self) -> bool {
        readers::should_read(
            self.own_address,
            &self.known_addresses.borrow(),
            self.state.confirmation_age(),
            readers::max_confirmation_age(self.config_apply),
            Instant::now() < self.starting_until,
        )
    }
}
