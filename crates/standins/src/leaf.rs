//! Stand-in backend server.

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

use crate::leaf_model::{Answer, Behaviour, Booking, Execution, Search, held, hits};
use crate::serve::{AcceptOptions, ConnectionCounts, bind, serve};

/// How a stand-in backend server is set up.
#[derive(Clone, Debug)]
pub struct LeafOptions {
    pub accept: AcceptOptions,
    pub address: String,
    pub behaviour: Behaviour,
    pub slots: usize,
}

struct State {
    behaviour: Mutex<Behaviour>,
    boot_id: u64,
    crash: Notify,
    crashed: AtomicBool,
    executions: Arc<Mutex<Vec<Execution>>>,
    initial: Behaviour,
    queued: AtomicUsize,
    slots: Semaphore,
    slots_total: usize,
}

/// A running stand-in; stopping it drops every connection at once.
pub struct Leaf {
    pub address: String,
    pub connections: Arc<ConnectionCounts>,
    executions: Arc<Mutex<Vec<Execution>>>,
    options: LeafOptions,
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

impl Leaf {
    /// Starts a stand-in.
    pub fn start(options: LeafOptions) -> io::Result<Self> {
        Self::start_with(options, Arc::default(), Arc::default())
    }

    /// Kills it without warning.
    pub fn kill(&self) {
        self.task.abort();
    }

    /// Returns whether it runs; a crash ends it.
    ///
    /// Connections close a moment before the task counts as finished, so a crash is noted by itself.
    pub fn is_running(&self) -> bool {
        !self.task.is_finished() && !self.state.crashed.load(Ordering::Acquire)
    }

    /// Starts it again at its address, with its record of executions kept.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.task.abort();
        let behaviour = Behaviour { draining: false, ..self.behaviour() };
        let options = LeafOptions { behaviour, ..self.options.clone() };
        for _ in 0..100 {
            match Self::start_with(
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

    /// Changes its behaviour.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut lock(&self.state.behaviour));
    }

    /// Returns its behaviour.
    pub fn behaviour(&self) -> Behaviour {
        lock(&self.state.behaviour).clone()
    }

    /// Returns every execution since the first start.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// Starts with a given record.
    fn start_with(
        options: LeafOptions,
        executions: Arc<Mutex<Vec<Execution>>>,
        connections: Arc<ConnectionCounts>,
    ) -> io::Result<Self> {
        let listener = bind(&options.address)?;
        let address = listener.local_addr()?.to_string();
        let state = Arc::new(State {
            behaviour: Mutex::new(options.behaviour.clone()),
            boot_id: rand::random_range(1..u64::MAX),
            crash: Notify::new(),
            crashed: AtomicBool::new(false),
            executions: Arc::clone(&executions),
            initial: options.behaviour.clone(),
            queued: AtomicUsize::new(0),
            slots: Semaphore::new(options.slots),
            slots_total: options.slots,
        });
        let (accept, counts, serving) =
            (options.accept.clone(), Arc::clone(&connections), Arc::clone(&state));
        let task = tokio::spawn(async move {
            let crashing = Arc::clone(&serving);
            let handle = move |request| handle(Arc::clone(&serving), request);
            tokio::select! {
                () = serve(listener, accept, counts, handle) => {}
                () = crashing.crash.notified() => {}
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

/// Answers one request.
async fn handle(state: Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (request.method().clone(), request.uri().path().to_string());
    match (method, path.as_str()) {
        (Method::GET, "/health") => health(&state),
        (Method::GET, "/executions") => reply(200, &json!(*lock(&state.executions))),
        (Method::POST, "/behaviour") => change_behaviour(&state, request).await,
        (Method::POST, "/search" | "/book") => run(&state, &path, request).await,
        _ => reply(404, &json!({})),
    }
}

/// Tells health; a lying one tells the state of the start.
fn health(state: &State) -> Response<Full<Bytes>> {
    let current = lock(&state.behaviour).clone();
    let behaviour = if current.health_lies { state.initial.clone() } else { current };
    let word = match (behaviour.draining, behaviour.cold) {
        (true, _) => "draining",
        (false, true) => "cold",
        (false, false) => "serving",
    };
    reply(
        200,
        &json!({
            "boot_id": state.boot_id,
            "in_flight": state.slots_total - state.slots.available_permits(),
            "queued": state.queued.load(Ordering::Relaxed),
            "slices": behaviour.slices,
            "state": word,
            "versions": behaviour.versions,
        }),
    )
}

/// Merges given fields into the behaviour.
async fn change_behaviour(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Ok(body) = request.into_body().collect().await else { return reply(400, &json!({})) };
    let Ok(Value::Object(changes)) = serde_json::from_slice(&body.to_bytes()) else {
        return reply(400, &json!({ "error": "an object is needed" }));
    };
    let mut behaviour = lock(&state.behaviour);
    let Ok(mut merged) = serde_json::to_value(&*behaviour) else { return reply(500, &json!({})) };
    for (field, value) in changes {
        merged[field] = value;
    }
    match serde_json::from_value(merged) {
        Ok(changed) => {
            *behaviour = changed;
            reply(200, &json!({}))
        }
        Err(e) => reply(400, &json!({ "error": e.to_string() })),
    }
}

/// Runs a search or a booking in a slot, or refuses it before running.
async fn run(state: &State, path: &str, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let header = |name| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("").to_string()
    };
    let request_id = header("request-id");
    let deadline_unix_ms: u64 = header("deadline-unix-ms").parse().unwrap_or(0);
    let Ok(body) = request.into_body().collect().await else { return reply(400, &json!({})) };
    let body = body.to_bytes();
    let behaviour = lock(&state.behaviour).clone();
    if behaviour.draining {
        return refuse(&behaviour, "draining");
    }
    if behaviour.cold {
        return refuse(&behaviour, "cold");
    }
    let search: Option<Search> =
        if path == "/search" { serde_json::from_slice(&body).ok() } else { None };
    if search.as_ref().is_some_and(|search| !behaviour.versions.contains(&search.version)) {
        return refuse(&behaviour, "version");
    }
    let Some(_slot) = wait_for_slot(state, &behaviour).await else {
        return refuse(&behaviour, "overloaded");
    };
    if deadline_unix_ms > 0 && unix_ms() >= deadline_unix_ms {
        return refuse(&behaviour, "deadline");
    }
    let kind = path.trim_start_matches('/').to_string();
    let payload = String::from_utf8_lossy(&body).to_string();
    let crashes = behaviour.crash_on.as_ref().is_some_and(|text| payload.contains(text.as_str()));
    if path == "/book" || crashes {
        lock(&state.executions).push(Execution { kind, payload, request_id });
    }
    if crashes {
        state.crashed.store(true, Ordering::Release);
        state.crash.notify_one();
        std::future::pending::<()>().await;
    }
    if behaviour.stuck {
        std::future::pending::<()>().await;
    }
    tokio::time::sleep(service_time(&behaviour)).await;
    match search {
        Some(search) => answer(&behaviour, &search),
        None if path == "/search" => reply(400, &json!({ "error": "not a search" })),
        None => match serde_json::from_slice::<Booking>(&body) {
            Ok(booking) => {
                reply(200, &json!(format!("booked {} in slice {}", booking.key, booking.slice)))
            }
            Err(e) => reply(400, &json!({ "error": e.to_string() })),
        },
    }
}

/// Waits for a slot; none where too many wait already.
async fn wait_for_slot<'a>(
    state: &'a State,
    behaviour: &Behaviour,
) -> Option<tokio::sync::SemaphorePermit<'a>> {
    if let Ok(slot) = state.slots.try_acquire() {
        return Some(slot);
    }
    if state.queued.load(Ordering::SeqCst) >= behaviour.queue_limit {
        return None;
    }
    state.queued.fetch_add(1, Ordering::SeqCst);
    let _queued = Queued(&state.queued);
    state.slots.acquire().await.ok()
}

struct Queued<'a>(&'a AtomicUsize);

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Answers a search with the slices really held.
fn answer(behaviour: &Behaviour, search: &Search) -> Response<Full<Bytes>> {
    let slices = held(&search.slices, &behaviour.slices);
    let answer = Answer {
        hits: hits(search, &slices),
        slices,
        version: search.version,
        versions: behaviour.versions.iter().copied().collect(),
    };
    let mut response = reply(200, &json!(answer));
    if behaviour.malformed {
        let text = json!(answer).to_string();
        *response.body_mut() = Full::new(Bytes::from(text[..text.len() / 2].to_string()));
    }
    response
}

/// Returns a service time around the mean, with a tail: one in a hundred takes three times as long.
fn service_time(behaviour: &Behaviour) -> Duration {
    let mut rng = rand::rng();
    let tail = if rng.random_range(0..100) == 0 { 3.0 } else { 1.0 };
    behaviour.service_time.mul_f64(behaviour.slowdown * tail * rng.random_range(0.7..1.3))
}

/// Refuses a request that was not run.
fn refuse(behaviour: &Behaviour, reason: &str) -> Response<Full<Bytes>> {
    let status = if reason == "version" { 409 } else { 503 };
    reply(status, &json!({ "reason": reason, "versions": behaviour.versions }))
}

/// Writes a JSON answer.
fn reply(status: u16, value: &Value) -> Response<Full<Bytes>> {
    let body = match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    Response::builder().status(status).body(Full::new(Bytes::from(body))).unwrap_or_default()
}

/// Returns the wall-clock time.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Locks a mutex, also after a panic elsewhere.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
