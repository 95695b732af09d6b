//! Stand-in for the platform: a configuration service that clients read by long polling, and the list of VMs.

use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::serve::{AcceptOptions, bind, serve};

/// Largest published value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// One entry of the list of VMs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedVm {
    #[serde(default)]
    pub address: String,
    pub failure_domain: String,
    pub id: String,
    pub kind: String,
    pub region: String,
    pub state: String,
}

/// Everything that is published at one time.
#[derive(Clone, Default)]
struct PublishedState {
    /// Revision and value by key; a deleted key has no value.
    entries: BTreeMap<String, (u64, Option<String>)>,
    list: Vec<ListedVm>,
    list_revision: u64,
    revision: u64,
}

struct PlatformState {
    calls: AtomicU64,
    /// Number of changes, to wake waiting watches.
    changed: watch::Sender<u64>,
    current: Mutex<PublishedState>,
}

/// The platform, whose state every replica serves.
#[derive(Clone)]
pub struct Platform {
    state: Arc<PlatformState>,
}

/// One replica of the platform, with its injected faults.
pub struct Replica {
    pub address: String,
    faults: Arc<Mutex<Faults>>,
    platform: Platform,
    task: Option<tokio::task::JoinHandle<()>>,
}

#[derive(Default)]
struct Faults {
    delay: Duration,
    /// State that a stale replica serves.
    frozen_state: Option<PublishedState>,
    /// Revision and list of VMs that a replica with an outdated list serves.
    frozen_list: Option<(u64, Vec<ListedVm>)>,
}

impl Default for Platform {
    fn default() -> Self {
        let state = PlatformState {
            calls: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            current: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }
}

impl Platform {
    /// Publishes a value under a key, or deletes the key if there is no value.
    ///
    /// Returns the new revision, or an error if the value is larger than 1 MiB.
    pub fn publish(&self, key: &str, value: Option<String>) -> Result<u64, String> {
        if value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
            return Err(format!("the value of {key} is larger than {MAX_VALUE_BYTES} bytes"));
        }
        let mut current = lock(&self.state.current);
        current.revision += 1;
        let revision = current.revision;
        current.entries.insert(key.to_string(), (revision, value));
        drop(current);
        self.state.changed.send_modify(|changes| *changes += 1);
        Ok(revision)
    }

    /// Sets the list of VMs.
    pub fn set_vm_list(&self, list: Vec<ListedVm>) {
        let mut current = lock(&self.state.current);
        current.list_revision += 1;
        current.list = list;
        drop(current);
        self.state.changed.send_modify(|changes| *changes += 1);
    }

    /// Returns the list of VMs.
    pub fn vm_list(&self) -> Vec<ListedVm> {
        lock(&self.state.current).list.clone()
    }

    /// Returns the number of requests received so far; a watch counts once, however long it waits.
    pub fn call_count(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Returns the latest published revision.
    pub fn revision(&self) -> u64 {
        lock(&self.state.current).revision
    }

    /// Starts a replica at an address.
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_replica(&self, address: &str) -> io::Result<Replica> {
        let mut replica = Replica {
            address: address.to_string(),
            faults: Arc::default(),
            platform: self.clone(),
            task: None,
        };
        replica.start_serving()?;
        Ok(replica)
    }
}

impl Replica {
    /// Starts serving.
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start_serving(&mut self) -> io::Result<()> {
        let listener = bind(&self.address)?;
        self.address = listener.local_addr()?.to_string();
        let (platform, faults) = (self.platform.clone(), Arc::clone(&self.faults));
        let handle = move |request| handle(platform.clone(), Arc::clone(&faults), request);
        self.task =
            Some(tokio::spawn(serve(listener, AcceptOptions::default(), Arc::default(), handle)));
        Ok(())
    }

    /// Stops serving and closes every connection.
    pub async fn stop_serving(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            let _ = task.await;
        }
    }

    /// Serves the current state from now on, whatever is published later.
    pub fn freeze_state(&self) {
        lock(&self.faults).frozen_state = Some(lock(&self.platform.state.current).clone());
    }

    /// Serves an empty state from now on, as a replica that has lost its data.
    pub fn serve_empty_state(&self) {
        lock(&self.faults).frozen_state = Some(PublishedState::default());
    }

    /// Serves the current list of VMs from now on, whatever list is published later.
    pub fn freeze_vm_list(&self) {
        let current = lock(&self.platform.state.current);
        lock(&self.faults).frozen_list = Some((current.list_revision, current.list.clone()));
    }

    /// Delays every response.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.faults).delay = delay;
    }

    /// Clears every fault and wakes the waiting watches.
    pub fn clear_faults(&self) {
        *lock(&self.faults) = Faults::default();
        self.platform.state.changed.send_modify(|changes| *changes += 1);
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Handles one request.
async fn handle(
    platform: Platform,
    faults: Arc<Mutex<Faults>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    platform.state.calls.fetch_add(1, Ordering::SeqCst);
    let delay = lock(&faults).delay;
    tokio::time::sleep(delay).await;
    let (method, path) = (request.method().clone(), request.uri().path().to_string());
    match (method, path.as_str()) {
        (Method::GET, "/watch") => {
            watch_changes(&platform, &faults, request.uri().query().unwrap_or("")).await
        }
        (Method::GET, "/calls") => json_response(200, &json!(platform.call_count())),
        // Routes for operators; they are not part of the contract between the system and the platform.
        (Method::PUT, path) if path.starts_with("/publish/") => {
            let key = path.trim_start_matches("/publish/").to_string();
            let Ok(body) = request.into_body().collect().await else {
                return json_response(400, &json!({}));
            };
            let text = String::from_utf8_lossy(&body.to_bytes()).to_string();
            match platform.publish(&key, (!text.is_empty()).then_some(text)) {
                Ok(revision) => json_response(200, &json!({ "revision": revision })),
                Err(error) => json_response(413, &json!({ "error": error })),
            }
        }
        (Method::PUT, "/list") => {
            let Ok(body) = request.into_body().collect().await else {
                return json_response(400, &json!({}));
            };
            match serde_json::from_slice(&body.to_bytes()) {
                Ok(list) => {
                    platform.set_vm_list(list);
                    json_response(200, &json!({}))
                }
                Err(e) => json_response(400, &json!({ "error": e.to_string() })),
            }
        }
        _ => json_response(404, &json!({})),
    }
}

/// Responds once a revision is newer than the given ones, or after the wait time of at most 60 s.
async fn watch_changes(
    platform: &Platform,
    faults: &Mutex<Faults>,
    query: &str,
) -> Response<Full<Bytes>> {
    let number = |name: &str| -> u64 {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
    };
    let (config_after, list_after) = (number("config_after"), number("list_after"));
    let wait = Duration::from_millis(number("wait_ms").min(60_000));
    let mut changed = platform.state.changed.subscribe();
    let deadline = tokio::time::Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        let visible = visible_state(platform, faults);
        if visible.revision > config_after || visible.list_revision > list_after {
            return json_response(200, &watch_response(&visible, config_after, list_after));
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return json_response(200, &watch_response(&visible, config_after, list_after));
        }
    }
}

/// Returns the state that a replica serves, with its faults applied.
fn visible_state(platform: &Platform, faults: &Mutex<Faults>) -> PublishedState {
    let faults = lock(faults);
    let mut visible =
        faults.frozen_state.clone().unwrap_or_else(|| lock(&platform.state.current).clone());
    if let Some((revision, list)) = &faults.frozen_list {
        visible.list_revision = *revision;
        visible.list = list.clone();
    }
    visible
}

/// Returns the body of a watch response: the changes after the given revisions.
fn watch_response(state: &PublishedState, config_after: u64, list_after: u64) -> Value {
    let mut entries = Vec::new();
    for (key, (revision, value)) in &state.entries {
        if *revision > config_after {
            entries.push(json!({ "key": key, "revision": revision, "value": value }));
        }
    }
    let mut body = json!({ "config": { "entries": entries, "revision": state.revision } });
    if state.list_revision > list_after {
        body["vms"] = json!({ "revision": state.list_revision, "vms": state.list });
    }
    body
}

/// Returns a response with a JSON body.
fn json_response(status: u16, value: &Value) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .body(Full::new(Bytes::from(value.to_string())))
        .unwrap_or_default()
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
