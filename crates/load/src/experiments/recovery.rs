//! VMs restart at once under load: all of them with the platform up, all but one with the platform down.

use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use hawthornstand_standins::fleet::Fleet;

use super::{caller_addresses, start};
use crate::ExperimentOptions;
use crate::deployments::{KADEH, single_pool};
use crate::generator::{LoadSpec, check_hits, run_load};
use crate::report::Table;

/// Measures both restarts, each on a fleet of nine VMs.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "restart",
        "first true complete answer, s",
        "all VMs ready, s",
        "connections opened per s at one backend server",
        "platform calls per s",
        "wrong answers",
    ]);
    for (name, platform_down, kept) in
        [("all nine, platform up", false, 0), ("eight of nine, platform down", true, 1)]
    {
        let spec = single_pool(&options.daemon, &KADEH, &KADEH.pools[0], 9);
        let mut fleet = start(spec, "").await?;
        let addresses = caller_addresses(&fleet);
        let load = LoadSpec {
            addresses: addresses[..kept.max(1)].to_vec(),
            duration: Duration::from_secs(options.seconds_or(10)),
            limit: 10,
            rate_per_s: options.rate_or(200),
            services: vec![KADEH.pools[0].name.to_string()],
            timeout_ms: 500,
        };
        let running = tokio::spawn(async move { run_load(&load).await });
        tokio::time::sleep(Duration::from_secs(2)).await;
        if platform_down {
            for replica in fleet.replicas.values_mut() {
                replica.stop_serving().await;
            }
        }
        let ids: Vec<String> = fleet.vms.keys().skip(kept).cloned().collect();
        for id in &ids {
            fleet.kill_vm(id)?;
        }
        let accepted_before = max_accepted_connections(&fleet);
        let (calls, restarted) = (fleet.platform.call_count(), Instant::now());
        for id in &ids {
            fleet.start_vm(id)?;
        }
        let first = first_complete_response(&fleet.vm(&ids[0])?.caller_address).await;
        for id in &ids {
            fleet.wait_ready(id, Duration::from_secs(30)).await?;
        }
        let ready = restarted.elapsed();
        let opened =
            (self::max_accepted_connections(&fleet) - accepted_before) as f64 / ready.as_secs_f64();
        let calls = (fleet.platform.call_count() - calls) as f64 / ready.as_secs_f64();
        let results = running.await??;
        table.row(&[
            name.to_string(),
            format!("{:.3}", (first - restarted).as_secs_f64()),
            format!("{:.3}", ready.as_secs_f64()),
            format!("{opened:.1}"),
            format!("{calls:.1}"),
            results.count(|record| record.inconsistency.is_some()).to_string(),
        ]);
    }
    Ok(())
}

/// Returns the time at which a VM first gives a complete and consistent response.
async fn first_complete_response(address: &str) -> Instant {
    let headers = [("timeout-ms", "500".to_string())];
    loop {
        let body = r#"{"query":"q","limit":1000}"#;
        let path = format!("/services/{}/search", KADEH.pools[0].name);
        if let Ok(reply) =
            hawthornstand_standins::http::send(address, "POST", &path, &headers, body).await
            && reply.body["coverage"]["complete"] == true
            && check_hits(&reply.body).is_none()
        {
            return Instant::now();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the largest number of connections that one backend server has accepted.
fn max_accepted_connections(fleet: &Fleet) -> usize {
    fleet
        .leafs
        .values()
        .map(|leaf| leaf.connections.total.load(Ordering::SeqCst))
        .max()
        .unwrap_or(0)
}
