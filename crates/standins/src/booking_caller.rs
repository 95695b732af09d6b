//! A client that books as the contract for callers describes: it gets a ticket, then sends the booking
//! through random VMs until the outcome is final.

use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use serde_json::json;

use crate::http;
use crate::leaf::Leaf;

/// Requests for one booking, including the one for its ticket, before the client gives up.
const MAX_ATTEMPTS: usize = 12;
/// Time that the client waits for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit that one attempt passes to the VM in the `timeout-ms` header.
const REQUEST_TIMEOUT_MS: u64 = 500;

/// Outcome of a booking as reported to its client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BookingOutcome {
    Done,
    NotRun,
    Unknown,
}

/// Outcomes that clients received, compared with the executions of the backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OutcomeComparison {
    /// Bookings reported as done that no backend server ran.
    pub acknowledged_not_run: usize,
    pub done: usize,
    /// Bookings reported as not run that a backend server ran.
    pub false_not_run: usize,
    pub not_run: usize,
    pub run_twice: usize,
    pub unknown: usize,
}

/// Sends a booking until its outcome is final or the client gives up.
pub async fn book(addresses: &[String], number: u64, rng: &mut StdRng) -> BookingOutcome {
    let body = json!({ "key": format!("k{number}"), "payload": payload(number) }).to_string();
    let mut ticket = String::new();
    let mut outcome = BookingOutcome::NotRun;
    for _ in 0..MAX_ATTEMPTS {
        let address = &addresses[rng.random_range(0..addresses.len())];
        let mut headers = vec![("timeout-ms", REQUEST_TIMEOUT_MS.to_string())];
        if !ticket.is_empty() {
            headers.push(("ticket", ticket.clone()));
        }
        let send = http::send(address, "POST", "/services/roster/book", &headers, &body);
        let Ok(Ok(reply)) = tokio::time::timeout(RESPONSE_TIMEOUT, send).await else {
            // Only an attempt with a ticket can have run the booking.
            outcome = if ticket.is_empty() { outcome } else { BookingOutcome::Unknown };
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if reply.status == 200 {
            return BookingOutcome::Done;
        }
        if reply.body["error"] == "TicketRequired" {
            ticket = reply.body["ticket"].as_str().unwrap_or_default().to_string();
            continue;
        }
        outcome = if reply.body["outcome"] == "not_run" {
            BookingOutcome::NotRun
        } else {
            BookingOutcome::Unknown
        };
        if reply.body["error"] == "TicketExpired" && outcome == BookingOutcome::NotRun {
            return outcome;
        }
        tokio::time::sleep(Duration::from_millis(reply.retry_after_ms.unwrap_or(100).min(500)))
            .await;
    }
    outcome
}

/// Compares the outcomes of bookings with the execution records of the backend servers.
pub fn compare_with_executions<'a>(
    leafs: impl Iterator<Item = &'a Leaf>,
    outcomes: &[(u64, BookingOutcome)],
) -> OutcomeComparison {
    let mut executed: Vec<String> =
        leafs.flat_map(Leaf::executions).map(|execution| execution.payload).collect();
    executed.sort();
    let mut comparison = OutcomeComparison::default();
    for (number, outcome) in outcomes {
        let text = format!("\"{}\"", payload(*number));
        let count = executed.iter().filter(|payload| payload.contains(&text)).count();
        comparison.run_twice += usize::from(count > 1);
        match outcome {
            BookingOutcome::Done => {
                comparison.done += 1;
                comparison.acknowledged_not_run += usize::from(count == 0);
            }
            BookingOutcome::NotRun => {
                comparison.not_run += 1;
                comparison.false_not_run += usize::from(count > 0);
            }
            BookingOutcome::Unknown => comparison.unknown += 1,
        }
    }
    comparison
}

/// Returns the payload of the booking with a number.
fn payload(number: u64) -> String {
    format!("booking-{number}-end")
}
