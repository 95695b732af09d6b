//! Issues tickets and keeps the outcomes of spent ones.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::bookings::ticket::{Ticket, TicketKey};
use crate::error::{ErrorKind, Failure};
use crate::ids::{BootId, Fingerprint, UnixMs};
use crate::locks::lock;
use crate::messages::{BookingAnswer, Outcome};
use crate::process::clock::Clock;
use crate::settings::BookingSettings;

/// Result of a booking.
pub type BookingResult = Result<BookingAnswer, Failure>;
/// Receives the result of a booking; holds `None` while the booking runs.
pub type PendingResult = watch::Receiver<Option<BookingResult>>;

/// Shortest time between two removals of expired outcomes.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct SpentTickets {
    /// Sorted by serial.
    entries: Vec<SpentTicket>,
    swept_at: Option<Instant>,
}

impl SpentTickets {
    /// Removes expired outcomes; entries of running requests stay.
    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| now.saturating_duration_since(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        self.entries.retain(|entry| entry.expires_at > now || entry.result.borrow().is_none());
    }
}

struct SpentTicket {
    expires_at: Instant,
    fingerprint: Fingerprint,
    result: PendingResult,
    serial: u64,
}

/// Result of redeeming a ticket.
pub enum Redemption {
    /// The request runs or has run.
    Joined(PendingResult),
    /// The ticket starts a run: it had none, or its last one ended with the outcome that nothing ran. The caller runs
    /// the request and sends its result.
    Run(watch::Sender<Option<BookingResult>>, PendingResult),
}

/// Tickets issued by this process, and the outcomes of the spent ones.
pub struct TicketStore {
    boot_id: BootId,
    fleet: String,
    key: TicketKey,
    last_expiry_unix_ms: Mutex<UnixMs>,
    next_serial: AtomicU64,
    settings: BookingSettings,
    spent: Mutex<SpentTickets>,
    /// Monotonic and wall-clock time at the start of the process.
    started: (Instant, UnixMs),
    vm_id: String,
}

impl TicketStore {
    /// Creates an empty store with a new key.
    pub fn new(
        fleet: &str,
        vm_id: &str,
        boot_id: BootId,
        settings: BookingSettings,
        clock: &dyn Clock,
    ) -> Self {
        Self {
            boot_id,
            fleet: fleet.to_string(),
            key: TicketKey::random(),
            last_expiry_unix_ms: Mutex::new(0),
            next_serial: AtomicU64::new(1),
            settings,
            spent: Mutex::default(),
            started: (clock.now(), clock.unix_ms()),
            vm_id: vm_id.to_string(),
        }
    }

    /// Issues a ticket; nothing is stored for it until it is spent.
    pub fn issue(&self, clock: &dyn Clock) -> Ticket {
        let expires_unix_ms = self.now_unix_ms(clock) + self.settings.ticket_ttl_ms;
        let mut last_expiry_unix_ms = lock(&self.last_expiry_unix_ms);
        *last_expiry_unix_ms = (*last_expiry_unix_ms).max(expires_unix_ms);
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        self.key.issue(&self.fleet, &self.vm_id, self.boot_id, serial, expires_unix_ms)
    }

    /// Redeems a ticket of this process for a request.
    ///
    /// Fails if the ticket is forged, expired or bound to another request, or if the store is full.
    pub fn redeem(
        &self,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        clock: &dyn Clock,
    ) -> Result<Redemption, Failure> {
        if !self.key.verifies(ticket) {
            return Err(Failure::new(ErrorKind::TicketForged, "its code is wrong"));
        }
        let now = clock.now();
        let mut spent = lock(&self.spent);
        spent.sweep(now);
        let spent = &mut spent.entries;
        match spent.binary_search_by_key(&ticket.serial, |entry| entry.serial) {
            Ok(index) => {
                let entry = &spent[index];
                if entry.fingerprint != fingerprint {
                    return Err(Failure::new(
                        ErrorKind::TicketMismatch,
                        "it was first sent with another body or service",
                    ));
                }
                if is_not_run(&entry.result) && !self.is_expired(ticket, clock) {
                    return Ok(self.spend(spent, index, true, ticket, fingerprint, now));
                }
                Ok(Redemption::Joined(entry.result.clone()))
            }
            Err(index) => {
                if self.is_expired(ticket, clock) {
                    return Err(self.expired_ticket_failure(ticket, clock));
                }
                if spent.len() as u64 >= self.settings.max_outcomes {
                    return Err(Failure::new(
                        ErrorKind::Overloaded,
                        "too many outcomes are remembered at this VM",
                    ));
                }
                Ok(self.spend(spent, index, false, ticket, fingerprint, now))
            }
        }
    }

    /// Returns whether it is too late to start a run with the ticket.
    pub fn is_expired(&self, ticket: &Ticket, clock: &dyn Clock) -> bool {
        self.now_unix_ms(clock) >= ticket.expires_unix_ms
    }

    /// Returns the time when the last of the issued tickets expires; 0 before the first one.
    pub fn last_expiry_unix_ms(&self) -> UnixMs {
        *lock(&self.last_expiry_unix_ms)
    }

    /// Returns the number of spent tickets whose outcome is stored or pending.
    pub fn spent_count(&self) -> usize {
        lock(&self.spent).entries.len()
    }

    /// Returns the later of two times: that of the wall clock, and the start time of the process plus the monotonic
    /// time since then.
    ///
    /// So neither a wall clock set back nor a monotonic clock that stood still delays the expiry of tickets.
    pub fn now_unix_ms(&self, clock: &dyn Clock) -> UnixMs {
        let elapsed_ms =
            clock.now().saturating_duration_since(self.started.0).as_millis() as UnixMs;
        clock.unix_ms().max(self.started.1 + elapsed_ms)
    }

    /// Creates the failure for an expired ticket without a stored outcome.
    ///
    /// Outcomes are stored for two lifetimes of a ticket. So a ticket without an outcome was never spent, if
    /// it expired less than one lifetime ago.
    fn expired_ticket_failure(&self, ticket: &Ticket, clock: &dyn Clock) -> Failure {
        let failure = Failure::new(
            ErrorKind::TicketExpired,
            "ask for a new ticket once the outcome is known",
        )
        .settled_after(ticket.expires_unix_ms);
        if self.now_unix_ms(clock) < ticket.expires_unix_ms + self.settings.ticket_ttl_ms {
            return failure.with_outcome(Outcome::NotRun);
        }
        failure
    }

    /// Stores the ticket as spent, in place of an earlier entry if `replace` is set.
    fn spend(
        &self,
        spent: &mut Vec<SpentTicket>,
        index: usize,
        replace: bool,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Redemption {
        let (sender, result) = watch::channel(None);
        let expires_at = now + Duration::from_millis(2 * self.settings.ticket_ttl_ms);
        let entry =
            SpentTicket { expires_at, fingerprint, result: result.clone(), serial: ticket.serial };
        if replace {
            spent[index] = entry;
        } else {
            spent.insert(index, entry);
        }
        Redemption::Run(sender, result)
    }
}

/// Returns whether a result says that the request did not run.
fn is_not_run(result: &PendingResult) -> bool {
    matches!(&*result.borrow(), Some(Err(failure)) if failure.outcome == Outcome::NotRun)
}
