//! Builders and fakes for in-process tests.
#![allow(dead_code)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrace::Span;
use hawthornstand::backends::backend_client::{BackendClient, BoxFuture, CallContext, CallError};
use hawthornstand::backends::leaf::Leaf;
use hawthornstand::configuration::published::{ConfigChanges, ConfigEntry, RawConfig};
use hawthornstand::ids::IndexVersion;
use hawthornstand::messages::{
    Hit, LeafAnswer, LeafBooking, LeafHealth, LeafHealthState, LeafSearch, SearchRequest,
    SliceRange,
};
use hawthornstand::process::clock::{Clock, SystemClock};
use hawthornstand::process::context::Context;
use hawthornstand::searches::search::Search;
use hawthornstand::settings::{self, DaemonSettings};
use tokio::time::Instant;

/// Clock whose wall-clock time is set by the test.
#[derive(Default)]
pub struct FakeClock {
    pub unix_ms: AtomicU64,
}

impl FakeClock {
    /// Advances the wall clock.
    pub fn advance_ms(&self, ms: u64) {
        self.unix_ms.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for FakeClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_ms(&self) -> u64 {
        1_000_000 + self.unix_ms.load(Ordering::SeqCst)
    }
}

/// Time after which a fake backend server answers a health check.
const HEALTH_DELAY: Duration = Duration::from_millis(500);

/// Returns the delay and result of a search on a fake backend server.
pub type Script =
    Box<dyn Fn(&Leaf, &LeafSearch) -> (Duration, Result<LeafAnswer, CallError>) + Send + Sync>;

/// Fake backend servers that follow a script and record the calls they receive.
pub struct FakeBackend {
    pub calls: Arc<Mutex<Vec<String>>>,
    pub script: Script,
}

impl BackendClient for FakeBackend {
    fn search<'a>(
        &'a self,
        leaf: &'a Leaf,
        search: &'a LeafSearch,
        context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<LeafAnswer, CallError>> {
        Box::pin(async move {
            self.calls.lock().unwrap().push(leaf.id.clone());
            let (delay, result) = (self.script)(leaf, search);
            tokio::time::timeout(context.remaining, tokio::time::sleep(delay))
                .await
                .map_err(|_| CallError::Timeout)?;
            result
        })
    }

    fn book<'a>(
        &'a self,
        leaf: &'a Leaf,
        _booking: &'a LeafBooking,
        _context: CallContext<'a>,
    ) -> BoxFuture<'a, Result<String, CallError>> {
        Box::pin(async move {
            self.calls.lock().unwrap().push(leaf.id.clone());
            Ok("booked".to_string())
        })
    }

    fn health<'a>(
        &'a self,
        leaf: &'a Leaf,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<LeafHealth, CallError>> {
        Box::pin(async {
            self.calls.lock().unwrap().push(format!("health of {}", leaf.id));
            tokio::time::sleep(HEALTH_DELAY).await;
            leaf.with_state(|state| {
                Ok(LeafHealth {
                    boot_id: state.boot_id,
                    in_flight: 0,
                    queued: 0,
                    slices: state.index_contents.slices.to_ranges(),
                    state: LeafHealthState::Serving,
                    versions: state.index_contents.versions.clone(),
                })
            })
        })
    }
}

/// Returns valid settings with additional lines.
pub fn settings_with(extra: &str) -> DaemonSettings {
    let text = format!(
        "vm_id: entry-1\nfleet: test\nregion: r\nfailure_domain: d\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\nadmin_address: 127.0.0.1:0\nplatform:\n  addresses: []\n{extra}"
    );
    settings::parse("test.yaml", &text).expect("valid settings")
}

/// Returns a published configuration with shards of ten slices and replicas `a`, `b`, ...
pub fn published(shards: u64, replicas: u64) -> RawConfig {
    let mut servers = String::from("backend_servers:\n");
    for shard in 0..shards {
        for replica in 0..replicas {
            let id = format!("leaf-{shard}-{}", (b'a' + replica as u8) as char);
            servers.push_str(&format!(
                "- {{id: {id}, address: \"127.0.0.1:1\", region: r, failure_domain: d, labels: {{pool: p}}, slots: 2, \
                 connection_limit: 25, slice_start: {}, slice_end: {}}}\n",
                shard * 10,
                shard * 10 + 10
            ));
        }
    }
    let services = format!(
        "services:\n- {{name: roster, selector: {{pool: p}}, slice_end: {}}}\n",
        shards * 10
    );
    let fleet = "{name: test, planned_vms: 9}".to_string();
    let entries = [("backend-servers/all", servers), ("fleet", fleet), ("services/all", services)]
        .into_iter()
        .map(|(key, value)| ConfigEntry { key: key.to_string(), revision: 1, value: Some(value) })
        .collect();
    let mut raw = RawConfig::default();
    raw.apply(&ConfigChanges { entries, revision: 1 });
    raw
}

/// Creates a context with scripted backend servers that all hold the given versions; also returns the calls made.
pub fn context(
    shards: u64,
    replicas: u64,
    versions: &[IndexVersion],
    extra: &str,
    script: Script,
) -> (Arc<Context>, Arc<Mutex<Vec<String>>>) {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let backend = FakeBackend { calls: Arc::clone(&calls), script };
    let context =
        Context::with_dependencies(settings_with(extra), Arc::new(SystemClock), Box::new(backend));
    context.config.apply_config(&published(shards, replicas));
    context.leafs.reconcile(&context.config, Instant::now());
    for leaf in context.leafs.all().iter() {
        let slices = leaf.with_state(|state| state.index_contents.slices.to_ranges());
        leaf.apply_health(&health(versions, slices), Instant::now());
    }
    context.leafs.bump_generation();
    (Arc::new(context), calls)
}

/// Returns the health of a backend server in state `Serving`.
pub fn health(versions: &[IndexVersion], slices: Vec<SliceRange>) -> LeafHealth {
    LeafHealth {
        boot_id: 1,
        in_flight: 0,
        queued: 0,
        slices,
        state: LeafHealthState::Serving,
        versions: versions.to_vec(),
    }
}

/// Returns the correct answer to a search, with one hit per slice.
pub fn answer(search: &LeafSearch) -> LeafAnswer {
    answer_for(search.version, &search.slices)
}

/// Returns an answer for slices at a version, with one hit per slice.
pub fn answer_for(version: IndexVersion, slices: &[SliceRange]) -> LeafAnswer {
    let mut hits = Vec::new();
    for range in slices {
        for slice in range.start..range.end {
            hits.push(Hit {
                key: format!("k{slice}"),
                record: format!("v{version}"),
                score: 1.0,
                slice,
            });
        }
    }
    LeafAnswer { hits, slices: slices.to_vec(), version, versions: vec![version] }
}

/// Returns a slice range.
pub fn range(start: u64, end: u64) -> SliceRange {
    SliceRange { start, end }
}

/// Returns a search of the service `roster`.
pub fn search_of(context: &Context, query: &str, complete_only: bool, timeout_ms: u64) -> Search {
    Search {
        complete_only,
        deadline_unix_ms: context.clock.unix_ms() + timeout_ms,
        request: SearchRequest { limit: 1000, query: query.to_string() },
        service: "roster".to_string(),
        span: Span::noop(),
    }
}
