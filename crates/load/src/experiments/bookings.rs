//! Bookings with resends while VMs and backend servers are killed, frozen or partitioned at random.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hawthornstand_standins::booking_caller::{BookingOutcome, book, compare_with_executions};
use hawthornstand_standins::fleet::{Fleet, FleetSpec, SIGCONT, SIGSTOP};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{caller_addresses, start};
use crate::ExperimentOptions;
use crate::report::Table;

/// Total number of bookings; the `--rate` option overrides it.
const BOOKINGS: u64 = 10_000;
/// Number of concurrent clients.
const CLIENTS: u64 = 32;
/// Longest pause of a client between two bookings.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Number of VMs.
const VMS: usize = 5;

/// Runs the bookings with one fault at a time: a VM killed, frozen or partitioned, or a backend server killed.
pub async fn run(options: &ExperimentOptions) -> io::Result<()> {
    let mut spec = FleetSpec::with_equal_shards(&options.daemon, VMS, 4, 3, 10);
    spec.use_link_proxies = true;
    let mut fleet = start(spec, "booking:\n  ticket_ttl_ms: 3000\n").await?;
    let addresses = Arc::new(caller_addresses(&fleet));
    let next = Arc::new(AtomicU64::new(0));
    let total = if options.rate > 0 { options.rate } else { BOOKINGS };
    let mut tasks = Vec::new();
    for client in 0..CLIENTS {
        let (addresses, next) = (Arc::clone(&addresses), Arc::clone(&next));
        let mut rng = StdRng::seed_from_u64(options.seed * 1000 + client);
        tasks.push(tokio::spawn(async move {
            let mut outcomes = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                if number >= total {
                    return outcomes;
                }
                tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
                outcomes.push((number, book(&addresses, number, &mut rng).await));
            }
        }));
    }
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    while next.load(Ordering::SeqCst) < total {
        *faults.entry(inject_fault(&mut fleet, &mut rng).await?).or_default() += 1;
    }
    let mut outcomes: Vec<(u64, BookingOutcome)> = Vec::new();
    for task in tasks {
        outcomes.extend(task.await?);
    }
    // Waits until the last ticket has expired, so that no booking can still run.
    tokio::time::sleep(Duration::from_secs(4)).await;
    report(&fleet, &outcomes, &faults);
    Ok(())
}

/// Injects one random fault, waits for a random time and reverts it; returns its name.
async fn inject_fault(fleet: &mut Fleet, rng: &mut StdRng) -> io::Result<&'static str> {
    let vm = format!("entry-{}", rng.random_range(1..=VMS));
    let duration = Duration::from_millis(rng.random_range(200..1500));
    let kind = rng.random_range(0..5);
    let name = match kind {
        0 => {
            fleet.kill_vm(&vm)?;
            tokio::time::sleep(duration).await;
            fleet.start_vm(&vm)?;
            fleet.wait_ready(&vm, Duration::from_secs(20)).await?;
            "VM killed and replaced"
        }
        1 => {
            fleet.signal(&vm, SIGSTOP)?;
            tokio::time::sleep(duration * 4).await;
            fleet.signal(&vm, SIGCONT)?;
            "VM frozen"
        }
        2 | 3 => {
            let others: Vec<String> = fleet.vms.keys().filter(|id| **id != vm).cloned().collect();
            for other in &others {
                fleet.set_partition(&vm, other, true, kind == 2)?;
            }
            tokio::time::sleep(duration * 2).await;
            for other in &others {
                fleet.set_partition(&vm, other, false, true)?;
            }
            if kind == 2 { "VM cut off" } else { "VM cut off one way" }
        }
        _ => {
            let ids: Vec<String> = fleet.leafs.keys().cloned().collect();
            let id = &ids[rng.random_range(0..ids.len())];
            let leaf = fleet.leafs.get_mut(id).expect("a known backend server");
            leaf.kill();
            tokio::time::sleep(duration).await;
            leaf.restart().await?;
            "backend server killed and restarted"
        }
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(name)
}

/// Prints the outcomes that clients received, compared with the executions of the backend servers.
fn report(fleet: &Fleet, outcomes: &[(u64, BookingOutcome)], faults: &BTreeMap<&str, usize>) {
    let counts = compare_with_executions(fleet.leafs.values(), outcomes);
    let with_percent = |count: usize| {
        format!("{count} ({:.2}%)", 100.0 * count as f64 / outcomes.len().max(1) as f64)
    };
    let mut table = Table::new(&["what", "count"]);
    table.row(&["bookings".to_string(), outcomes.len().to_string()]);
    table.row(&["run more than once".to_string(), counts.run_twice.to_string()]);
    table.row(&["acknowledged and not run".to_string(), counts.acknowledged_not_run.to_string()]);
    table.row(&["\"not run\" that ran".to_string(), counts.false_not_run.to_string()]);
    table.row(&["done".to_string(), with_percent(counts.done)]);
    table.row(&["not run".to_string(), with_percent(counts.not_run)]);
    table.row(&["unknown".to_string(), with_percent(counts.unknown)]);
    for (name, count) in faults {
        table.row(&[format!("fault: {name}"), count.to_string()]);
    }
}
