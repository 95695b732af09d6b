//! What a VM on the users' platform believes, as text for the person on call.

use std::fmt::Write;

use crate::gateway::status::{GatewayStatus, ServerStatus, ServiceStatus};

/// Standing of a backend server that needs no line of its own.
const USABLE: &str = "Usable";

/// Writes an overview: the VM, each service, and each backend server that is not simply usable.
pub fn overview(status: &GatewayStatus) -> String {
    let mut text = String::new();
    let version = status.config_version.map_or("none".to_string(), |version| version.to_string());
    let _ = writeln!(text, "configuration in force: {version}");
    let confirmed = match status.confirmed_ms_ago {
        Some(age_ms) => format!("confirmed by the store {age_ms} ms ago"),
        None => "never confirmed by the store".to_string(),
    };
    let _ = writeln!(text, "store revision known: {}, {confirmed}", status.as_of);
    let store = if status.store_away { "does not answer" } else { "answers" };
    let _ = writeln!(text, "store {store}; {} VMs heard of", status.fleet);
    for service in &status.services {
        let _ = writeln!(text, "\n{}", headline(service));
        for server in service.servers.iter().filter(|server| server.availability != USABLE) {
            let _ = writeln!(text, "{}", line(server));
        }
    }
    text.trim_end().to_string()
}

/// Writes everything about one service.
pub fn service(service: &ServiceStatus) -> String {
    let mut text = headline(service);
    for server in &service.servers {
        let _ = write!(text, "\n{}", line(server));
    }
    text
}

/// Returns one line about a service.
fn headline(service: &ServiceStatus) -> String {
    let usable = service.servers.iter().filter(|server| server.availability == USABLE).count();
    format!(
        "{}: {usable} of {} backend servers usable, {} extra attempts for {} requests in the window",
        service.name,
        service.servers.len(),
        service.extra_in_window,
        service.requests_in_window
    )
}

/// Returns one line about a backend server.
fn line(server: &ServerStatus) -> String {
    format!(
        "  {} at {}, {}: {}, {}; {} ms expected, {}% failed, {} running, {} of {} connections",
        server.id,
        server.address,
        server.proximity,
        server.availability,
        server.listing,
        server.expected_ms,
        server.failure_percent,
        server.in_flight,
        server.connections,
        server.max_connections
    )
}
