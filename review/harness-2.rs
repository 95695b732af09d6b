//! Stand-ins for the store, backend servers and callers, and the scripts of the cases that use them.
//!
//! Usage: `harness-2 CASE RECORD`, in the repository's root. Exits with 1 if the rule of the case was broken, with 0 if it
//! held, and with 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time after which a script gives up: the limit is 120 s.
const WATCHDOG: Duration = Duration::from_secs(110);
/// `heartbeatMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(4000);
/// `stableWindowMs` of the settings.
const STABLE_WINDOW: Duration = Duration::from_millis(5000);
/// `historyS` of the settings.
const HISTORY: Duration = Duration::from_secs(20);
/// Limits of a page of a list.
const MAX_PAGE_BYTES: usize = 1_000_000;
const MAX_PAGE_ITEMS: usize = 500;
/// `configApplyMs` of the settings.
const CONFIG_APPLY: Duration = Duration::from_millis(4000);

/// Why a script could not run.
type Failure = Box<dyn std::error::Error>;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

// ------------------------------------------------------------------ record

/// Record of what was sent, answered and run.
#[derive(Clone)]
struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(path: &str) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds(Instant::now()));
        // The record is for the reader; the verdict does not depend on it.
        let _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Notes and prints a line.
    fn say(&self, text: &str) {
        self.note(text);
        println!("{:8.3} s  {text}", self.seconds(Instant::now()));
    }
}

// ------------------------------------------------------------------ HTTP

/// Head and body of a request or response.
#[derive(Debug, Default)]
struct HttpMessage {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl HttpMessage {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message with a length; none if the connection ended before its first byte.
fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<HttpMessage>> {
    let mut chunk = [0_u8; 4096];
    let head_end = loop {
        if let Some(at) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return if buffer.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        buffer.extend_from_slice(&chunk[..read]);
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    buffer.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = HttpMessage {
        first_line: lines.next().unwrap_or("").to_string(),
        ..HttpMessage::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    while buffer.len() < length {
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

fn response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let bits = chunk.iter().fold(0_u32, |bits, byte| (bits << 8) | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                text.push(ALPHABET[(bits >> (18 - 6 * index)) as usize & 63] as char);
            }
        }
    }
    text
}

/// Decodes the escapes of a query.
fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ------------------------------------------------------------------ store

/// A change of a key; no value if it was removed.
struct Event {
    at: Instant,
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct StoreState {
    /// Time after which a waiting watch is cut; none if watches are left alone.
    cut_watches_after: Option<Duration>,
    cuts: u64,
    history: Vec<Event>,
    revision: u64,
}

/// The platform's store: lists and watches keys; the operator and the backend servers write directly.
#[derive(Clone)]
struct Store {
    address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = StoreState { revision: 1, ..StoreState::default() };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // A reader may disconnect at any time.
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, StoreState> {
        lock(&self.shared.0)
    }

    /// Writes a value, or removes the key; the time of return is that of the acknowledgement.
    fn change(&self, key: &str, value: Option<&str>) -> Instant {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let value = value.map(str::to_string);
        state.history.push(Event { at: Instant::now(), key: key.to_string(), revision, value });
        self.shared.1.notify_all();
        Instant::now()
    }

    fn value(&self, key: &str) -> Option<String> {
        let state = self.state();
        state.history.iter().rev().find(|event| event.key == key)?.value.clone()
    }

    fn cut_watches(&self, after: Option<Duration>) {
        self.state().cut_watches_after = after;
        self.shared.1.notify_all();
    }

    fn cuts(&self) -> u64 {
        self.state().cuts
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
            let parameters: HashMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_string(), unescape(value)))
                .collect();
            let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
            let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
            let answer = match path {
                "/api/kv-range" => Some((200, self.list(&text("pathPrefix"), &text("after")))),
                "/api/kv-watch" => {
                    let wait = Duration::from_millis(number("waitMs").min(30_000));
                    self.watch(&text("pathPrefix"), number("after"), wait)
                }
                _ => Some((404, "{}".to_string())),
            };
            // A watch that is cut ends with its connection.
            let Some((status, body)) = answer else { return stream.shutdown(Shutdown::Both) };
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            stream.write_all(response(status, headers, &body).as_bytes())?;
        }
        Ok(())
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let state = self.state();
        let mut latest: Vec<&Event> = Vec::new();
        for event in &state.history {
            latest.retain(|known| known.key != event.key);
            latest.push(event);
        }
        latest.retain(|event| {
            event.value.is_some() && event.key.starts_with(prefix) && event.key.as_str() > after
        });
        latest.sort_by(|a, b| a.key.cmp(&b.key));
        let (mut items, mut bytes) = (Vec::new(), 0);
        for event in &latest {
            let next = item(event);
            bytes += next.len();
            if !items.is_empty() && (bytes > MAX_PAGE_BYTES || items.len() == MAX_PAGE_ITEMS) {
                break;
            }
            items.push(next);
        }
        format!(
            r#"{{"items":[{}],"morePages":{},"asOf":{}}}"#,
            items.join(","),
            items.len() < latest.len(),
            state.revision
        )
    }

    /// Returns the answer to a watch; none if it is cut while it waits.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let began = Instant::now();
        let mut state = self.state();
        if after > state.revision {
            return Some((410, r#"{"error":"no such history"}"#.to_string()));
        }
        if state.history.iter().any(|event| event.revision > after && event.at.elapsed() > HISTORY)
        {
            return Some((410, r#"{"error":"history is gone"}"#.to_string()));
        }
        loop {
            let waited = began.elapsed();
            let is_requested =
                |event: &&Event| event.revision > after && event.key.starts_with(prefix);
            if waited >= wait || state.history.iter().any(|event| is_requested(&event)) {
                let events: Vec<String> =
                    state.history.iter().filter(is_requested).map(item).collect();
                let body =
                    format!(r#"{{"events":[{}],"asOf":{}}}"#, events.join(","), state.revision);
                return Some((200, body));
            }
            let mut left = wait - waited;
            if let Some(limit) = state.cut_watches_after {
                if waited >= limit {
                    state.cuts += 1;
                    return None;
                }
                left = left.min(limit - waited);
            }
            let condition = &self.shared.1;
            state = condition.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// Encodes a change as the store does.
fn item(event: &Event) -> String {
    let Event { key, revision, value, .. } = event;
    match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
    }
}

// ------------------------------------------------------------------ backend servers

/// A request that reached a backend server.
#[derive(Clone)]
struct Arrival {
    at: Instant,
    request_id: String,
    path: String,
    /// What became of it: `ran`, `running`, `dropped`, `crashed`, `421`, `503` or, for a health probe, `probe`.
    outcome: &'static str,
}

struct LeafState {
    arrivals: Vec<Arrival>,
    born: u64,
    /// Connections of the process.
    connections: Vec<TcpStream>,
    /// Counts the processes; those before the last have ended.
    generation: u64,
    /// Whether it answers nothing, although its connections stay open.
    is_silent: bool,
    is_up: bool,
    /// While it turns requests away: until when it wants no more of them.
    quiet_until: Option<Instant>,
    work: Duration,
}

/// A backend server, with what it does to requests whose path contains `poison`: it ends this long after it began to run
/// one, also if the connection has closed meanwhile.
#[derive(Clone)]
struct Leaf {
    address: SocketAddr,
    crash_after: Duration,
    id: String,
    record: Record,
    service: String,
    state: Arc<Mutex<LeafState>>,
    store: Store,
    zone: String,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Leaf {
    /// Starts a backend server on a free port and registers it.
    fn start(
        record: &Record,
        store: &Store,
        ip: IpAddr,
        (id, service, zone): (&str, &str, &str),
        work: Duration,
    ) -> io::Result<Self> {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        let state = LeafState {
            arrivals: Vec::new(),
            born: 0,
            connections: Vec::new(),
            generation: 0,
            is_silent: false,
            is_up: false,
            quiet_until: None,
            work,
        };
        let leaf = Self {
            address,
            crash_after: Duration::from_millis(300),
            id: id.to_string(),
            record: record.clone(),
            service: service.to_string(),
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            zone: zone.to_string(),
        };
        leaf.boot()?;
        Ok(leaf)
    }

    fn state(&self) -> MutexGuard<'_, LeafState> {
        lock(&self.state)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Returns the entry that the backend server writes.
    fn entry(&self) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","configVersion":"v1","slots":4,"state":"ready","warmupLeftMs":0,"sequence":1,"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            self.state().born
        )
    }

    /// Starts the process and registers it.
    fn boot(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let generation = {
            let mut state = self.state();
            state.born = unix_ms();
            state.generation += 1;
            state.is_up = true;
            state.generation
        };
        self.store.change(&self.key(), Some(&self.entry()));
        let leaf = self.clone();
        thread::spawn(move || leaf.accept(&listener, generation));
        Ok(())
    }

    fn accept(&self, listener: &TcpListener, generation: u64) {
        loop {
            {
                let state = self.state();
                if !state.is_up || state.generation != generation {
                    return;
                }
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(2));
                continue;
            };
            let leaf = self.clone();
            thread::spawn(move || {
                // The caller may disconnect at any time.
                let _ = leaf.serve(stream, generation);
            });
        }
    }

    /// Ends the process: its listener and its connections close.
    fn end(&self) {
        let connections = {
            let mut state = self.state();
            state.is_up = false;
            std::mem::take(&mut state.connections)
        };
        for connection in connections {
            // It may have closed already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Ends the process and starts it again under the same id.
    fn crash(&self, back_after: Duration) {
        self.record.note(&format!("{} ends", self.id));
        self.end();
        let leaf = self.clone();
        thread::spawn(move || {
            thread::sleep(back_after);
            match leaf.boot() {
                Ok(()) => leaf.record.note(&format!("{} is back", leaf.id)),
                Err(error) => leaf.record.say(&format!("{} does not come back: {error}", leaf.id)),
            }
        });
    }

    fn is_running(&self, generation: u64) -> bool {
        let state = self.state();
        state.is_up && state.generation == generation
    }

    fn serve(&self, mut stream: TcpStream, generation: u64) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        self.state().connections.push(stream.try_clone()?);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer)? {
            self.wait_while_silent();
            if !self.is_running(generation) {
                return Ok(());
            }
            if request.word(1) == "/health" {
                self.arrive(&request, "probe");
                let headers = format!("X-Instance-Id: {}\r\n", self.id);
                stream.write_all(response(200, &headers, "").as_bytes())?;
                continue;
            }
            let request_id = request.header("x-request-id").to_string();
            let target = request.header("x-target-instance");
            if !target.is_empty() && target != self.id {
                self.arrive(&request, "421");
                let headers = format!(
                    "X-Request-Id: {request_id}\r\nX-Instance-Id: {}\r\nX-Not-Executed: 1\r\n",
                    self.id
                );
                stream.write_all(response(421, &headers, "").as_bytes())?;
                continue;
            }
            let quiet = self.state().quiet_until;
            if let Some(until) = quiet {
                self.arrive(&request, "503");
                let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
                let headers = format!(
                    "X-Request-Id: {request_id}\r\nX-Not-Executed: 1\r\nRetry-After: {left:.3}\r\n"
                );
                stream.write_all(response(503, &headers, "").as_bytes())?;
                continue;
            }
            let index = self.arrive(&request, "running");
            if request.word(1).contains("poison") {
                thread::sleep(self.crash_after);
                self.state().arrivals[index].outcome = "crashed";
                if self.is_running(generation) {
                    self.crash(Duration::from_secs(3));
                }
                return Ok(());
            }
            let work = self.state().work;
            if !self.work(&stream, work)? {
                self.state().arrivals[index].outcome = "dropped";
                return Ok(());
            }
            if !self.is_running(generation) {
                return Ok(());
            }
            self.wait_while_silent();
            self.state().arrivals[index].outcome = "ran";
            let headers = format!(
                "X-Request-Id: {request_id}\r\nX-Server-Signature: {}.{}.{request_id}\r\n",
                self.service, self.id
            );
            let body = format!("{} of {}\n", self.id, self.service);
            stream.write_all(response(200, &headers, &body).as_bytes())?;
        }
        Ok(())
    }

    /// Notes a request; returns its index.
    fn arrive(&self, request: &HttpMessage, outcome: &'static str) -> usize {
        let arrival = Arrival {
            at: Instant::now(),
            request_id: request.header("x-request-id").to_string(),
            path: request.word(1).to_string(),
            outcome,
        };
        let line =
            format!("{} ({}) gets {} {}", self.id, self.service, arrival.request_id, arrival.path);
        self.record.note(&line);
        let mut state = self.state();
        state.arrivals.push(arrival);
        state.arrivals.len() - 1
    }

    fn wait_while_silent(&self) {
        while self.state().is_silent {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Works on a request; returns whether the caller waited to the end.
    fn work(&self, stream: &TcpStream, time: Duration) -> io::Result<bool> {
        let end = Instant::now() + time;
        stream.set_nonblocking(true)?;
        let mut byte = [0_u8; 1];
        let waited = loop {
            if matches!(stream.peek(&mut byte), Ok(0)) {
                break false;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break true;
            }
            thread::sleep(left.min(Duration::from_millis(5)));
        };
        stream.set_nonblocking(false)?;
        Ok(waited)
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.state().arrivals.clone()
    }

    /// Writes its entry again with each status report while it differs from what the store has.
    fn keep_entry(&self) {
        let leaf = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                let entry = leaf.entry();
                if leaf.state().is_up && leaf.store.value(&leaf.key()).as_ref() != Some(&entry) {
                    leaf.store.change(&leaf.key(), Some(&entry));
                    leaf.record.note(&format!("{} writes its entry again", leaf.id));
                }
            }
        });
    }
}

// ------------------------------------------------------------------ operator

fn route(prefix: &str, route_type: &str, service: &str) -> String {
    format!(
        r#"{{"name":"r{prefix}","hostname":"desk.example","pathPrefix":"{prefix}","routeType":"{route_type}","timeoutMs":5000,"targetLatencyMs":300,"priority":2,"service":"{service}","maxAttempts":2}}"#
    )
}

fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                r#"{{"name":"{name}","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"configVersion":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(",")
    )
}

// ------------------------------------------------------------------ VMs

/// Size and bounds of a deployment.
#[derive(Clone, Copy)]
struct Sheet {
    drain: Duration,
    apply: Duration,
    stable: Duration,
    vms: usize,
}

/// One VM in each zone, with the bounds of kadeh-search.
const SMALL: Sheet = Sheet { drain: DRAIN, apply: CONFIG_APPLY, stable: STABLE_WINDOW, vms: 3 };

/// More VMs than all may read the store, with the bounds of krtacka-iskalnik-grown.
const GROWN: Sheet = Sheet {
    drain: Duration::from_millis(5000),
    apply: Duration::from_millis(5000),
    stable: Duration::from_millis(6000),
    vms: 16,
};

/// The zones of a small deployment with their regions.
const ZONES: [(&str, &str); 3] =
    [("marmara-a", "marmara"), ("ege-a", "ege"), ("akdeniz-a", "akdeniz")];

/// Loopback addresses of one run, and a folder for its files.
struct Site {
    folder: PathBuf,
    octets: (u8, u8),
}

impl Site {
    fn new() -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("hawthornstand-review-2-{process}"));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { folder, octets: ((process % 200) as u8 + 20, (process / 200 % 250) as u8 + 1) })
    }

    fn ip(&self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.octets.0, self.octets.1, number).into()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ids of the processes that were started, for the watchdog.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process of the system, which is killed when this is dropped.
struct Vm {
    callers: SocketAddr,
    process: Child,
    ready: SocketAddr,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts the VMs of a site with the command of the deploy file, and waits until each is ready.
fn start_vms(
    site: &Site,
    store: &Store,
    record: &Record,
    sheet: Sheet,
) -> Result<Vec<Vm>, Failure> {
    let addresses: Vec<IpAddr> = (0..sheet.vms as u8).map(|index| site.ip(10 + index)).collect();
    let seeds: Vec<String> = addresses.iter().take(3).map(|ip| format!("\"{ip}:8224\"")).collect();
    let mut vms = Vec::new();
    for (index, ip) in addresses.iter().enumerate() {
        let ((zone, region), number) = (ZONES[index % ZONES.len()], index / ZONES.len() + 1);
        let settings = format!(
            r#"nodeName = "front-{zone}-{number}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPortRange = [7740,7755]
seedNodes = [{seeds}]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entryKind = "vip"
heartbeatMs = {heartbeat}
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
marmara-a = "marmara"
ege-a = "ege"
akdeniz-a = "akdeniz"
[listenAddresses]
front = "{ip}:8226"
ready = "{ip}:8227"
control = "{ip}:8224"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
fdLimit = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stableWindowMs = {stable}
ackMs = 6000
catchUpS = 4
drainMs = {drain}
graceS = 6
lossSlackMs = 200
configApplyMs = {apply}
downgradeSlackMs = 250
maxStretchMs = 15000
retryBudgetRatio = 0.2
retryWindowS = 10
retryBudgetSlack = 56
recoveryS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = {history}
valueBytes = 1048576
minTtlMs = 1000
"#,
            seeds = seeds.join(","),
            heartbeat = HEARTBEAT.as_millis(),
            stable = sheet.stable.as_millis(),
            drain = sheet.drain.as_millis(),
            apply = sheet.apply.as_millis(),
            history = HISTORY.as_secs(),
            store = store.address,
        );
        let path = site.folder.join(format!("{zone}-{number}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(site.folder.join(format!("{zone}-{number}.log")))?;
        // The command of deploy/system.toml.
        let process = Command::new("target/dist/hawthornstand-platformd")
            .args(["--metrics-port", "7740"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HAWTHORNSTAND_BOOT", &path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        lock(&STARTED).push(process.id());
        let vm =
            Vm { callers: SocketAddr::new(*ip, 8226), process, ready: SocketAddr::new(*ip, 8227) };
        vms.push(vm);
    }
    for vm in &vms {
        let end = Instant::now() + Duration::from_secs(15);
        while get_status(vm.ready, "/api/readiness") != Some(200) {
            if Instant::now() > end {
                return Err("a VM is not ready within 15 s".into());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
    record.say(&format!("{} VMs are ready", vms.len()));
    Ok(vms)
}

fn get_status(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: vm\r\n\r\n").as_bytes()).ok()?;
    Some(read_message(&mut stream, &mut Vec::new()).ok()??.status())
}

// ------------------------------------------------------------------ callers

/// Time that a caller waits.
const TIME_BUDGET: Duration = Duration::from_millis(5000);

/// Number of the next request; an id is never used twice.
static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// What a caller saw.
struct Seen {
    request_id: String,
    sent_at: Instant,
    /// None if the caller left, or got no answer.
    answer: Option<HttpMessage>,
}

impl Seen {
    fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, HttpMessage::status)
    }
}

/// Sends one request on a new connection. The caller leaves after `patience`.
fn call(vm: SocketAddr, method: &str, path: &str, patience: Duration, record: &Record) -> Seen {
    let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
    let request_id = format!("{number:016x}");
    let sent_at = Instant::now();
    let exchange = || -> io::Result<Option<HttpMessage>> {
        let mut stream = TcpStream::connect_timeout(&vm, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        let body = if method == "POST" { "confirm" } else { "" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
            TIME_BUDGET.as_millis(),
            body.len()
        );
        stream.write_all(text.as_bytes())?;
        read_message(&mut stream, &mut Vec::new())
    };
    let answer = exchange().ok().flatten();
    let seen = Seen { request_id, sent_at, answer };
    let (id, status, retry) = (
        &seen.request_id,
        seen.status(),
        seen.answer.as_ref().map_or("", |answer| answer.header("retry-after")).to_string(),
    );
    record.note(&format!(
        "caller: {method} {path} {id} sent at {:.3} s to {vm}, status {status} {retry}",
        record.seconds(sent_at)
    ));
    seen
}

/// Sends requests at a steady rate to the VMs in turn until told to stop; returns what the callers saw.
fn load(
    vms: &[Vm],
    stop: &Arc<AtomicBool>,
    (method, prefix): (&'static str, &'static str),
    interval: Duration,
    record: &Record,
) -> thread::JoinHandle<Vec<Seen>> {
    let callers: Vec<SocketAddr> = vms.iter().map(|vm| vm.callers).collect();
    let (stop, record) = (Arc::clone(stop), record.clone());
    thread::spawn(move || {
        let mut running = Vec::new();
        let mut number = 0_usize;
        while !stop.load(Ordering::Relaxed) {
            let (vm, record) = (callers[number % callers.len()], record.clone());
            let path = format!("{prefix}{number}");
            number += 1;
            running.push(thread::spawn(move || call(vm, method, &path, TIME_BUDGET, &record)));
            thread::sleep(interval);
        }
        running.into_iter().filter_map(|caller| caller.join().ok()).collect()
    })
}

// ------------------------------------------------------------------ cases

/// Starts a deployment: the services with some backend servers in each zone, and the VMs.
fn start_deployment(
    site: &Site,
    record: &Record,
    routes: &[String],
    services: &[(&str, usize)],
    work: Duration,
) -> Result<(Store, Vec<Leaf>, Vec<Vm>), Failure> {
    let store = Store::start((site.ip(1), 0).into())?;
    let names: Vec<&str> = services.iter().map(|(name, _)| *name).collect();
    store.change("op/config", Some(&config(7, routes, &names)));
    let mut leafs = Vec::new();
    for (service, of_each_zone) in services {
        for index in 0..of_each_zone * ZONES.len() {
            let ip = site.ip(30 + leafs.len() as u8);
            let (id, zone) = (format!("i-{service}-{index}"), ZONES[index % ZONES.len()].0);
            leafs.push(Leaf::start(record, &store, ip, (&id, service, zone), work)?);
        }
    }
    let vms = start_vms(site, &store, record, SMALL)?;
    Ok((store, leafs, vms))
}

/// Waiting watches are cut while a backend server leaves without a word.
fn watches_are_cut(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let site = Site::new()?;
    let routes = [route("/status/", "safe", "portal"), route("/book/", "unsafe", "portal")];
    let work = Duration::from_millis(60);
    let (store, leafs, vms) = start_deployment(&site, record, &routes, &[("portal", 1)], work)?;
    let stop = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(50);
    let statuses = load(&vms, &stop, ("GET", "/status/"), interval, record);
    let bookings = load(&vms, &stop, ("POST", "/book/"), interval, record);
    // Everything is calm for longer than the stable window.
    thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    if trouble {
        record.say("from now on the store cuts each watch that has waited for 1.5 s");
        store.cut_watches(Some(Duration::from_millis(1500)));
    }
    thread::sleep(Duration::from_secs(5));
    let leaving = &leafs[0];
    let acked_at = store.change(&leaving.key(), None);
    record.say(&format!("{} leaves: its entry is removed, it serves on", leaving.id));
    thread::sleep(DRAIN + Duration::from_secs(6));
    record.say(&format!("{} exits", leaving.id));
    leaving.end();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = [statuses, bookings]
        .into_iter()
        .flat_map(|callers| callers.join().unwrap_or_default())
        .collect();
    let sent: HashMap<&str, Instant> =
        seen.iter().map(|seen| (seen.request_id.as_str(), seen.sent_at)).collect();
    let due = acked_at + DRAIN;
    let mut late = 0;
    for arrival in leaving.arrivals() {
        // Only requests that were also sent after the drain time are counted.
        if arrival.at > due && sent.get(arrival.request_id.as_str()).is_some_and(|at| *at > due) {
            late += 1;
        }
    }
    let count = |from: u16, to: u16| {
        seen.iter().filter(|seen| (from..=to).contains(&seen.status())).count()
    };
    record.say(&format!(
        "requests: {}, answered 200: {}, 502: {}, 503: {}; watches cut: {}",
        seen.len(),
        count(200, 200),
        count(502, 502),
        count(503, 503),
        store.cuts()
    ));
    record.say(&format!(
        "requests that reached {} later than {} ms after the store's ack of its removal: {late}",
        leaving.id,
        DRAIN.as_millis()
    ));
    if seen.len() < 300 || count(200, 200) * 2 < seen.len() {
        return Err("too few requests were served".into());
    }
    Ok(late > 0)
}

/// Another writer leaves entries with missing fields that name a backend server of another service.
fn entries_with_missing_fields(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let site = Site::new()?;
    let routes = [
        route("/status/", "safe", "portal"),
        route("/book/", "unsafe", "portal"),
        route("/pay/", "safe", "payroll"),
    ];
    let work = Duration::from_millis(20);
    let services = [("portal", 1), ("payroll", 1)];
    let (store, leafs, vms) = start_deployment(&site, record, &routes, &services, work)?;
    let stop = Arc::new(AtomicBool::new(false));
    let interval = Duration::from_millis(40);
    let statuses = load(&vms, &stop, ("GET", "/status/"), interval, record);
    let bookings = load(&vms, &stop, ("POST", "/book/"), interval, record);
    thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    let others = &leafs[ZONES.len()..];
    for other in others {
        other.keep_entry();
    }
    for number in 0..12 {
        let other = &others[number % others.len()];
        if trouble {
            let entry = format!(
                r#"{{"service":"portal","address":"{}","zone":"{}","slots":4,"state":"ready"}}"#,
                other.address, other.zone
            );
            store.change(&other.key(), Some(&entry));
            record.say(&format!("another writer puts {} = {entry}", other.key()));
        }
        thread::sleep(Duration::from_secs(2));
    }
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = [statuses, bookings]
        .into_iter()
        .flat_map(|callers| callers.join().unwrap_or_default())
        .collect();
    let own: Vec<&Seen> = seen.iter().filter(|seen| seen.status() == 200).collect();
    let foreign = own
        .iter()
        .filter(|seen| {
            let signature =
                seen.answer.as_ref().map_or("", |answer| answer.header("x-server-signature"));
            !signature.starts_with("portal.")
        })
        .count();
    let (mut ran, mut booked) = (0, 0);
    for leaf in &leafs[ZONES.len()..] {
        for arrival in leaf.arrivals() {
            // No caller asks for payroll.
            if arrival.outcome == "ran" {
                ran += 1;
                booked += usize::from(arrival.path.starts_with("/book/"));
            }
        }
    }
    record.say(&format!(
        "requests: {}, answered 200: {}; run by a service that the route never named: {ran}, {booked} of \
         them bookings; answers of that service delivered with 200: {foreign}",
        seen.len(),
        own.len()
    ));
    if own.len() * 2 < seen.len() {
        return Err("too few requests were served".into());
    }
    Ok(ran > 0)
}

/// A request that crashes the backend servers that run it comes again and again; its caller leaves before the crash.
fn caller_leaves_before_the_crash(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let site = Site::new()?;
    let routes = [route("/status/", "safe", "portal"), route("/book/", "unsafe", "portal")];
    let work = Duration::from_millis(60);
    let (_store, leafs, vms) = start_deployment(&site, record, &routes, &[("portal", 1)], work)?;
    let stop = Arc::new(AtomicBool::new(false));
    let statuses = load(&vms, &stop, ("GET", "/status/"), Duration::from_millis(100), record);
    let bookings = load(&vms, &stop, ("POST", "/book/"), Duration::from_millis(100), record);
    thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    // Half of the target latency.
    let patience = if trouble { Duration::from_millis(150) } else { TIME_BUDGET };
    for number in 0..16 {
        let vm = &vms[number % vms.len()];
        let seen = call(vm.callers, "GET", "/status/poison", patience, record);
        record.say(&format!(
            "the request that crashes, no. {}: status {}",
            number + 1,
            seen.status()
        ));
        thread::sleep(Duration::from_millis(2500).saturating_sub(seen.sent_at.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    let seen: Vec<Seen> = [statuses, bookings]
        .into_iter()
        .flat_map(|callers| callers.join().unwrap_or_default())
        .collect();
    let mut poisoned: Vec<Arrival> = leafs.iter().flat_map(Leaf::arrivals).collect();
    poisoned.retain(|arrival| arrival.path.contains("poison"));
    poisoned.sort_by_key(|arrival| arrival.at);
    let crashed: Vec<&Arrival> =
        poisoned.iter().filter(|arrival| arrival.outcome == "crashed").collect();
    let lost = seen.iter().filter(|seen| seen.status() == 502).count();
    record.say(&format!(
        "the request reached backend servers {} times and crashed {}; other requests: {}, 502: {lost}",
        poisoned.len(),
        crashed.len(),
        seen.len()
    ));
    let Some(third) = crashed.get(2) else {
        return Err("the request crashed fewer than three backend servers".into());
    };
    let due = third.at + leafs[0].crash_after + STABLE_WINDOW;
    let mut late: Vec<&str> = poisoned
        .iter()
        .filter(|arrival| arrival.at > due)
        .map(|arrival| arrival.request_id.as_str())
        .collect();
    late.dedup();
    record.say(&format!(
        "retries that reached backend servers later than {} ms after the third crash: {}",
        STABLE_WINDOW.as_millis(),
        late.len()
    ));
    Ok(late.len() > 3)
}

/// All backend servers of one service go dark while those of another have asked for quiet.
fn probes_of_quiet_servers(record: &Record, trouble: bool) -> Result<bool, Failure> {
    const DARK: Duration = Duration::from_millis(4500);
    let site = Site::new()?;
    let routes = [route("/status/", "safe", "portal"), route("/pay/", "safe", "payroll")];
    let services = [("portal", 2), ("payroll", 1)];
    let work = Duration::from_millis(20);
    let (store, leafs, vms) = start_deployment(&site, record, &routes, &services, work)?;
    let (portal, payroll) = leafs.split_at(2 * ZONES.len());
    let (leaving, payroll) = payroll.split_at(2);
    for leaf in leaving {
        store.change(&leaf.key(), Some(&leaf.entry().replace("ready", "draining")));
    }
    record.say("two of the three servers of payroll drain and leave");
    thread::sleep(DRAIN + Duration::from_secs(1));
    for leaf in leaving {
        store.change(&leaf.key(), None);
        leaf.end();
    }
    let stop = Arc::new(AtomicBool::new(false));
    let statuses = load(&vms, &stop, ("GET", "/status/"), Duration::from_millis(40), record);
    thread::sleep(Duration::from_secs(2));
    let quiet_until = Instant::now() + Duration::from_secs(75);
    for leaf in payroll {
        leaf.state().quiet_until = Some(quiet_until);
    }
    record.say("from now on the server of payroll turns requests away with 503 and Retry-After");
    // Each VM asks until it has been turned away.
    let mut asked_by: HashMap<String, usize> = HashMap::new();
    let is_told = |asked_by: &HashMap<String, usize>| {
        payroll.iter().all(|leaf| {
            let mut told: Vec<usize> = leaf
                .arrivals()
                .iter()
                .filter_map(|arrival| asked_by.get(&arrival.request_id).copied())
                .collect();
            told.sort_unstable();
            told.dedup();
            told.len() == vms.len()
        })
    };
    for number in 0..30 {
        let vm = number % vms.len();
        let path = format!("/pay/{number}");
        asked_by.insert(call(vms[vm].callers, "GET", &path, TIME_BUDGET, record).request_id, vm);
        if is_told(&asked_by) {
            break;
        }
    }
    if !is_told(&asked_by) {
        return Err("not every VM was turned away".into());
    }
    let told_at = Instant::now();
    record.say("it has turned each VM away");
    // From here on one caller of payroll comes back each second.
    let payments = load(&vms, &stop, ("GET", "/pay/"), Duration::from_secs(1), record);
    thread::sleep(Duration::from_secs(2));
    for _ in 0..8 {
        if trouble {
            record.say("all servers of portal go dark");
            portal.iter().for_each(|leaf| leaf.state().is_silent = true);
        }
        thread::sleep(DARK);
        portal.iter().for_each(|leaf| leaf.state().is_silent = false);
        record.say("the servers of portal answer");
        thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::Relaxed);
    let served = statuses.join().unwrap_or_default();
    payments.join().map_err(|_| "the callers of payroll failed")?;
    let from = told_at + Duration::from_millis(500);
    let mut most = 0;
    for leaf in payroll {
        let mut arrivals = leaf.arrivals();
        arrivals.retain(|arrival| arrival.at > from && arrival.at < quiet_until);
        let probes = arrivals.iter().filter(|arrival| arrival.outcome == "probe").count();
        record.say(&format!(
            "{}: {} requests from {} VMs during its quiet time, {probes} of them health probes",
            leaf.id,
            arrivals.len(),
            vms.len()
        ));
        most = most.max(arrivals.len());
    }
    let answered = served.iter().filter(|seen| seen.status() == 200).count();
    record.say(&format!("requests to portal: {}, answered 200: {answered}", served.len()));
    if answered * 3 < served.len() {
        return Err("too few requests were served".into());
    }
    // Two from each VM are allowed: with more in all, one VM has sent more.
    Ok(most > 2 * vms.len())
}

/// Another writer leaves large entries that cannot be read; then a configuration moves a route.
fn large_entries(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let site = Site::new()?;
    let services = [("portal", 1), ("payroll", 1)];
    let routes = [route("/status/", "safe", "portal")];
    let work = Duration::from_millis(20);
    let (store, leafs, vms) = start_deployment(&site, record, &routes, &services, work)?;
    let stop = Arc::new(AtomicBool::new(false));
    let callers = load(&vms, &stop, ("GET", "/status/"), Duration::from_millis(50), record);
    thread::sleep(STABLE_WINDOW + Duration::from_secs(2));
    if trouble {
        let junk = "\u{7f}".repeat(1_000_000);
        for number in 0..16 {
            store.change(&format!("servers/i-junk-{number}"), Some(&junk));
        }
        record.say("another writer leaves 16 entries of 1,000,000 bytes that cannot be read");
    }
    thread::sleep(Duration::from_secs(2));
    let routes = [route("/status/", "safe", "payroll")];
    let acked_at = store.change("op/config", Some(&config(12, &routes, &["portal", "payroll"])));
    record.say("a configuration moves the route to payroll");
    thread::sleep(CONFIG_APPLY + Duration::from_secs(30));
    stop.store(true, Ordering::Relaxed);
    let seen = callers.join().unwrap_or_default();
    let due = acked_at + CONFIG_APPLY;
    let late: Vec<&Seen> = seen
        .iter()
        .filter(|seen| {
            let signature =
                seen.answer.as_ref().map_or("", |answer| answer.header("x-server-signature"));
            seen.sent_at > due && signature.starts_with("portal.")
        })
        .collect();
    let last = late.last().map_or(0.0, |seen| (seen.sent_at - acked_at).as_secs_f64());
    record.say(&format!(
        "requests: {}; sent later than {} ms after the ack and run by the old service: {}, the last {last:.1} s after it",
        seen.len(),
        CONFIG_APPLY.as_millis(),
        late.len()
    ));
    drop(leafs);
    Ok(!late.is_empty())
}

/// Returns how often each VM has read the store, by its metrics.
fn store_reads(vms: &[Vm]) -> Vec<u64> {
    let read = |vm: &Vm| -> Option<u64> {
        let address = SocketAddr::new(vm.callers.ip(), 7740);
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n").ok()?;
        let metrics = read_message(&mut stream, &mut Vec::new()).ok()??;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let line =
            text.lines().find(|line| line.starts_with("hawthornstand_store_reads_total "))?;
        line.split(' ').nth(1)?.parse().ok()
    };
    vms.iter().map(|vm| read(vm).unwrap_or(0)).collect()
}

/// The VMs that read the store leave for good, six of sixteen, and then a backend server leaves without a word.
fn readers_leave(record: &Record, trouble: bool) -> Result<bool, Failure> {
    let site = Site::new()?;
    let routes = [route("/status/", "safe", "portal")];
    let config = |version| {
        let text = config(version, &routes, &["portal"]);
        text.replace("\"maxConnections\":110", "\"maxConnections\":26")
    };
    let store = Store::start((site.ip(1), 0).into())?;
    store.change("op/config", Some(&config(7)));
    let mut leafs = Vec::new();
    for (index, (zone, _)) in ZONES.iter().enumerate() {
        let id = format!("i-portal-{index}");
        let work = Duration::from_millis(120);
        let ip = site.ip(30 + index as u8);
        leafs.push(Leaf::start(record, &store, ip, (&id, "portal", zone), work)?);
    }
    let vms = start_vms(&site, &store, record, GROWN)?;
    thread::sleep(Duration::from_secs(5));
    // A change wakes the VMs that read the store, and these read again.
    let before = store_reads(&vms);
    for version in [9, 10] {
        store.change("op/config", Some(&config(version)));
        thread::sleep(Duration::from_millis(700));
    }
    let after = store_reads(&vms);
    let mut reads = before.iter().zip(&after).map(|(before, after)| after - before);
    let (mut readers, vms): (Vec<Vm>, Vec<Vm>) =
        vms.into_iter().partition(|_| reads.next().is_some_and(|reads| reads > 0));
    if readers.len() > 8 {
        return Err("more VMs than expected read the store".into());
    }
    record.say(&format!("{} of the VMs read the store", readers.len()));
    if trouble {
        for vm in &readers {
            record.say(&format!("the VM at {} gets SIGTERM and leaves", vm.callers));
            Command::new("kill").args(["-TERM", &vm.process.id().to_string()]).status()?;
            thread::sleep(Duration::from_millis(500));
        }
        for vm in &mut readers {
            vm.process.wait()?;
        }
    }
    record.say(&format!("callers use the {} other VMs", vms.len()));
    let stop = Arc::new(AtomicBool::new(false));
    let callers = load(&vms, &stop, ("GET", "/status/"), Duration::from_millis(5), record);
    // Everything is calm for longer than the stable window.
    thread::sleep(GROWN.stable + Duration::from_secs(6));
    store.change("op/config", Some(&config(12)));
    record.say("the operator publishes a configuration");
    thread::sleep(Duration::from_millis(400));
    let gone = &leafs[0];
    let acked_at = store.change(&gone.key(), None);
    record.say(&format!("{} leaves: its entry is removed, it serves on", gone.id));
    thread::sleep(GROWN.drain + Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    let seen = callers.join().unwrap_or_default();
    let sent: HashMap<&str, Instant> =
        seen.iter().map(|seen| (seen.request_id.as_str(), seen.sent_at)).collect();
    let due = acked_at + GROWN.drain;
    let late: Vec<Arrival> = gone
        .arrivals()
        .into_iter()
        .filter(|arrival| {
            arrival.at > due && sent.get(arrival.request_id.as_str()).is_some_and(|at| *at > due)
        })
        .collect();
    let last = late.last().map_or(0.0, |arrival| (arrival.at - acked_at).as_secs_f64());
    let answered = seen.iter().filter(|seen| seen.status() == 200).count();
    record.say(&format!("requests: {}, answered 200: {answered}", seen.len()));
    record.say(&format!(
        "requests that reached {} later than {} ms after the store's ack of its removal: {}, the last {last:.1} s after it",
        gone.id,
        GROWN.drain.as_millis(),
        late.len()
    ));
    if answered * 2 < seen.len() {
        return Err("too few requests were served".into());
    }
    Ok(!late.is_empty())
}

fn run() -> Result<bool, Failure> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        return Err("usage: harness-2 CASE RECORD".into());
    };
    let record = Record::create(path)?;
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(&format!("case {case}, disruption: {trouble}"));
    thread::spawn(|| {
        thread::sleep(WATCHDOG);
        eprintln!("the script takes too long");
        for process in lock(&STARTED).iter() {
            // It may have ended.
            let _ = Command::new("kill").args(["-9", &process.to_string()]).status();
        }
        std::process::exit(2);
    });
    let is_broken = match case.as_str() {
        "watches" => watches_are_cut(&record, trouble),
        "entries" => entries_with_missing_fields(&record, trouble),
        "readers" => readers_leave(&record, trouble),
        "large" => large_entries(&record, trouble),
        "quiet" => probes_of_quiet_servers(&record, trouble),
        "crashes" => caller_leaves_before_the_crash(&record, trouble),
        _ => return Err(format!("there is no case {case}").into()),
    }?;
    record.say(if is_broken { "the rule was broken" } else { "the rule held" });
    Ok(is_broken)
}

fn main() {
    let code = match run() {
        Ok(is_broken) => i32::from(is_broken),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
