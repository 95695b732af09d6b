//! How often a VM reads the store, with paused time.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use gateway_support::settings;
use hawthornstand::gateway::items::{Change, Update};
use hawthornstand::gateway::model::{CallerLimits, Routing};
use hawthornstand::gateway::protocol::{
    ListConsistency, PublishedKey, PublishedStore, PublishedValue, StoreError, StoreList,
};
use hawthornstand::gateway::state::PublishedState;
use hawthornstand::gateway::store_version::StoreVersion;
use hawthornstand::gateway::store_watch::{self, AlwaysRead, ReadPolicy};
use hawthornstand::gateway::telemetry::Telemetry;
use hawthornstand::ids::Revision;
use hawthornstand::process::clock::SystemClock;
use hawthornstand::process::log_limit::LogLosses;

/// A store that refuses every read of this VM, or serves a stale list and then nothing new.
#[derive(Default)]
struct CountingStore {
    latest_lists: AtomicUsize,
    refuses: bool,
    stale_lists: AtomicUsize,
    watches: AtomicUsize,
}

fn list(revision: Revision, changes: Vec<Change>) -> StoreList {
    StoreList { as_of: StoreVersion { era: 0, revision }, changes }
}

fn routes() -> Change {
    let value = Some(Bytes::from_static(b"routes"));
    Change { after_outage: false, key: "routes".to_string(), revision: 3, value }
}

impl PublishedStore for CountingStore {
    fn list(&self, consistency: ListConsistency) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        let counter = match consistency {
            ListConsistency::Latest => &self.latest_lists,
            ListConsistency::MayBeStale => &self.stale_lists,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        let read = if self.refuses {
            Err(StoreError::Refused { era: None, status: 503 })
        } else {
            Ok(list(3, vec![routes()]))
        };
        Box::pin(async move { read })
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            Ok(list(after, Vec::new()))
        })
    }

    fn read_key(&self, _key: &str) -> PublishedKey {
        PublishedKey::Routing
    }

    fn read_value(&self, _key: &str, _value: &[u8]) -> Result<PublishedValue, String> {
        let limits = CallerLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        };
        Ok(PublishedValue::Routing(Routing {
            version: 1,
            routes: Vec::new(),
            services: Vec::new(),
            limits,
        }))
    }
}

/// Other VMs read the store for this one.
struct OthersRead;

impl ReadPolicy for OthersRead {
    fn should_read(&self) -> bool {
        false
    }
}

/// A store that has a state and a change, and answers open watches never; short ones show the state.
#[derive(Default)]
struct DeafStore {
    has_changed: AtomicBool,
    reads: AtomicUsize,
}

impl PublishedStore for DeafStore {
    fn list(&self, _consistency: ListConsistency) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Ok(list(3, vec![routes()])) })
    }

    fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StoreList, StoreError>> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            if wait > Duration::from_millis(100) {
                return std::future::pending().await;
            }
            tokio::time::sleep(wait).await;
            if after >= 4 || !self.has_changed.load(Ordering::Relaxed) {
                return Ok(list(after, Vec::new()));
            }
            Ok(list(4, vec![Change { revision: 4, ..routes() }]))
        })
    }

    fn read_key(&self, _key: &str) -> PublishedKey {
        PublishedKey::Unknown
    }

    fn read_value(&self, _key: &str, _value: &[u8]) -> Result<PublishedValue, String> {
        Err("unused".to_string())
    }
}

/// Starts a VM; returns its state.
fn start_with(store: Arc<dyn PublishedStore>, policy: Arc<dyn ReadPolicy>) -> Arc<PublishedState> {
    let telemetry = Arc::new(Telemetry::new(LogLosses::new(|| 0)));
    let (clock, shown) = (Arc::new(SystemClock), Arc::clone(&telemetry));
    let state = Arc::new(PublishedState::new(&settings(), clock, Arc::clone(&store), shown));
    let config_apply = settings().config_apply;
    tokio::spawn(store_watch::run(config_apply, Arc::clone(&state), store, policy, telemetry));
    state
}

/// Starts a VM whose store the others read, too.
fn start(store: &Arc<CountingStore>) -> Arc<PublishedState> {
    start_with(Arc::clone(store) as _, Arc::new(OthersRead))
}

/// Starts a VM without others.
fn start_alone(store: &Arc<DeafStore>) -> Arc<PublishedState> {
    start_with(Arc::clone(store) as _, Arc::new(AlwaysRead))
}

/// Pattern: the store is silent for a moment and never answers the watches that were open.
#[tokio::test(start_paused = true)]
async fn change_that_an_open_watch_does_not_return_is_known_within_the_time_for_changes() {
    for offset_ms in (0..3000).step_by(300) {
        let store = Arc::new(DeafStore::default());
        let state = start_alone(&store);
        tokio::time::sleep(Duration::from_millis(2000 + offset_ms)).await;
        assert_eq!(state.as_of().revision, 3);
        store.has_changed.store(true, Ordering::Relaxed);
        // Connecting and reading are not part of this model.
        tokio::time::sleep(settings().config_apply.mul_f64(0.6)).await;
        assert_eq!(state.as_of().revision, 4, "changed at {offset_ms} ms");
    }
}

/// Pattern: a calm day of a small fleet, in which each read costs.
#[tokio::test(start_paused = true)]
async fn state_that_other_vms_have_confirmed_is_not_checked() {
    let store = Arc::new(DeafStore::default());
    let state = start_alone(&store);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let reads = store.reads.load(Ordering::Relaxed);
    for _ in 0..100 {
        state.record_confirmation(0, Duration::ZERO);
        tokio::time::sleep(settings().config_apply.mul_f64(0.2)).await;
    }
    assert_eq!(store.reads.load(Ordering::Relaxed), reads);
}

#[tokio::test(start_paused = true)]
async fn started_vm_is_initialized_only_once_a_watch_has_confirmed_its_list() {
    let store = Arc::new(CountingStore::default());
    let state = start(&store);
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert!(state.active_config().is_some());
    assert!(!state.is_initialized(), "the list may be stale");
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(state.is_initialized());
    tokio::time::sleep(Duration::from_secs(20)).await;
    let reads = [&store.stale_lists, &store.latest_lists, &store.watches]
        .map(|counter| counter.load(Ordering::Relaxed));
    assert_eq!(reads, [1, 0, 1], "others read the store");
}

/// Pattern: a large fleet starts while the store turns a third of its VMs away.
#[tokio::test(start_paused = true)]
async fn vm_that_the_store_refuses_stops_reading_once_others_have_confirmed_its_state() {
    let store = Arc::new(CountingStore { refuses: true, ..CountingStore::default() });
    let state = start(&store);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let update =
        Update { after: 0, after_outage: false, as_of: 3, changes: vec![routes()], era: 0 };
    state.apply_update(&update, "peer");
    state.record_confirmation(0, Duration::ZERO);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lists =
        || store.stale_lists.load(Ordering::Relaxed) + store.latest_lists.load(Ordering::Relaxed);
    let reads = lists();
    assert!(reads > 1, "it tries until it knows the state");
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(lists(), reads);
}
