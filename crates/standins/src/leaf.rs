//! Stand-in for a backend server.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rand::Rng;
use serde_json::{Value, json};
use tokio::sync::{Notify, Semaphore};

use crate::leaf_model::{
    Behaviour, Booking, Execution, Search, SearchResponse, generate_hits, intersect_ranges,
};
use crate::serve::{AcceptOptions, ConnectionCounts, bind, serve};

/// Configuration of a stand-in backend server.
#[derive(Clone, Debug)]
pub struct LeafOptions {
    pub accept: AcceptOptions,
    pub address: String,
    pub behaviour: Behaviour,
    pub slots: usize,
}

/// State shared by the connections of a stand-in.
struct ServerState {
    behaviour: Mutex<Behaviour>,
    boot_id: u64,
    crash_signal: Notify,
    crashed: AtomicBool,
    executions: Arc<Mutex<Vec<Execution>>>,
    initial_behaviour: Behaviour,
    queued: AtomicUsize,
    slots: Semaphore,
    total_slots: usize,
}

/// A running stand-in; dropping it closes every connection at once.
pub struct Leaf {
    pub address: String,
    pub connections: Arc<ConnectionCounts>,
    executions: Arc<Mutex<Vec<Execution>>>,
    options: LeafOptions,
    state: Arc<ServerState>,
    task: tokio::task::JoinHandle<()>,
}

impl Leaf {
    /// Starts a stand-in.
    pub fn start(options: LeafOptions) -> io::Result<Self> {
        Self::start_with_records(options, Arc::default(), Arc::default())
    }

    /// Stops the stand-in and closes every connection at once, as a killed process does.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Returns whether the stand-in is running, that is, was neither killed nor crashed.
    ///
    /// The connections close a moment before the task counts as finished, so a crash sets a flag of its own.
    pub fn is_running(&self) -> bool {
        !self.task.is_finished() && !self.state.crashed.load(Ordering::Acquire)
    }

    /// Restarts the stand-in at its address and keeps its execution records.
    ///
    /// Returns an error if the address is still in use after 100 attempts, 10 ms apart.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.task.abort();
        let behaviour = Behaviour { draining: false, ..self.behaviour() };
        let options = LeafOptions { behaviour, ..self.options.clone() };
        for _ in 0..100 {
            match Self::start_with_records(
                options.clone(),
                Arc::clone(&self.executions),
                Arc::clone(&self.connections),
            ) {
                Ok(leaf) => {
                    *self = leaf;
                    return Ok(());
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    /// Changes the behaviour.
    pub fn update_behaviour(&self, update: impl FnOnce(&mut Behaviour)) {
        update(&mut lock(&self.state.behaviour));
    }

    /// Returns the current behaviour.
    pub fn behaviour(&self) -> Behaviour {
        lock(&self.state.behaviour).clone()
    }

    /// Returns every execution since the first start, restarts included.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Starts a stand-in with existing execution records and connection counts.
    fn start_with_records(
        options: LeafOptions,
        executions: Arc<Mutex<Vec<Execution>>>,
        connections: Arc<ConnectionCounts>,
    ) -> io::Result<Self> {
        let listener = bind(&options.address)?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(ServerState {
            behaviour: Mutex::new(options.behaviour.clone()),
            boot_id: rand::random_range(1..u64::MAX),
            crash_signal: Notify::new(),
            crashed: AtomicBool::new(false),
            executions: Arc::clone(&executions),
            initial_behaviour: options.behaviour.clone(),
            queued: AtomicUsize::new(0),
            slots: Semaphore::new(options.slots),
            total_slots: options.slots,
        });
        let (accept, counts, handler_state) =
            (options.accept.clone(), Arc::clone(&connections), Arc::clone(&state));
        let task = tokio::spawn(async move {
            let crash_state = Arc::clone(&handler_state);
            let handle = move |request| handle(Arc::clone(&handler_state), request);
            tokio::select! {
                () = serve(listener, accept, counts, handle) => {}
                () = crash_state.crash_signal.notified() => {}
            }
        });
        let options = LeafOptions { address: address.clone(), ..options };
        Ok(Self { address, connections, executions, options, state, task })
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Handles one request.
async fn handle(state: Arc<ServerState>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (request.method().clone(), request.uri().path().to_string());
    match (method, path.as_str()) {
        (Method::GET, "/health") => health_response(&state),
        (Method::GET, "/executions") => json_response(200, &json!(*lock(&state.executions))),
        (Method::POST, "/behaviour") => change_behaviour(&state, request).await,
        (Method::POST, "/search" | "/book") => run(&state, &path, request).await,
        _ => json_response(404, &json!({})),
    }
}

/// Reports health; with `health_lies` set, for the behaviour at the start.
fn health_response(state: &ServerState) -> Response<Full<Bytes>> {
    let current = lock(&state.behaviour).clone();
    let behaviour = if current.health_lies { state.initial_behaviour.clone() } else { current };
    let serving_state = match (behaviour.draining, behaviour.cold) {
        (true, _) => "draining",
        (false, true) => "cold",
        (false, false) => "serving",
    };
    json_response(
        200,
        &json!({
            "boot_id": state.boot_id,
            "in_flight": state.total_slots - state.slots.available_permits(),
            "queued": state.queued.load(Ordering::Relaxed),
            "slices": behaviour.slices,
            "state": serving_state,
            "versions": behaviour.versions,
        }),
    )
}

/// Merges the fields of a JSON object into the behaviour.
async fn change_behaviour(
    state: &ServerState,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Ok(body) = request.into_body().collect().await else {
        return json_response(400, &json!({}));
    };
    let Ok(Value::Object(changes)) = serde_json::from_slice(&body.to_bytes()) else {
        return json_response(400, &json!({ "error": "an object is needed" }));
    };
    let mut behaviour = lock(&state.behaviour);
    let Ok(mut merged) = serde_json::to_value(&*behaviour) else {
        return json_response(500, &json!({}));
    };
    for (field, value) in changes {
        merged[field] = value;
    }
    match serde_json::from_value(merged) {
        Ok(changed) => {
            *behaviour = changed;
            json_response(200, &json!({}))
        }
        Err(e) => json_response(400, &json!({ "error": e.to_string() })),
    }
}

/// Runs a search or a booking in a slot, or refuses it before it runs.
async fn run(state: &ServerState, path: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let header = |name| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_string()
    };
    let request_id = header("request-id");
    let deadline_unix_ms: u64 = header("deadline-unix-ms").parse().unwrap_or(0);
    let Ok(body) = request.into_body().collect().await else {
        return json_response(400, &json!({}));
    };
    let body = body.to_bytes();
    let behaviour = lock(&state.behaviour).clone();
    if behaviour.draining {
        return refusal_response(&behaviour, "draining");
    }
    if behaviour.cold {
        return refusal_response(&behaviour, "cold");
    }
    let search: Option<Search> =
        if path == "/search" { serde_json::from_slice(&body).ok() } else { None };
    if search.as_ref().is_some_and(|search| !behaviour.versions.contains(&search.version)) {
        return refusal_response(&behaviour, "version");
    }
    let Some(_slot) = wait_for_slot(state, &behaviour).await else {
        return refusal_response(&behaviour, "overloaded");
    };
    if deadline_unix_ms > 0 && unix_ms() >= deadline_unix_ms {
        return refusal_response(&behaviour, "deadline");
    }
    let kind = path.trim_start_matches('/').to_string();
    let payload = String::from_utf8_lossy(&body).to_string();
    let crashes = behaviour.crash_on.as_ref().is_some_and(|text| payload.contains(text.as_str()));
    if path == "/book" || crashes {
        lock(&state.executions).push(Execution { kind, payload, request_id });
    }
    if crashes {
        state.crashed.store(true, Ordering::Release);
        state.crash_signal.notify_one();
        std::future::pending::<()>().await;
    }
    if behaviour.stuck {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(random_service_time(&behaviour)).await;
    match search {
        Some(search) => search_response(&behaviour, &search),
        None if path == "/search" => json_response(400, &json!({ "error": "not a search" })),
        None => match serde_json::from_slice::<Booking>(&body) {
            Ok(booking) => json_response(
                200,
                &json!(format!("booked {} in slice {}", booking.key, booking.slice)),
            ),
            Err(e) => json_response(400, &json!({ "error": e.to_string() })),
        },
    }
}

/// Waits for a slot; returns none if `queue_limit` requests are waiting already.
async fn wait_for_slot<'a>(
    state: &'a ServerState,
    behaviour: &Behaviour,
) -> Option<tokio::sync::SemaphorePermit<'a>> {
    if let Ok(slot) = state.slots.try_acquire() {
        return Some(slot);
    }
    if state.queued.load(Ordering::SeqCst) >= behaviour.queue_limit {
        return None;
    }
    state.queued.fetch_add(1, Ordering::SeqCst);
    let _queued = QueuedGuard(&state.queued);
    state.slots.acquire().await.ok()
}

/// Counts a request as queued until dropped.
struct QueuedGuard<'a>(&'a AtomicUsize);

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Returns the response to a search: hits for the requested slices that the server holds.
fn search_response(behaviour: &Behaviour, search: &Search) -> Response<Full<Bytes>> {
    let slices = intersect_ranges(&search.slices, &behaviour.slices);
    let body = SearchResponse {
        hits: generate_hits(search, &slices),
        slices,
        version: search.version,
        versions: behaviour.versions.iter().copied().collect(),
    };
    let mut response = json_response(200, &json!(body));
    if behaviour.malformed {
        let text = json!(body).to_string();
        *response.body_mut() = Full::new(Bytes::from(text[..text.len() / 2].to_string()));
    }
    response
}

/// Returns a random service time within 30 % of the mean, multiplied by three for one request in a hundred.
fn random_service_time(behaviour: &Behaviour) -> Duration {
    let mut rng = rand::rng();
    let tail = if rng.random_range(0..100) == 0 { 3.0 } else { 1.0 };
    behaviour.service_time.mul_f64(behaviour.slowdown * tail * rng.random_range(0.7..1.3))
}

/// Returns the response to a request that was refused before it ran.
fn refusal_response(behaviour: &Behaviour, reason: &str) -> Response<Full<Bytes>> {
    let status = if reason == "version" { 409 } else { 503 };
    json_response(status, &json!({ "reason": reason, "versions": behaviour.versions }))
}

/// Returns a response with a JSON body; a string is sent as plain text.
fn json_response(status: u16, value: &Value) -> Response<Full<Bytes>> {
    let body = match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    Response::builder().status(status).body(Full::new(Bytes::from(body))).unwrap_or_default()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Locks a mutex, ignoring poisoning by a panic in another thread.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
