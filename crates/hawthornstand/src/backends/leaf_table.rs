//! All backend servers of the accepted configuration.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::connect_rate_limiter::ConnectRateLimiter;
use crate::backends::connection_groups::split_connections;
use crate::backends::connections::{ConnectionOptions, Connections};
use crate::backends::leaf::Leaf;
use crate::configuration::config_store::ConfigStore;
use crate::configuration::published::{Accepted, Phase, PlacedLeaf};
use crate::ids::{BootId, LeafId};
use crate::settings::BackendSettings;

/// Backend servers, sorted by identity, with a generation that rises when routing must be planned anew.
pub struct LeafTable {
    generation: AtomicU64,
    leafs: RwLock<Arc<Vec<Arc<Leaf>>>>,
    rate: Arc<ConnectRateLimiter>,
    settings: BackendSettings,
    source: IpAddr,
}

impl LeafTable {
    /// Creates an empty table.
    pub fn new(settings: BackendSettings, source: IpAddr) -> Self {
        let rate = Arc::new(ConnectRateLimiter::new(settings.connects_per_s));
        Self { generation: AtomicU64::new(1), leafs: RwLock::default(), rate, settings, source }
    }

    /// Brings the table in line with the accepted configuration and the VM list.
    pub fn reconcile(&self, store: &ConfigStore, now: Instant) {
        let Some(accepted) = store.accepted() else { return };
        let list = store.list();
        let current = self.all();
        let mut next: Vec<Arc<Leaf>> = Vec::with_capacity(accepted.leafs.len());
        for placed in &accepted.leafs {
            let leaf = match find(&current, &placed.server.id) {
                Some(known) if keeps(known, placed) => Arc::clone(known),
                _ => Arc::new(self.create(&accepted, placed)),
            };
            let listed = list.vms.binary_search_by(|vm| vm.id.cmp(&placed.server.id)).ok();
            let listed_leaving = listed.is_some_and(|index| list.vms[index].leaving);
            leaf.update(|state| {
                if state.phase != Phase::Serving && placed.phase == Phase::Serving {
                    state.slow_start_since = Some(now);
                }
                state.phase = placed.phase;
                state.listed_leaving = listed_leaving;
            });
            next.push(leaf);
        }
        *self.leafs.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.bump_generation();
    }

    /// Returns every backend server, sorted by identity.
    pub fn all(&self) -> Arc<Vec<Arc<Leaf>>> {
        self.leafs.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Looks a backend server up.
    pub fn get(&self, id: &LeafId) -> Option<Arc<Leaf>> {
        find(&self.all(), id).cloned()
    }

    /// Returns the generation that plans are made for.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Makes every plan stale.
    pub fn bump_generation(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Notes that a backend server said it is leaving; returns whether that was news.
    pub fn note_leaving(&self, id: &LeafId, boot_id: BootId) -> bool {
        let Some(leaf) = self.get(id) else { return false };
        let mut news = false;
        leaf.update(|state| {
            let same_incarnation = state.boot_id == 0 || state.boot_id == boot_id;
            news = same_incarnation && !state.reported_leaving;
            if news {
                state.reported_leaving = true;
                state.boot_id = boot_id;
            }
        });
        if news {
            self.bump_generation();
        }
        news
    }

    /// Creates the entry of a backend server.
    fn create(&self, accepted: &Accepted, placed: &PlacedLeaf) -> Leaf {
        let division = split_connections(&accepted.fleet, placed.server.connection_limit);
        let options = ConnectionOptions {
            backoff: Duration::from_millis(self.settings.reconnect_backoff_ms),
            connect_timeout: Duration::from_millis(self.settings.connect_timeout_ms),
            rate: Arc::clone(&self.rate),
            share: division.connections_per_vm as usize,
            source: self.source,
            wanted: self.settings.max_connections_per_leaf as usize,
        };
        let connections = Connections::new(&placed.server.address, options);
        Leaf::new(placed, connections)
    }
}

/// Looks a backend server up in a sorted list.
fn find<'a>(leafs: &'a [Arc<Leaf>], id: &LeafId) -> Option<&'a Arc<Leaf>> {
    let index = leafs.binary_search_by(|leaf| leaf.id.cmp(id)).ok()?;
    Some(&leafs[index])
}

/// Returns whether a known entry can stand for the published one.
fn keeps(known: &Leaf, placed: &PlacedLeaf) -> bool {
    known.address == placed.server.address && known.block == placed.block
}
