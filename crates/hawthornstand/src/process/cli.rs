//! Commands of the operators' command-line tool.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::backends::http_client::{self, HttpError};
use crate::callers::request_headers::{COVERAGE_HEADER, TICKET_HEADER, TIMEOUT_HEADER};
use crate::configuration::published::{ConfigEntry, RawConfig, validate};
use crate::configuration::schema_check::Finding;
use crate::gateway::status::GatewayStatus;
use crate::messages::{BookingAnswer, Outcome, Refusal, SearchAnswer, SliceRange};
use crate::process::gateway_text;
use crate::process::status::{Explanation, Status};
use crate::settings;

/// Exit code for a request that was refused and did not run.
pub const EXIT_NOT_RUN: u8 = 4;
/// Exit code for a request that may have run.
pub const EXIT_MAYBE_RUN: u8 = 5;
/// Exit code for a VM that is unreachable or sends an unexpected response.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code for invalid arguments, settings or published values.
pub const EXIT_USAGE: u8 = 2;

/// Time allowed for one request to a VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Output format of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    Json,
    Text,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    #[error("{}", join_lines(.0))]
    Findings(Vec<Finding>),
    #[error("{}", describe_refusal(.0))]
    Refused(Box<Refusal>),
    #[error("cannot reach {address}: {source}; check the address and that the VM is running")]
    Unreachable { address: String, source: HttpError },
    #[error("unexpected response from {address}: {detail}")]
    Unexpected { address: String, detail: String },
    #[error("{0}")]
    Usage(String),
}

impl CliError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Usage(_) => EXIT_USAGE,
            Self::Refused(refusal) if refusal.outcome == Outcome::NotRun => EXIT_NOT_RUN,
            Self::Refused(_) => EXIT_MAYBE_RUN,
            Self::Unreachable { .. } | Self::Unexpected { .. } => EXIT_UNREACHABLE,
        }
    }
}

/// Response to a status request: of a VM with the product's own interface, or of a gateway.
#[derive(Deserialize)]
#[serde(untagged)]
enum StatusResponse {
    Own(Box<Status>),
    Gateway(GatewayStatus),
}

/// A search to send.
pub struct QueryRequest {
    pub complete_only: bool,
    pub limit: u64,
    pub query: String,
    pub service: String,
    pub timeout_ms: u64,
    pub traceparent: Option<String>,
}

/// Checks a settings file and a folder of published values.
pub fn check(settings_file: Option<&Path>, published: Option<&Path>) -> Result<String, CliError> {
    if settings_file.is_none() && published.is_none() {
        return Err(CliError::Usage(
            "nothing to check; pass --settings, --published or both".to_string(),
        ));
    }
    let mut text = String::new();
    if let Some(file) = settings_file {
        let settings = settings::load(file).map_err(CliError::Findings)?;
        let _ = writeln!(text, "settings of VM {} are valid", settings.vm_id);
    }
    if let Some(folder) = published {
        let raw = read_folder(folder)?;
        let accepted = validate(&raw).map_err(CliError::Findings)?;
        let _ = writeln!(
            text,
            "published configuration is valid: {} services, {} backend servers",
            accepted.services.len(),
            accepted.leafs.len()
        );
        for resolved in &accepted.services {
            if resolved.leafs.is_empty() {
                let _ = writeln!(
                    text,
                    "note: the selector of service {} matches no backend server",
                    resolved.service.name
                );
            }
        }
    }
    Ok(text.trim_end().to_string())
}

/// Shows the state of a VM.
pub async fn status(address: &str, format: OutputFormat) -> Result<String, CliError> {
    let response: StatusResponse = get(address, "/status").await?;
    Ok(match (response, format) {
        (StatusResponse::Gateway(status), OutputFormat::Json) => to_json(&status),
        (StatusResponse::Gateway(status), OutputFormat::Text) => gateway_text::overview(&status),
        (StatusResponse::Own(status), OutputFormat::Json) => to_json(&status),
        (StatusResponse::Own(status), OutputFormat::Text) => status_text(&status),
    })
}

/// Shows which backend servers a service's selector matches.
pub async fn explain(
    address: &str,
    service: &str,
    format: OutputFormat,
) -> Result<String, CliError> {
    if let StatusResponse::Gateway(status) = get(address, "/status").await? {
        let Some(found) = status.services.iter().find(|found| found.name == service) else {
            return Err(CliError::Usage(format!("no service is named {service}")));
        };
        return Ok(match format {
            OutputFormat::Json => to_json(found),
            OutputFormat::Text => gateway_text::service(found),
        });
    }
    let explanation: Explanation = get(address, &format!("/explain/{service}")).await?;
    if format == OutputFormat::Json {
        return Ok(to_json(&explanation));
    }
    Ok(explanation_text(&explanation))
}

/// Sends a search.
pub async fn query(
    address: &str,
    request: &QueryRequest,
    format: OutputFormat,
) -> Result<String, CliError> {
    let body = json!({ "limit": request.limit, "query": request.query }).to_string();
    let mut builder = Request::post(format!("/services/{}/search", request.service))
        .header("host", address)
        .header(TIMEOUT_HEADER, request.timeout_ms);
    if request.complete_only {
        builder = builder.header(COVERAGE_HEADER, "complete");
    }
    if let Some(traceparent) = &request.traceparent {
        builder = builder.header("traceparent", traceparent);
    }
    let response = post(address, builder, body).await?;
    let answer: SearchAnswer = parse(address, &response)?;
    if format == OutputFormat::Json {
        return Ok(to_json(&answer));
    }
    Ok(answer_text(&answer))
}

/// Sends a booking; requests a ticket first if none is given.
pub async fn book(
    address: &str,
    service: &str,
    key: &str,
    payload: &str,
    ticket: Option<&str>,
) -> Result<String, CliError> {
    let body = json!({ "key": key, "payload": payload }).to_string();
    let send = async |ticket: &str| {
        let mut builder =
            Request::post(format!("/services/{service}/book")).header("host", address);
        if !ticket.is_empty() {
            builder = builder.header(TICKET_HEADER, ticket);
        }
        let response = post(address, builder, body.clone()).await?;
        parse::<BookingAnswer>(address, &response)
    };
    let answer = match send(ticket.unwrap_or_default()).await {
        Err(CliError::Refused(refusal))
            if ticket.is_none() && refusal.error == "TicketRequired" =>
        {
            send(&refusal.ticket).await?
        }
        other => other?,
    };
    Ok(format!("done: {}", answer.result))
}

/// Reads published values from a folder; the key of a file is its relative path without the extension.
fn read_folder(folder: &Path) -> Result<RawConfig, CliError> {
    let mut raw = RawConfig { revision: 1, entries: Vec::new() };
    let mut pending = vec![folder.to_path_buf()];
    while let Some(current) = pending.pop() {
        let entries = std::fs::read_dir(&current).map_err(|e| unreadable(&current, &e))?;
        for entry in entries {
            let path = entry.map_err(|e| unreadable(&current, &e))?.path();
            if path.is_dir() {
                pending.push(path);
                continue;
            }
            let text = std::fs::read_to_string(&path).map_err(|e| unreadable(&path, &e))?;
            let key =
                path.strip_prefix(folder).unwrap_or(&path).with_extension("").display().to_string();
            raw.entries.push(ConfigEntry { key, revision: 1, value: Some(text) });
        }
    }
    raw.entries.sort_by(|a, b| a.key.cmp(&b.key));
    Ok(raw)
}

/// Creates the error for a file or folder that cannot be read.
fn unreadable(path: &Path, error: &std::io::Error) -> CliError {
    CliError::Usage(format!("cannot read {}: {error}", path.display()))
}

/// Sends a GET request to a VM and parses the JSON response.
async fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, CliError> {
    let response = http_client::get(address, path, REQUEST_TIMEOUT)
        .await
        .map_err(|source| CliError::Unreachable { address: address.to_string(), source })?;
    parse(address, &response)
}

/// Sends a request with a body to a VM.
async fn post(
    address: &str,
    builder: hyper::http::request::Builder,
    body: String,
) -> Result<Response<Bytes>, CliError> {
    let request =
        builder.body(Full::new(Bytes::from(body))).map_err(|e| CliError::Usage(e.to_string()))?;
    http_client::send(address, request, REQUEST_TIMEOUT)
        .await
        .map_err(|source| CliError::Unreachable { address: address.to_string(), source })
}

/// Parses a response; a status other than 200 must carry a refusal.
fn parse<T: DeserializeOwned>(address: &str, response: &Response<Bytes>) -> Result<T, CliError> {
    let unexpected = |e: serde_json::Error| CliError::Unexpected {
        address: address.to_string(),
        detail: e.to_string(),
    };
    if response.status() != 200 {
        let refusal = serde_json::from_slice(response.body()).map_err(unexpected)?;
        return Err(CliError::Refused(Box::new(refusal)));
    }
    serde_json::from_slice(response.body()).map_err(unexpected)
}

/// Formats a search answer as text.
fn answer_text(answer: &SearchAnswer) -> String {
    let mut text = String::new();
    for hit in &answer.hits {
        let _ = writeln!(text, "{:8.4}  {}  {}", hit.score, hit.key, hit.record);
    }
    let _ = writeln!(text, "snapshot version {}", answer.version);
    let _ = writeln!(text, "covered slices {}", ranges_text(&answer.coverage.covered));
    for missing in &answer.coverage.missing {
        let _ =
            writeln!(text, "missing slices {} ({})", ranges_text(&missing.slices), missing.reason);
    }
    let _ = write!(text, "complete: {}", if answer.coverage.complete { "yes" } else { "no" });
    text
}

/// Formats the state of a VM as text.
fn status_text(status: &Status) -> String {
    let mut text = String::new();
    let ready = if status.ready { "ready" } else { "not ready" };
    let _ = writeln!(text, "VM {} of fleet {}: {ready}", status.vm_id, status.fleet);
    let _ = writeln!(
        text,
        "configuration revision {}, list revision {}",
        status.accepted_revision, status.list_revision
    );
    if let Some(age) = status.platform_contact_age_ms {
        let _ = writeln!(text, "platform state last confirmed {age} ms ago");
    }
    if let Some(rejected) = &status.rejected_configuration {
        let _ = writeln!(text, "rejected configuration: {rejected}");
    }
    let _ = writeln!(
        text,
        "running requests {}, spent tickets {}",
        status.running_requests, status.spent_tickets
    );
    let _ = writeln!(text, "\nVMs:");
    for vm in &status.vms {
        let linked = if vm.linked { "linked" } else { "not linked" };
        let unreachable = if vm.unreachable { ", unreachable" } else { "" };
        let _ = writeln!(
            text,
            "  {:<20} {:<12} {}, {linked}{unreachable}",
            vm.id, vm.failure_domain, vm.listed
        );
    }
    let _ = writeln!(text, "\nbackend servers:");
    for server in &status.backend_servers {
        let why = if server.why.is_empty() { String::new() } else { format!(" ({})", server.why) };
        let versions: Vec<String> = server.versions.iter().map(ToString::to_string).collect();
        let _ = writeln!(
            text,
            "  {:<24} {}{why}, slices {}, versions {}, {} us",
            server.id,
            server.state,
            ranges_text(&server.slices),
            versions.join(" "),
            server.latency_us
        );
    }
    let _ = writeln!(text, "\nservices:");
    for service in &status.services {
        let _ = writeln!(
            text,
            "  {:<24} limit {}, running {}, refused {}, extra attempts {} of {}",
            service.name,
            service.concurrency_limit,
            service.running,
            service.refused,
            service.extra_attempts,
            service.first_attempts
        );
    }
    let _ = writeln!(text, "\ntimers:");
    for (name, [count, median, p99, max]) in &status.timers {
        let _ = writeln!(
            text,
            "  {name:<24} {count} times, median {median} us, p99 {p99} us, max {max} us"
        );
    }
    let _ = writeln!(text, "\nrefused requests:");
    for request in &status.refused_requests {
        let _ = writeln!(
            text,
            "  {} {} for {} ms",
            request.fingerprint, request.standing, request.ttl_ms
        );
    }
    text.trim_end().to_string()
}

/// Formats the backend servers of a selector as text.
fn explanation_text(explanation: &Explanation) -> String {
    let mut text = String::new();
    let selector: Vec<String> =
        explanation.selector.iter().map(|(label, value)| format!("{label}={value}")).collect();
    let slices = ranges_text(std::slice::from_ref(&explanation.slices));
    let _ = writeln!(
        text,
        "service {}: selector {}, slices {slices}",
        explanation.service,
        selector.join(" ")
    );
    let _ = writeln!(text, "version {}", explanation.version);
    for server in &explanation.backend_servers {
        let why = if server.why.is_empty() { String::new() } else { format!(" ({})", server.why) };
        let slices = ranges_text(std::slice::from_ref(&server.slices));
        let _ = writeln!(
            text,
            "  {:<24} published {}, now {}{why}, slices {slices}, through {}",
            server.id,
            server.phase,
            server.state,
            server.reached_through.join(" ")
        );
    }
    text.trim_end().to_string()
}

/// Formats slice ranges as text.
fn ranges_text(ranges: &[SliceRange]) -> String {
    let parts: Vec<String> =
        ranges.iter().map(|range| format!("{}..{}", range.start, range.end)).collect();
    if parts.is_empty() { "none".to_string() } else { parts.join(" ") }
}

/// Formats a refusal as text.
fn describe_refusal(refusal: &Refusal) -> String {
    let mut text = format!("{}; outcome: {}", refusal.message, refusal.outcome);
    if refusal.retry_after_ms > 0 {
        let _ = write!(text, "; retry after {} ms", refusal.retry_after_ms);
    }
    if refusal.settled_after_unix_ms > 0 {
        let _ = write!(
            text,
            "; can no longer run after Unix time {} ms",
            refusal.settled_after_unix_ms
        );
    }
    if !refusal.ticket.is_empty() {
        let _ = write!(text, "; ticket: {}", refusal.ticket);
    }
    text
}

/// Joins findings, one per line.
fn join_lines(findings: &[Finding]) -> String {
    findings.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Formats a value as indented JSON.
fn to_json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
