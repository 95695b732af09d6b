//! Tickets that let a request run at most once.
//!
//! A ticket names the incarnation that issued it; only that incarnation can spend it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::derives::value_types;
use crate::ids::{BootId, UnixMs, VmId};

/// Length of the authentication code within a ticket, in bytes.
const CODE_BYTES: usize = 16;

value_types! {
    /// Contents of a ticket.
    #[derive(Eq)]
    pub struct Ticket {
        pub boot_id: BootId,
        pub code: String,
        pub expires_unix_ms: UnixMs,
        pub fleet: u32,
        pub serial: u64,
        pub vm_id: VmId,
    }
}

/// Key of one incarnation.
pub struct TicketKey {
    bytes: [u8; 32],
}

impl TicketKey {
    /// Draws a key.
    pub fn random() -> Self {
        Self { bytes: rand::random() }
    }

    /// Issues a ticket.
    pub fn issue(
        &self,
        fleet: &str,
        vm_id: &str,
        boot_id: BootId,
        serial: u64,
        expires_unix_ms: UnixMs,
    ) -> Ticket {
        let mut ticket = Ticket {
            boot_id,
            code: String::new(),
            expires_unix_ms,
            fleet: fleet_hash(fleet),
            serial,
            vm_id: vm_id.to_string(),
        };
        ticket.code = self.code(&ticket);
        ticket
    }

    /// Returns whether this key issued the ticket.
    pub fn verifies(&self, ticket: &Ticket) -> bool {
        self.code(ticket) == ticket.code
    }

    /// Computes the authentication code over everything else in the ticket.
    fn code(&self, ticket: &Ticket) -> String {
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.bytes) else { return String::new() };
        mac.update(signed_part(ticket).as_bytes());
        mac.finalize().into_bytes()[..CODE_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Ticket {
    /// Writes the ticket as text.
    pub fn to_text(&self) -> String {
        format!("{}.{}", self.code, signed_part(self))
    }

    /// Reads a ticket; none where the text is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(6, '.');
        let code = parts.next()?.to_string();
        let fleet = u32::from_str_radix(parts.next()?, 16).ok()?;
        let boot_id = u64::from_str_radix(parts.next()?, 16).ok()?;
        let serial = u64::from_str_radix(parts.next()?, 16).ok()?;
        let expires_unix_ms = u64::from_str_radix(parts.next()?, 16).ok()?;
        let vm_id = parts.next()?.to_string();
        let ticket = Self { boot_id, code, expires_unix_ms, fleet, serial, vm_id };
        // Only the canonical spelling is a ticket, so that one ticket has one text.
        (ticket.to_text() == text && !ticket.vm_id.is_empty()).then_some(ticket)
    }
}

/// Returns the part of a ticket that the code covers.
fn signed_part(ticket: &Ticket) -> String {
    let Ticket { boot_id, expires_unix_ms, fleet, serial, vm_id, .. } = ticket;
    format!("{fleet:x}.{boot_id:x}.{serial:x}.{expires_unix_ms:x}.{vm_id}")
}

/// Returns the hash that tells fleets apart.
pub fn fleet_hash(fleet: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(fleet.as_bytes()) as u32
}
