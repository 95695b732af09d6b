//! Text form of a gateway's status for operators.

use std::fmt::Write;

use crate::gateway::caller_load::CallerLoad;
use crate::gateway::status::{GatewayStatus, ServerStatus, ServiceStatus};

/// Availability of a backend server that the overview leaves out.
const USABLE: &str = "Usable";
/// Reach of a service of which no backend server responds to the VM.
const LOST: &str = "Lost";

/// Formats an overview: the VM, each service, and each backend server that is not `Usable`.
pub fn overview(status: &GatewayStatus) -> String {
    let mut text = String::new();
    let version = status.config_version.map_or("none".to_string(), |version| version.to_string());
    let retained = if status.is_config_retained { ", which the store lacks" } else { "" };
    let _ = writeln!(text, "active configuration version: {version}{retained}");
    let confirmed = match status.confirmed_ms_ago {
        Some(age_ms) => format!("confirmed by the store {age_ms} ms ago"),
        None => "never confirmed by the store".to_string(),
    };
    let (as_of, era) = (status.as_of, status.era);
    let _ = writeln!(text, "last known store revision: {as_of} of era {era}, {confirmed}");
    let store = if status.store_away { "does not answer" } else { "answers" };
    let _ = writeln!(text, "store {store}; {} known VMs", status.fleet);
    let _ = writeln!(text, "{}", relay_line(status));
    let CallerLoad { body_bytes, connections } = status.callers;
    let _ = writeln!(text, "callers: {connections} connections, {body_bytes} bytes of bodies");
    for service in &status.services {
        let _ = writeln!(text, "\n{}", service_summary(service));
        for server in service.servers.iter().filter(|server| server.availability != USABLE) {
            let _ = writeln!(text, "{}", server_line(server));
        }
    }
    text.trim_end().to_string()
}

/// Returns the line that tells who searches the shards.
fn relay_line(status: &GatewayStatus) -> String {
    if status.relays == 0 {
        return "searches: run by every VM".to_string();
    }
    if status.is_relay {
        return format!(
            "searches: run here, and for others; {} relays in the fleet",
            status.relays
        );
    }
    let linked: Vec<String> = status.linked_relays.iter().map(ToString::to_string).collect();
    if linked.is_empty() {
        return format!("searches: run here, no link to one of {} relays", status.relays);
    }
    format!("searches: handed to {}; {} relays in the fleet", linked.join(", "), status.relays)
}

/// Formats one service with all of its backend servers.
pub fn service(service: &ServiceStatus) -> String {
    let mut text = service_summary(service);
    for server in &service.servers {
        let _ = write!(text, "\n{}", server_line(server));
    }
    text
}

/// Returns the summary line of a service.
fn service_summary(service: &ServiceStatus) -> String {
    let usable = service.servers.iter().filter(|server| server.availability == USABLE).count();
    let lost = if service.reach == LOST { ", none responds to this VM" } else { "" };
    format!(
        "{}: {usable} of {} backend servers usable{lost}, {} extra attempts for {} requests in the window",
        service.name,
        service.servers.len(),
        service.extra_in_window,
        service.requests_in_window
    )
}

/// Returns the line of a backend server.
fn server_line(server: &ServerStatus) -> String {
    let leaving = server.leaving_for_ms.map(|ms| format!(", says that it leaves since {ms} ms"));
    let quiet = (server.quiet_left_ms > 0)
        .then(|| format!(", asks for quiet for {} ms", server.quiet_left_ms));
    let replaced = server
        .replaced_for_ms
        .map(|ms| format!(", another one answers at its address since {ms} ms"));
    let limit = server.limit_per_s.map(|limit| format!(", limit {limit:.1} requests/s"));
    format!(
        "  {} at {}, {}: {}, {}; {} ms expected, {}% failed, {} running, {} of {} connections{}{}{}{}",
        server.id,
        server.address,
        server.proximity,
        server.availability,
        server.listing,
        server.expected_ms,
        server.failure_percent,
        server.in_flight,
        server.connections,
        server.max_connections,
        limit.unwrap_or_default(),
        leaving.unwrap_or_default(),
        quiet.unwrap_or_default(),
        replaced.unwrap_or_default()
    )
}
