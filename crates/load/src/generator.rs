//! Open-loop load generator: requests start at a constant rate, independent of earlier responses.
//!
//! Latency is measured from the scheduled start of a request, so that a late start counts (no coordinated omission).

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Upper bound of recorded latencies, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Description of a load.
#[derive(Clone)]
pub struct LoadSpec {
    /// Caller addresses of the VMs, used in turn.
    pub addresses: Vec<String>,
    pub duration: Duration,
    /// Maximum number of hits of a search.
    pub limit: u64,
    pub rate_per_s: u64,
    /// Names of the services, used in turn.
    pub services: Vec<String>,
    pub timeout_ms: u64,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub complete: bool,
    pub error: String,
    /// Mismatch between the hits of the response and its coverage or version, if any.
    pub inconsistency: Option<String>,
    pub latency: Duration,
    /// Reasons of missing slices.
    pub missing: Vec<String>,
    /// Time from the start of the load to the scheduled start of the request.
    pub scheduled_offset: Duration,
    /// HTTP status; 0 without a response.
    pub status: u16,
}

/// Results of a load, ordered by the scheduled start of the requests.
pub struct LoadResults {
    pub records: Vec<RequestRecord>,
}

impl LoadResults {
    /// Returns a latency quantile of complete responses, in microseconds.
    pub fn quantile_us(&self, quantile: f64) -> u64 {
        histogram(self.records.iter().filter(|record| record.complete)).value_at_quantile(quantile)
    }

    /// Returns a latency quantile of refusals (status 503), in microseconds.
    pub fn refusal_quantile_us(&self, quantile: f64) -> u64 {
        histogram(self.records.iter().filter(|record| record.status == 503))
            .value_at_quantile(quantile)
    }

    /// Counts the requests that match a predicate.
    pub fn count(&self, matches: impl Fn(&RequestRecord) -> bool) -> usize {
        self.records.iter().filter(|record| matches(record)).count()
    }

    /// Returns the percentage of requests with a complete response.
    pub fn complete_percent(&self) -> f64 {
        100.0 * self.count(|record| record.complete) as f64 / self.records.len().max(1) as f64
    }

    /// Returns why responses were not complete: errors and reasons of missing slices, with their counts.
    pub fn incomplete_causes(&self) -> String {
        let mut causes: Vec<(String, usize)> = Vec::new();
        for record in self.records.iter().filter(|record| !record.complete) {
            let mut names = record.missing.clone();
            names.push(record.error.clone());
            names.sort();
            names.dedup();
            for name in names.into_iter().filter(|name| !name.is_empty()) {
                match causes.iter_mut().find(|(known, _)| *known == name) {
                    Some((_, count)) => *count += 1,
                    None => causes.push((name, 1)),
                }
            }
        }
        causes.sort();
        let parts: Vec<String> =
            causes.iter().map(|(name, count)| format!("{count} {name}")).collect();
        if parts.is_empty() { "none".to_string() } else { parts.join(", ") }
    }

    /// Returns the results of the requests scheduled at or after a time from the start of the load.
    pub fn scheduled_from(&self, from: Duration) -> Self {
        Self {
            records: self
                .records
                .iter()
                .filter(|record| record.scheduled_offset >= from)
                .cloned()
                .collect(),
        }
    }

    /// Returns plot points of the latency in milliseconds by percentile, from 0 to 99.9.
    pub fn quantile_points(&self) -> Vec<(f64, f64)> {
        let histogram = histogram(self.records.iter().filter(|record| record.complete));
        let quantiles = (0..1000).map(|permille| f64::from(permille) / 10.0);
        quantiles
            .map(|percent| (percent, histogram.value_at_percentile(percent) as f64 / 1000.0))
            .collect()
    }
}

/// Runs a load and waits until every request has ended.
pub async fn run_load(load: &LoadSpec) -> io::Result<LoadResults> {
    let mut clients = Vec::new();
    for address in &load.addresses {
        clients.push(Arc::new(Client {
            address: address.clone(),
            sender: tokio::sync::Mutex::new(None),
        }));
    }
    let records: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
    let started = Instant::now();
    let interval = Duration::from_secs(1) / load.rate_per_s as u32;
    let mut number: u32 = 0;
    let mut tasks = tokio::task::JoinSet::new();
    while interval * number < load.duration {
        let scheduled_offset = interval * number;
        tokio::time::sleep_until(started + scheduled_offset).await;
        let client = Arc::clone(&clients[number as usize % clients.len()]);
        let service = load.services[number as usize % load.services.len()].clone();
        let (records, timeout_ms, limit) = (Arc::clone(&records), load.timeout_ms, load.limit);
        tasks.spawn(async move {
            let result = client.search(&service, &format!("q{number}"), limit, timeout_ms).await;
            let latency = started.elapsed().saturating_sub(scheduled_offset);
            let record = record_result(scheduled_offset, latency, result);
            records.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(record);
        });
        number += 1;
    }
    while tasks.join_next().await.is_some() {}
    let mut records =
        std::mem::take(&mut *records.lock().unwrap_or_else(|poisoned| poisoned.into_inner()));
    records.sort_by_key(|record| record.scheduled_offset);
    Ok(LoadResults { records })
}

/// HTTP/2 client of one VM that reconnects when its connection is closed.
pub struct Client {
    address: String,
    sender: tokio::sync::Mutex<Option<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// Creates a client without a connection.
    pub fn new(address: &str) -> Self {
        Self { address: address.to_string(), sender: tokio::sync::Mutex::new(None) }
    }

    /// Sends a search.
    async fn search(
        &self,
        service: &str,
        query: &str,
        limit: u64,
        timeout_ms: u64,
    ) -> Result<(u16, Value), String> {
        let body = json!({ "query": query, "limit": limit }).to_string();
        self.post(
            &format!("/services/{service}/search"),
            &[("timeout-ms", timeout_ms.to_string())],
            body,
        )
        .await
    }

    /// Sends a POST request and returns the status and JSON body of the response.
    pub async fn post(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Result<(u16, Value), String> {
        let mut sender = self.open_connection().await?;
        let mut builder = Request::post(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            builder = builder.header(*name, value);
        }
        let request = builder.body(Full::new(Bytes::from(body))).map_err(|e| e.to_string())?;
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let status = response.status().as_u16();
        let bytes = response.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
        Ok((status, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
    }

    /// Returns the open connection, or opens one.
    async fn open_connection(&self) -> Result<SendRequest<Full<Bytes>>, String> {
        let mut current = self.sender.lock().await;
        if let Some(sender) = current.as_ref().filter(|sender| !sender.is_closed()) {
            return Ok(sender.clone());
        }
        let stream = TcpStream::connect(&self.address).await.map_err(|e| e.to_string())?;
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
            .await
            .map_err(|e| e.to_string())?;
        tokio::spawn(connection);
        *current = Some(sender.clone());
        Ok(sender)
    }
}

/// Records the result of a request and checks the hits of its response.
fn record_result(
    scheduled_offset: Duration,
    latency: Duration,
    result: Result<(u16, Value), String>,
) -> RequestRecord {
    let mut record = RequestRecord {
        complete: false,
        error: String::new(),
        inconsistency: None,
        latency,
        missing: Vec::new(),
        scheduled_offset,
        status: 0,
    };
    match result {
        Err(error) => record.error = error,
        Ok((status, body)) => {
            record.status = status;
            record.error = body["error"].as_str().unwrap_or_default().to_string();
            if status == 200 {
                record.complete = body["coverage"]["complete"] == json!(true);
                let missing = body["coverage"]["missing"].as_array().cloned().unwrap_or_default();
                record.missing = missing
                    .iter()
                    .map(|entry| entry["reason"].as_str().unwrap_or("?").to_string())
                    .collect();
                record.inconsistency = check_hits(&body);
            }
        }
    }
    record
}

/// Checks that every hit has the version of the response and lies in a covered slice, at most one per slice.
pub fn check_hits(body: &Value) -> Option<String> {
    let covered: Vec<(u64, u64)> = body["coverage"]["covered"]
        .as_array()?
        .iter()
        .filter_map(|range| Some((range["start"].as_u64()?, range["end"].as_u64()?)))
        .collect();
    let suffix = format!("at version {}", body["version"]);
    let mut slices: Vec<u64> = Vec::new();
    for hit in body["hits"].as_array()? {
        if !hit["record"].as_str().unwrap_or_default().ends_with(&suffix) {
            return Some(format!("{} in a response of version {}", hit["record"], body["version"]));
        }
        slices.push(hit["slice"].as_u64()?);
    }
    slices.sort_unstable();
    if slices.windows(2).any(|pair| pair[0] == pair[1]) {
        return Some("several hits in one slice".to_string());
    }
    let total: u64 = covered.iter().map(|(start, end)| end - start).sum();
    let inside =
        slices.iter().all(|slice| covered.iter().any(|(start, end)| (start..end).contains(&slice)));
    if !inside || (slices.len() as u64) > total {
        return Some("hit outside the covered slices".to_string());
    }
    None
}

/// Builds a histogram of latencies in microseconds.
fn histogram<'a>(records: impl Iterator<Item = &'a RequestRecord>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds");
    for record in records {
        histogram.saturating_record(record.latency.as_micros() as u64);
    }
    histogram
}
