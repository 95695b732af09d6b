//! Calls to the platform and the time until every VM has accepted a change, by the number of VMs.

use std::io;
use std::time::{Duration, Instant};

use hawthornstand_standins::fleet::FleetSpec;

use super::start;
use crate::ExperimentOptions;
use crate::process::{counter_sum, cpu_time, resident_bytes, status};
use crate::report::{Table, fit_line};

/// Numbers of VMs.
const SIZES: &[usize] = &[3, 9, 27, 81];
/// Changes published at each number of VMs.
const CHANGES: usize = 5;

/// Measures at rest, while changes are published, and while all VMs restart at once.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut table = Table::new(&[
        "VMs",
        "calls/s at rest",
        "calls per change",
        "in force everywhere, s (worst of 5)",
        "calls/s when all restart",
        "links per VM",
        "control CPU % of a core per VM",
        "gossip B/s per VM",
        "resident MiB per VM",
    ]);
    let mut at_rest = Vec::new();
    for &vms in SIZES {
        let mut spec = FleetSpec::with_equal_shards(&options.daemon, vms, 4, 2, 10);
        spec.planned_vms = vms as u64;
        for (number, vm) in spec.vms.iter_mut().enumerate() {
            vm.failure_domain = format!("domain-{}", number % 3);
        }
        for leaf in &mut spec.leafs {
            leaf.connection_limit = vms * 2 + 8;
        }
        let mut fleet = start(spec, "").await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let rest_s = options.seconds_or(8);
        let (calls, cpu, gossip) = (
            fleet.platform.call_count(),
            total_cpu(&fleet)?,
            counter_sum(&fleet, "link.gossip_bytes").await,
        );
        tokio::time::sleep(Duration::from_secs(rest_s)).await;
        let rest_calls = (fleet.platform.call_count() - calls) as f64 / rest_s as f64;
        let cpu = (total_cpu(&fleet)? - cpu).as_secs_f64() / rest_s as f64 / vms as f64;
        let gossip = (counter_sum(&fleet, "link.gossip_bytes").await - gossip) as f64
            / rest_s as f64
            / vms as f64;
        at_rest.push((vms as f64, rest_calls));
        let mut worst = Duration::ZERO;
        let calls = fleet.platform.call_count();
        let changing = Instant::now();
        for change in 0..CHANGES {
            let leaving = change % 2 == 0;
            let revision = fleet
                .publish_leafs(|id| (leaving && id == "leaf-00-a").then_some("leaving"))
                .map_err(io::Error::other)?;
            let published = Instant::now();
            for vm in fleet.vms.keys() {
                while status(&fleet, vm).await?["accepted_revision"] != revision {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
            worst = worst.max(published.elapsed());
        }
        let idle_calls = rest_calls * changing.elapsed().as_secs_f64();
        let per_change =
            ((fleet.platform.call_count() - calls) as f64 - idle_calls) / CHANGES as f64;
        let links = status(&fleet, "entry-1").await?["vms"]
            .as_array()
            .map_or(0, |vms| vms.iter().filter(|vm| vm["linked"] == true).count());
        let memory: u64 =
            fleet.vms.keys().filter_map(|vm| resident_bytes(fleet.pid(vm)?).ok()).sum();
        let ids: Vec<String> = fleet.vms.keys().cloned().collect();
        for id in &ids {
            fleet.kill_vm(id)?;
        }
        let (calls, restarted) = (fleet.platform.call_count(), Instant::now());
        fleet.start_vms().await?;
        let restart_calls =
            (fleet.platform.call_count() - calls) as f64 / restarted.elapsed().as_secs_f64();
        table.row(&[
            vms.to_string(),
            format!("{rest_calls:.1}"),
            format!("{per_change:.1}"),
            format!("{:.3}", worst.as_secs_f64()),
            format!("{restart_calls:.0}"),
            links.to_string(),
            format!("{:.2}", cpu * 100.0),
            format!("{gossip:.0}"),
            format!("{:.1}", memory as f64 / vms as f64 / f64::from(1 << 20)),
        ]);
    }
    let (slope, intercept, residual) = fit_line(&at_rest);
    println!(
        "\ncalls/s at rest = {intercept:.2} + {slope:.4} x VMs, largest residual {residual:.2}"
    );
    Ok(())
}

/// Returns the CPU time that all VMs have used.
fn total_cpu(fleet: &hawthornstand_standins::fleet::Fleet) -> io::Result<Duration> {
    let mut total = Duration::ZERO;
    for vm in fleet.vms.keys() {
        if let Some(pid) = fleet.pid(vm) {
            total += cpu_time(pid)?;
        }
    }
    Ok(total)
}
