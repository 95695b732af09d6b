//! All backend servers of the accepted configuration.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use tokio::time::Instant;

use crate::backends::connect_rate_limiter::ConnectRateLimiter;
use crate::backends::connection_groups::split_connections;
use crate::backends::connection_pool::{ConnectionOptions, ConnectionPool};
use crate::backends::leaf::Leaf;
use crate::configuration::config_store::ConfigStore;
use crate::configuration::published::{AcceptedConfig, ConfiguredLeaf, Phase};
use crate::ids::{BootId, LeafId};
use crate::settings::BackendSettings;

/// Backend servers, sorted by id, with a generation that is incremented when routing plans have to be rebuilt.
pub struct LeafTable {
    generation: AtomicU64,
    leafs: RwLock<Arc<Vec<Arc<Leaf>>>>,
    rate_limiter: Arc<ConnectRateLimiter>,
    settings: BackendSettings,
    source_ip: IpAddr,
}

impl LeafTable {
    /// Creates an empty table; connections are opened from `source_ip`.
    pub fn new(settings: BackendSettings, source_ip: IpAddr) -> Self {
        let rate_limiter = Arc::new(ConnectRateLimiter::new(settings.connects_per_s));
        Self {
            generation: AtomicU64::new(1),
            leafs: RwLock::default(),
            rate_limiter,
            settings,
            source_ip,
        }
    }

    /// Updates the table from the accepted configuration and the VM list.
    ///
    /// Entries with the same address and block are kept, with their connections.
    pub fn reconcile(&self, store: &ConfigStore, now: Instant) {
        let Some(accepted) = store.accepted() else { return };
        let list = store.list();
        let current = self.all();
        let mut next: Vec<Arc<Leaf>> = Vec::with_capacity(accepted.leafs.len());
        for configured in &accepted.leafs {
            let leaf = match find(&current, &configured.server.id) {
                Some(existing) if can_reuse(existing, configured) => Arc::clone(existing),
                _ => Arc::new(self.create(&accepted, configured)),
            };
            let listed = list.vms.binary_search_by(|vm| vm.id.cmp(&configured.server.id)).ok();
            let listed_leaving = listed.is_some_and(|index| list.vms[index].leaving);
            leaf.update(|state| {
                if state.phase != Phase::Serving && configured.phase == Phase::Serving {
                    state.slow_start_since = Some(now);
                }
                state.phase = configured.phase;
                state.listed_leaving = listed_leaving;
            });
            next.push(leaf);
        }
        *self.leafs.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(next);
        self.bump_generation();
    }

    /// Returns every backend server, sorted by id.
    pub fn all(&self) -> Arc<Vec<Arc<Leaf>>> {
        self.leafs.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the backend server with the given id.
    pub fn get(&self, id: &LeafId) -> Option<Arc<Leaf>> {
        find(&self.all(), id).cloned()
    }

    /// Returns the current generation; plans of an earlier one are stale.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Acquire)
    }

    /// Increments the generation, which makes every cached plan stale.
    pub fn bump_generation(&self) {
        self.generation.fetch_add(1, Ordering::Release);
    }

    /// Records that a backend server reported that it is leaving; returns whether this was not known before.
    ///
    /// A report of another process of the backend server (another boot id) changes nothing.
    pub fn mark_leaving(&self, id: &LeafId, boot_id: BootId) -> bool {
        let Some(leaf) = self.get(id) else { return false };
        let mut changed = false;
        leaf.update(|state| {
            let same_process = state.boot_id == 0 || state.boot_id == boot_id;
            changed = same_process && !state.reported_leaving;
            if changed {
                state.reported_leaving = true;
                state.boot_id = boot_id;
            }
        });
        if changed {
            self.bump_generation();
        }
        changed
    }

    /// Creates the entry of a backend server.
    fn create(&self, accepted: &AcceptedConfig, configured: &ConfiguredLeaf) -> Leaf {
        let split = split_connections(&accepted.fleet, configured.server.connection_limit);
        let options = ConnectionOptions {
            connect_timeout: Duration::from_millis(self.settings.connect_timeout_ms),
            max_connections: split.connections_per_vm as usize,
            rate_limiter: Arc::clone(&self.rate_limiter),
            reconnect_backoff: Duration::from_millis(self.settings.reconnect_backoff_ms),
            source_ip: self.source_ip,
            target_connections: self.settings.max_connections_per_leaf as usize,
        };
        let connections = ConnectionPool::new(&configured.server.address, options);
        Leaf::new(configured, connections)
    }
}

/// Returns the backend server with the given id from a list sorted by id.
fn find<'a>(leafs: &'a [Arc<Leaf>], id: &LeafId) -> Option<&'a Arc<Leaf>> {
    let index = leafs.binary_search_by(|leaf| leaf.id.cmp(id)).ok()?;
    Some(&leafs[index])
}

/// Returns whether an existing entry fits the published backend server.
fn can_reuse(existing: &Leaf, configured: &ConfiguredLeaf) -> bool {
    existing.address == configured.server.address && existing.block == configured.block
}
