//! Issues tickets and remembers the outcomes of the spent ones.

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
/// Receives the result once it is there.
pub type PendingResult = watch::Receiver<Option<BookingResult>>;

/// Time between two looks for outcomes to forget.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct SpentTickets {
    /// Sorted by serial.
    entries: Vec<Spent>,
    swept_at: Option<Instant>,
}

impl SpentTickets {
    /// Forgets outcomes whose time is over; running requests stay.
    fn sweep(&mut self, now: Instant) {
        if self.swept_at.is_some_and(|at| now.saturating_duration_since(at) < SWEEP_INTERVAL) {
            return;
        }
        self.swept_at = Some(now);
        self.entries.retain(|entry| entry.forget_at > now || entry.result.borrow().is_none());
    }
}

struct Spent {
    fingerprint: Fingerprint,
    forget_at: Instant,
    result: PendingResult,
    serial: u64,
}

/// What presenting a ticket led to.
pub enum Redemption {
    /// The ticket was unspent; the caller of this function runs the request and publishes its result.
    Run(watch::Sender<Option<BookingResult>>, PendingResult),
    /// The request ran or is running.
    Joined(PendingResult),
}

/// Tickets of this incarnation.
pub struct TicketStore {
    boot_id: BootId,
    fleet: String,
    last_expiry_unix_ms: Mutex<UnixMs>,
    key: TicketKey,
    next_serial: AtomicU64,
    settings: BookingSettings,
    spent: Mutex<SpentTickets>,
    started: (Instant, UnixMs),
    vm_id: String,
}

impl TicketStore {
    /// Opens the office of a new incarnation.
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
            last_expiry_unix_ms: Mutex::new(0),
            key: TicketKey::random(),
            next_serial: AtomicU64::new(1),
            settings,
            spent: Mutex::default(),
            started: (clock.now(), clock.unix_ms()),
            vm_id: vm_id.to_string(),
        }
    }

    /// Issues a ticket; it costs no memory until it is spent.
    pub fn issue(&self, clock: &dyn Clock) -> Ticket {
        let expires_unix_ms = self.now_unix_ms(clock) + self.settings.ticket_ttl_ms;
        let mut last_expiry_unix_ms = lock(&self.last_expiry_unix_ms);
        *last_expiry_unix_ms = (*last_expiry_unix_ms).max(expires_unix_ms);
        let serial = self.next_serial.fetch_add(1, Ordering::Relaxed);
        self.key.issue(&self.fleet, &self.vm_id, self.boot_id, serial, expires_unix_ms)
    }

    /// Presents a ticket of this incarnation for a request.
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
                    return Err(self.expired(ticket, clock));
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

    /// Returns whether a ticket may no longer start a run.
    pub fn is_expired(&self, ticket: &Ticket, clock: &dyn Clock) -> bool {
        self.now_unix_ms(clock) >= ticket.expires_unix_ms
    }

    /// Returns the time when the last issued ticket expires.
    pub fn last_expiry_unix_ms(&self) -> UnixMs {
        *lock(&self.last_expiry_unix_ms)
    }

    /// Returns the number of outcomes remembered.
    pub fn spent_count(&self) -> usize {
        lock(&self.spent).entries.len()
    }

    /// Returns a time that never runs behind either clock, whichever of them stood still.
    pub fn now_unix_ms(&self, clock: &dyn Clock) -> UnixMs {
        let monotonic = clock.now().saturating_duration_since(self.started.0).as_millis() as UnixMs;
        clock.unix_ms().max(self.started.1 + monotonic)
    }

    /// Creates the refusal of an expired ticket that no remembered outcome belongs to.
    ///
    /// Outcomes are remembered for two lifetimes of a ticket, so within one after its expiry a ticket without
    /// an outcome was never spent.
    fn expired(&self, ticket: &Ticket, clock: &dyn Clock) -> Failure {
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

    /// Marks a ticket spent.
    fn spend(
        &self,
        spent: &mut Vec<Spent>,
        index: usize,
        replace: bool,
        ticket: &Ticket,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Redemption {
        let (sender, result) = watch::channel(None);
        let forget_at = now + Duration::from_millis(2 * self.settings.ticket_ttl_ms);
        let entry = Spent { fingerprint, forget_at, result: result.clone(), serial: ticket.serial };
        if replace {
            spent[index] = entry;
        } else {
            spent.insert(index, entry);
        }
        Redemption::Run(sender, result)
    }
}

/// Returns whether a result says that nothing ran.
fn is_not_run(result: &PendingResult) -> bool {
    matches!(&*result.borrow(), Some(Err(failure)) if failure.outcome == Outcome::NotRun)
}
