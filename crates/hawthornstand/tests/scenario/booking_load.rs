//! Directives for a continuous booking load in the background.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use hawthornstand_standins::booking_caller::{BookingOutcome, book, compare_with_executions};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;

use super::{Args, DirectiveResult, Runner};

/// Pause of a client between two bookings.
const PAUSE: Duration = Duration::from_millis(20);
/// Wait before the comparison; afterwards no ticket of the scenario can start an execution.
const TICKET_EXPIRY_WAIT: Duration = Duration::from_secs(3);

/// Clients that send bookings until the result is requested.
pub struct BookingLoad {
    clients: Vec<JoinHandle<Vec<(u64, BookingOutcome)>>>,
    stop: Arc<AtomicBool>,
}

/// Runs one directive.
pub fn run(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    if args.0.directive == "booking-load" { start(runner, args) } else { result(runner, args) }
}

/// `booking-load`: starts clients that book through random VMs and resend as the protocol allows.
fn start(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let fleet = runner.fleet()?;
    let addresses: Arc<Vec<String>> =
        Arc::new(fleet.vms.values().map(|vm| vm.caller_address.clone()).collect());
    let (next, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for client in 0..args.number_or("clients", 8)? {
        let (addresses, next, stop) =
            (Arc::clone(&addresses), Arc::clone(&next), Arc::clone(&stop));
        let mut rng = StdRng::seed_from_u64(args.number_or("seed", 1)? * 1000 + client);
        clients.push(runner.runtime.spawn(async move {
            let mut outcomes = Vec::new();
            while !stop.load(Ordering::SeqCst) {
                let number = next.fetch_add(1, Ordering::SeqCst);
                outcomes.push((number, book(&addresses, number, &mut rng).await));
                tokio::time::sleep(PAUSE).await;
            }
            outcomes
        }));
    }
    runner.booking_load = Some(BookingLoad { clients, stop });
    Ok("running".to_string())
}

/// `booking-load-result`: stops the load and prints the counts that must be zero.
///
/// Fails if less than half of the bookings are done, or with `unknown=none` if an outcome is unknown.
fn result(runner: &mut Runner, args: &Args<'_>) -> DirectiveResult {
    let Some(load) = runner.booking_load.take() else {
        return Err("no booking load is running".to_string());
    };
    load.stop.store(true, Ordering::SeqCst);
    let mut outcomes = Vec::new();
    for client in load.clients {
        outcomes.extend(runner.runtime.block_on(client).map_err(|e| e.to_string())?);
    }
    std::thread::sleep(TICKET_EXPIRY_WAIT);
    let counts = compare_with_executions(runner.fleet()?.leafs.values(), &outcomes);
    if counts.done < outcomes.len() / 2 {
        return Err(format!("less than half of the bookings are done: {counts:?}"));
    }
    if args.optional("unknown").as_deref() == Some("none") && counts.unknown > 0 {
        return Err(format!("{} of {} outcomes are unknown", counts.unknown, outcomes.len()));
    }
    Ok(format!(
        "{} executed twice, {} acknowledged but not executed, {} reported not_run but executed",
        counts.run_twice, counts.acknowledged_not_run, counts.false_not_run
    ))
}
