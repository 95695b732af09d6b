//! How relays share the limits on connections and extra attempts of a large fleet.

#[path = "support/gateway.rs"]
mod gateway_support;

use std::sync::Arc;

use gateway_support::{published_server, settings};
use hawthornstand::gateway::directory::{Directory, KeptConnections, RelayRole, Service};
use hawthornstand::gateway::model::{PublishedServer, PublishedService};
use hawthornstand::gateway::relays::choice::relays_per_region;
use rstest::rstest;

/// A VM's view of one shard with a replica near and one in another region.
struct View {
    directory: Directory,
    shard: Arc<Service>,
}

fn view(fleet_size: usize, max_connections: usize, role: RelayRole) -> View {
    let directory = Directory::new(settings());
    directory.apply_services(&[PublishedService {
        name: "portal".to_string(),
        health_path: "/health".to_string(),
        max_connections,
    }]);
    let shard = directory.service("portal");
    shard.mark_as_shard();
    directory.put(published_server("i-near"));
    directory
        .put(PublishedServer { failure_domain: "c".to_string(), ..published_server("i-remote") });
    directory.set_fleet_size(fleet_size);
    directory.set_relay_role(role);
    View { directory, shard }
}

/// Returns the connection limits to the near and to the remote replica.
fn limits(view: &View) -> (usize, usize) {
    let servers = view.shard.servers();
    let limit = |id: &str| {
        let found = servers.iter().find(|server| server.published.id == id);
        found.map_or(0, |server| server.pool.max_open())
    };
    (limit("i-near"), limit("i-remote"))
}

/// Pattern: all relays of a large fleet use all their connections.
#[rstest]
#[case::hundreds_of_vms(195, 125, 3)]
#[case::with_spares(267, 125, 3)]
#[case::dozens_of_vms(59, 62, 3)]
#[case::dozens_of_vms_with_spares(98, 70, 3)]
fn relays_hold_no_more_connections_than_a_backend_server_accepts(
    #[case] fleet_size: usize,
    #[case] max_connections: usize,
    #[case] regions: usize,
) {
    let of_region = relays_per_region(fleet_size, regions, max_connections / 2);
    let relays = of_region * regions;
    let view = view(fleet_size, max_connections, RelayRole { is_relay: true, relays });
    let (near, remote) = limits(&view);
    assert!(near >= 1 && remote >= 1);
    // The replica is near to the relays of one region.
    let held = near * of_region + remote * (relays - of_region);
    assert!(held <= max_connections, "{held} of {max_connections}");
    assert_eq!(view.directory.keeps_connections(&view.shard), KeptConnections::All);
}

#[test]
fn vm_that_is_no_relay_keeps_no_connections_to_shards() {
    let view = view(195, 125, RelayRole { is_relay: false, relays: 21 });
    assert_eq!(view.directory.keeps_connections(&view.shard), KeptConnections::None);
    assert!(view.directory.has_relayed_shards());
}

#[test]
fn small_fleet_uses_no_relays() {
    let view = view(8, 26, RelayRole { is_relay: false, relays: 12 });
    assert!(!view.directory.has_relayed_shards());
    assert_eq!(view.directory.keeps_connections(&view.shard), KeptConnections::All);
}

#[test]
fn fleet_that_knows_no_relays_keeps_connections_within_the_region() {
    let view = view(195, 125, RelayRole { is_relay: false, relays: 0 });
    assert_eq!(view.directory.keeps_connections(&view.shard), KeptConnections::OwnRegion);
}

/// Pattern: backend servers of many shards refuse, and every VM retries as much as it may.
#[test]
fn extra_attempts_of_relays_and_others_add_up_to_the_share_of_the_fleet() {
    let settings = settings();
    let (fleet_size, relays) = (195, 21);
    let of_relays = settings.relayed_slack(fleet_size, relays, true) * relays as f64;
    let of_others =
        settings.relayed_slack(fleet_size, relays, false) * (fleet_size - relays) as f64;
    let whole = settings.extra_slack(1);
    assert!((of_relays + of_others - whole).abs() < 1e-6, "{of_relays} and {of_others} of {whole}");
    assert!(of_relays > of_others * 3.0);
}
