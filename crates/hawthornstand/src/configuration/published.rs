//! The published configuration, which is accepted or rejected as a whole.

use std::net::SocketAddr;

use crate::configuration::schema_check::{Finding, PUBLISHED_SCHEMA, parse_checked};
use crate::derives::value_types;
pub use crate::generated::published::*;
use crate::ids::{BlockId, Revision};

/// Label with the phase of a backend server: `entering`, `serving` or `leaving`.
pub const PHASE_LABEL: &str = "phase";
/// Largest published value accepted, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const BACKEND_SERVERS_PREFIX: &str = "backend-servers/";
const FLEET_KEY: &str = "fleet";
const SERVICES_PREFIX: &str = "services/";

/// Phase of a backend server, from its label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    Entering,
    Leaving,
    Serving,
}

value_types! {
    /// Published entries at one revision; deleted keys are kept without a value.
    #[derive(Default)]
    pub struct RawConfig {
        pub revision: Revision,
        /// Sorted by key.
        pub entries: Vec<ConfigEntry>,
    }

    /// A published backend server with its block and phase.
    pub struct ConfiguredLeaf {
        pub block: BlockId,
        pub phase: Phase,
        pub server: BackendServer,
    }

    /// A service with the backend servers that its selector matches.
    pub struct ResolvedService {
        /// Indexes into `AcceptedConfig::leafs`, sorted by first slice and id.
        pub leafs: Vec<usize>,
        pub service: Service,
    }

    /// A configuration that passed every check.
    pub struct AcceptedConfig {
        pub fleet: Fleet,
        /// Sorted by id.
        pub leafs: Vec<ConfiguredLeaf>,
        pub raw: RawConfig,
        /// Sorted by name.
        pub services: Vec<ResolvedService>,
    }
}

impl RawConfig {
    /// Applies changes; returns false if they are not newer than this revision.
    pub fn apply(&mut self, changes: &ConfigChanges) -> bool {
        if changes.revision <= self.revision {
            return false;
        }
        for change in &changes.entries {
            match self.entries.binary_search_by(|entry| entry.key.cmp(&change.key)) {
                Ok(index) => self.entries[index] = change.clone(),
                Err(index) => self.entries.insert(index, change.clone()),
            }
        }
        self.revision = changes.revision;
        true
    }

    /// Returns the entries that changed after a revision.
    pub fn changes_after(&self, revision: Revision) -> Vec<ConfigEntry> {
        self.entries.iter().filter(|entry| entry.revision > revision).cloned().collect()
    }
}

impl AcceptedConfig {
    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&ResolvedService> {
        let index = self
            .services
            .binary_search_by(|resolved| resolved.service.name.as_str().cmp(name))
            .ok()?;
        Some(&self.services[index])
    }
}

/// Validates a configuration; the result depends on its content only.
pub fn validate(raw: &RawConfig) -> Result<AcceptedConfig, Vec<Finding>> {
    let mut fleet: Option<Fleet> = None;
    let mut servers: Vec<BackendServer> = Vec::new();
    let mut services: Vec<Service> = Vec::new();
    for entry in &raw.entries {
        let Some(text) = entry.value.as_deref() else { continue };
        if text.len() > MAX_VALUE_BYTES {
            return Err(vec![value_finding(
                &entry.key,
                "",
                &format!("{} bytes", text.len()),
                "at most 1 MiB",
            )]);
        }
        if entry.key == FLEET_KEY {
            fleet = Some(parse_checked(&entry.key, text, PUBLISHED_SCHEMA, "Fleet")?);
        } else if entry.key.starts_with(BACKEND_SERVERS_PREFIX) {
            let value: BackendServers =
                parse_checked(&entry.key, text, PUBLISHED_SCHEMA, "BackendServers")?;
            check_servers(&entry.key, &value.backend_servers)?;
            servers.extend(value.backend_servers);
        } else if entry.key.starts_with(SERVICES_PREFIX) {
            let value: Services = parse_checked(&entry.key, text, PUBLISHED_SCHEMA, "Services")?;
            check_services(&entry.key, &value.services)?;
            services.extend(value.services);
        }
    }
    let Some(fleet) = fleet else {
        return Err(vec![value_finding(
            FLEET_KEY,
            "",
            "nothing",
            "the fleet's limits; the key is required",
        )]);
    };
    servers.sort_by(|a, b| a.id.cmp(&b.id));
    if let Some(pair) = servers.windows(2).find(|pair| pair[0].id == pair[1].id) {
        return Err(vec![value_finding(
            BACKEND_SERVERS_PREFIX,
            "id",
            &pair[0].id,
            "each identity once",
        )]);
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    if let Some(pair) = services.windows(2).find(|pair| pair[0].name == pair[1].name) {
        return Err(vec![value_finding(SERVICES_PREFIX, "name", &pair[0].name, "each name once")]);
    }
    Ok(resolve(fleet, servers, services, raw.clone()))
}

/// Returns the phase of a backend server, `Serving` without a phase label.
pub fn phase_of(server: &BackendServer) -> Phase {
    match server.labels.get(PHASE_LABEL).map(String::as_str) {
        Some("entering") => Phase::Entering,
        Some("leaving") => Phase::Leaving,
        _ => Phase::Serving,
    }
}

/// Returns whether a backend server has every label of a selector.
pub fn selects(service: &Service, server: &BackendServer) -> bool {
    service.selector.iter().all(|(label, value)| server.labels.get(label) == Some(value))
}

/// Resolves selectors and groups backend servers into blocks.
fn resolve(
    fleet: Fleet,
    servers: Vec<BackendServer>,
    services: Vec<Service>,
    raw: RawConfig,
) -> AcceptedConfig {
    let mut leafs: Vec<ConfiguredLeaf> = servers
        .into_iter()
        .map(|server| ConfiguredLeaf { block: BlockId::MAX, phase: phase_of(&server), server })
        .collect();
    let mut resolved_services: Vec<ResolvedService> = Vec::new();
    for service in services {
        let mut matching: Vec<usize> = Vec::new();
        for (index, leaf) in leafs.iter().enumerate() {
            if selects(&service, &leaf.server) && overlaps(&service, &leaf.server) {
                matching.push(index);
            }
        }
        matching.sort_by(|&a, &b| {
            (leafs[a].server.slice_start, &leafs[a].server.id)
                .cmp(&(leafs[b].server.slice_start, &leafs[b].server.id))
        });
        resolved_services.push(ResolvedService { leafs: matching, service });
    }
    assign_blocks(&fleet, &resolved_services, &mut leafs);
    AcceptedConfig { fleet, leafs, raw, services: resolved_services }
}

/// Assigns backend servers to blocks; one that several services match gets the block of the service with the most
/// backend servers.
fn assign_blocks(fleet: &Fleet, services: &[ResolvedService], leafs: &mut [ConfiguredLeaf]) {
    let mut order: Vec<&ResolvedService> = services.iter().collect();
    order.sort_by(|a, b| (b.leafs.len(), &a.service.name).cmp(&(a.leafs.len(), &b.service.name)));
    let mut next_block: BlockId = 0;
    for resolved in order {
        let mut shards_in_block = 0;
        let mut last_start = None;
        let mut any_assigned = false;
        for &index in &resolved.leafs {
            if leafs[index].block != BlockId::MAX {
                continue;
            }
            if last_start != Some(leafs[index].server.slice_start) {
                last_start = Some(leafs[index].server.slice_start);
                if any_assigned && shards_in_block == fleet.block_shards {
                    next_block += 1;
                    shards_in_block = 0;
                }
                shards_in_block += 1;
                any_assigned = true;
            }
            leafs[index].block = next_block;
        }
        if any_assigned {
            next_block += 1;
        }
    }
}

/// Returns whether a backend server holds slices of a service's key space.
fn overlaps(service: &Service, server: &BackendServer) -> bool {
    server.slice_start < service.slice_end && service.slice_start < server.slice_end
}

/// Checks the constraints on backend servers that the schema cannot express.
fn check_servers(key: &str, servers: &[BackendServer]) -> Result<(), Vec<Finding>> {
    for server in servers {
        if server.address.parse::<SocketAddr>().is_err() {
            return Err(vec![value_finding(
                key,
                "address",
                &server.address,
                "an IP number and a port",
            )]);
        }
        if server.slice_start >= server.slice_end {
            let found = format!("{}..{}", server.slice_start, server.slice_end);
            return Err(vec![value_finding(key, "slice_end", &found, "an end after the start")]);
        }
        let phase = server.labels.get(PHASE_LABEL).map_or("serving", String::as_str);
        if !["entering", "leaving", "serving"].contains(&phase) {
            return Err(vec![value_finding(
                key,
                "labels.phase",
                phase,
                "entering, leaving or serving",
            )]);
        }
    }
    Ok(())
}

/// Checks the constraints on services that the schema cannot express.
fn check_services(key: &str, services: &[Service]) -> Result<(), Vec<Finding>> {
    for service in services {
        if service.slice_start >= service.slice_end {
            let found = format!("{}..{}", service.slice_start, service.slice_end);
            return Err(vec![value_finding(key, "slice_end", &found, "an end after the start")]);
        }
        if service.selector.is_empty() {
            return Err(vec![value_finding(key, "selector", "no labels", "at least one label")]);
        }
    }
    Ok(())
}

/// Creates a finding about a published value.
fn value_finding(key: &str, field: &str, found: &str, allowed: &str) -> Finding {
    Finding {
        file: key.to_string(),
        line: 1,
        field: field.to_string(),
        found: found.to_string(),
        allowed: allowed.to_string(),
    }
}
