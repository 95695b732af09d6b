//! Slopes for the capacity page: memory and CPU time by the number of backend servers, and cost per change.

use std::io;
use std::time::Duration;

use hawthornstand_standins::fleet::{Fleet, FleetSpec};

use crate::ExperimentOptions;
use crate::process::{counter_sum, cpu_time, resident_bytes};
use crate::report::{Table, fit_line};

/// Numbers of published backend servers.
const SERVERS: &[u64] = &[100, 400, 1600];
/// Changes published for the cost per change.
const CHANGES: u64 = 20;
/// Listed VMs that are not running, so that the measured VM connects to almost no backend server.
const OFFLINE_VMS: usize = 200;

/// Measures one VM that connects to all published backend servers, and one that connects to almost none.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    println!("Every backend server is reached:\n");
    measure(options, true).await?;
    println!(
        "\nAlmost no backend server is reached (1 VM of {} for each block of 10):\n",
        OFFLINE_VMS + 2
    );
    measure(options, false).await
}

/// Measures at each number of backend servers.
async fn measure(options: &ExperimentOptions, connected: bool) -> io::Result<()> {
    let mut table = Table::new(&[
        "backend servers",
        "resident MiB",
        "probe CPU ms/s",
        "CPU ms per change of one label",
        "gossip B per change",
    ]);
    let (mut memory, mut probes, mut changes) = (Vec::new(), Vec::new(), Vec::new());
    for &servers in SERVERS {
        let mut spec = FleetSpec::with_equal_shards(&options.daemon, 2, servers, 1, 1);
        spec.settings = "backend:\n  connects_per_s: 2000\n".to_string();
        spec.block_shards = 100_000;
        if !connected {
            spec.block_shards = 10;
            spec.planned_vms = 1000;
            spec.replaced_at_once = 1;
            spec.leafs.iter_mut().for_each(|leaf| leaf.connection_limit = 2);
        }
        let mut fleet = Fleet::start(spec).await?;
        if !connected {
            list_offline_vms(&fleet);
        }
        fleet.start_vms().await?;
        tokio::time::sleep(Duration::from_secs(3)).await;
        let pid = fleet.pid("entry-2").expect("a running VM");
        let seconds = options.seconds_or(8);
        let cpu = cpu_time(pid)?;
        tokio::time::sleep(Duration::from_secs(seconds)).await;
        let probe_ms = (cpu_time(pid)? - cpu).as_secs_f64() * 1000.0 / seconds as f64;
        let resident = resident_bytes(pid)? as f64 / f64::from(1 << 20);
        let (cpu, gossip) = (cpu_time(pid)?, counter_sum(&fleet, "link.gossip_bytes").await);
        let started = tokio::time::Instant::now();
        for change in 0..CHANGES {
            let id = format!("leaf-{:02}-a", change / 2);
            let leaving = change % 2 == 0;
            fleet
                .publish_leafs(|other| (leaving && other == id).then_some("leaving"))
                .map_err(io::Error::other)?;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let idle_ms = probe_ms * started.elapsed().as_secs_f64();
        let per_change_ms =
            ((cpu_time(pid)? - cpu).as_secs_f64() * 1000.0 - idle_ms) / CHANGES as f64;
        let gossip =
            (counter_sum(&fleet, "link.gossip_bytes").await - gossip) as f64 / CHANGES as f64;
        memory.push((servers as f64, resident));
        probes.push((servers as f64, probe_ms));
        changes.push((servers as f64, per_change_ms));
        table.row(&[
            servers.to_string(),
            format!("{resident:.1}"),
            format!("{probe_ms:.2}"),
            format!("{per_change_ms:.2}"),
            format!("{gossip:.0}"),
        ]);
    }
    for (name, unit, points) in [
        ("memory", "MiB", &memory),
        ("probe CPU", "ms/s", &probes),
        ("CPU per change", "ms", &changes),
    ] {
        let (slope, intercept, residual) = fit_line(points);
        println!(
            "\n{name} = {intercept:.3} {unit} + {slope:.5} {unit} x backend servers, largest residual {residual:.3} {unit}"
        );
    }
    Ok(())
}

/// Adds the VMs that are not running to the published list.
fn list_offline_vms(fleet: &Fleet) {
    let mut list = fleet.platform.vm_list();
    for number in 0..OFFLINE_VMS {
        let mut offline = list[0].clone();
        offline.id = format!("ghost-{number:04}");
        offline.address = format!("127.0.0.1:{}", 1 + number % 9);
        list.push(offline);
    }
    fleet.platform.set_vm_list(list);
}
