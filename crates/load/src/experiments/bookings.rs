//! Bookings with resends under random kills, freezes and cuts.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hawthornstand_standins::booking_caller::{BookingOutcome, book, compare_with_executions};
use hawthornstand_standins::fleet::{Fleet, FleetSpec, SIGCONT, SIGSTOP};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::{callers, start};
use crate::Setup;
use crate::report::Table;

/// Bookings in all.
const BOOKINGS: u64 = 10_000;
/// Callers that book at the same time.
const CALLERS: u64 = 32;
/// Longest pause of a caller between two bookings.
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// VMs.
const VMS: usize = 5;

/// Runs the bookings while at most one VM at a time is lost, frozen or cut off.
pub async fn run(setup: &Setup) -> io::Result<()> {
    let mut spec = FleetSpec::with_equal_shards(&setup.daemon, VMS, 4, 3, 10);
    spec.use_link_proxies = true;
    let mut fleet = start(spec, "booking:\n  ticket_ttl_ms: 3000\n").await?;
    let addresses = Arc::new(callers(&fleet));
    let next = Arc::new(AtomicU64::new(0));
    let total = if setup.rate > 0 { setup.rate } else { BOOKINGS };
    let mut tasks = Vec::new();
    for caller in 0..CALLERS {
        let (addresses, next) = (Arc::clone(&addresses), Arc::clone(&next));
        let mut rng = StdRng::seed_from_u64(setup.seed * 1000 + caller);
        tasks.push(tokio::spawn(async move {
            let mut ends = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                if number >= total {
                    return ends;
                }
                tokio::time::sleep(MAX_PAUSE.mul_f64(rng.random_range(0.0..1.0))).await;
                ends.push((number, book(&addresses, number, &mut rng).await));
            }
        }));
    }
    let mut rng = StdRng::seed_from_u64(setup.seed);
    let mut faults: BTreeMap<&str, usize> = BTreeMap::new();
    while next.load(Ordering::SeqCst) < total {
        *faults.entry(fault(&mut fleet, &mut rng).await?).or_default() += 1;
    }
    let mut ends: Vec<(u64, BookingOutcome)> = Vec::new();
    for task in tasks {
        ends.extend(task.await?);
    }
    // Whatever may still run has run once the last ticket has expired.
    tokio::time::sleep(Duration::from_secs(4)).await;
    report(&fleet, &ends, &faults);
    Ok(())
}

/// Causes one fault, lets it last, and undoes it.
async fn fault(fleet: &mut Fleet, rng: &mut StdRng) -> io::Result<&'static str> {
    let vm = format!("entry-{}", rng.random_range(1..=VMS));
    let lasts = Duration::from_millis(rng.random_range(200..1500));
    let kind = rng.random_range(0..5);
    let name = match kind {
        0 => {
            fleet.kill_vm(&vm)?;
            tokio::time::sleep(lasts).await;
            fleet.start_vm(&vm)?;
            fleet.wait_ready(&vm, Duration::from_secs(20)).await?;
            "VM killed and replaced"
        }
        1 => {
            fleet.signal(&vm, SIGSTOP)?;
            tokio::time::sleep(lasts * 4).await;
            fleet.signal(&vm, SIGCONT)?;
            "VM frozen"
        }
        2 | 3 => {
            let others: Vec<String> = fleet.vms.keys().filter(|id| **id != vm).cloned().collect();
            for other in &others {
                fleet.set_partition(&vm, other, true, kind == 2)?;
            }
            tokio::time::sleep(lasts * 2).await;
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
            tokio::time::sleep(lasts).await;
            leaf.restart().await?;
            "backend server killed and restarted"
        }
    };
    tokio::time::sleep(Duration::from_millis(300)).await;
    Ok(name)
}

/// Compares what callers were told with what backend servers ran.
fn report(fleet: &Fleet, ends: &[(u64, BookingOutcome)], faults: &BTreeMap<&str, usize>) {
    let seen = compare_with_executions(fleet.leafs.values(), ends);
    let share =
        |count: usize| format!("{count} ({:.2}%)", 100.0 * count as f64 / ends.len().max(1) as f64);
    let mut table = Table::new(&["what", "count"]);
    table.row(&["bookings".to_string(), ends.len().to_string()]);
    table.row(&["run more than once".to_string(), seen.run_twice.to_string()]);
    table.row(&["acknowledged and not run".to_string(), seen.acknowledged_not_run.to_string()]);
    table.row(&["\"not run\" that ran".to_string(), seen.false_not_run.to_string()]);
    table.row(&["done".to_string(), share(seen.done)]);
    table.row(&["not run".to_string(), share(seen.not_run)]);
    table.row(&["unknown".to_string(), share(seen.unknown)]);
    for (name, count) in faults {
        table.row(&[format!("fault: {name}"), count.to_string()]);
    }
}
