//! Settings of the daemon, read from YAML and validated.

use std::net::SocketAddr;
use std::path::Path;

use crate::configuration::schema_check::{Finding, SETTINGS_SCHEMA, line_of, parse_checked};
pub use crate::generated::settings::*;

/// Reads and validates a settings file.
pub fn load(path: &Path) -> Result<DaemonSettings, Vec<Finding>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        vec![Finding {
            file: file.clone(),
            line: 1,
            field: String::new(),
            found: e.to_string(),
            allowed: "a readable file".to_string(),
        }]
    })?;
    parse(&file, &text)
}

/// Parses and validates settings text; `file` is only used in findings.
pub fn parse(file: &str, text: &str) -> Result<DaemonSettings, Vec<Finding>> {
    let settings: DaemonSettings = parse_checked(file, text, SETTINGS_SCHEMA, "")?;
    let findings = check_addresses(file, text, &settings);
    if findings.is_empty() { Ok(settings) } else { Err(findings) }
}

/// Checks what the schema cannot express: addresses must be IP addresses with ports.
fn check_addresses(file: &str, text: &str, settings: &DaemonSettings) -> Vec<Finding> {
    let mut fields: Vec<(Vec<String>, &str)> = vec![
        (vec!["admin_address".to_string()], &settings.admin_address),
        (vec!["caller_address".to_string()], &settings.caller_address),
        (vec!["peer_address".to_string()], &settings.peer_address),
    ];
    if !settings.metrics.statsd_address.is_empty() {
        fields.push((
            vec!["metrics".to_string(), "statsd_address".to_string()],
            &settings.metrics.statsd_address,
        ));
    }
    for (index, address) in settings.platform.addresses.iter().enumerate() {
        fields.push((
            vec!["platform".to_string(), "addresses".to_string(), index.to_string()],
            address,
        ));
    }
    for (index, address) in settings.seed_peers.iter().enumerate() {
        fields.push((vec!["seed_peers".to_string(), index.to_string()], address));
    }
    let mut findings = Vec::new();
    for (path, address) in fields {
        if address.parse::<SocketAddr>().is_ok() {
            continue;
        }
        findings.push(Finding {
            file: file.to_string(),
            line: line_of(text, &path),
            field: path.join("."),
            found: format!("{address:?}"),
            allowed: "an IP address and a port, such as 10.0.0.7:7000".to_string(),
        });
    }
    findings
}
