//! Tickets, with which a request runs at most once.
//!
//! A ticket identifies the process that issued it and is authenticated with a key that only this process
//! has; so only the issuer can redeem it.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::derives::value_types;
use crate::ids::{BootId, UnixMs, VmId};

/// Length of the truncated message authentication code (MAC) in a ticket, in bytes.
const MAC_BYTES: usize = 16;

value_types! {
    /// Contents of a ticket.
    #[derive(Eq)]
    pub struct Ticket {
        pub boot_id: BootId,
        pub expires_unix_ms: UnixMs,
        pub fleet_hash: u32,
        /// Message authentication code over the other fields, in hexadecimal.
        pub mac: String,
        pub serial: u64,
        pub vm_id: VmId,
    }
}

/// Secret key of one process, drawn at its start.
pub struct TicketKey {
    bytes: [u8; 32],
}

impl TicketKey {
    /// Creates a random key.
    pub fn random() -> Self {
        Self { bytes: rand::random() }
    }

    /// Creates an authenticated ticket.
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
            expires_unix_ms,
            fleet_hash: fleet_hash(fleet),
            mac: String::new(),
            serial,
            vm_id: vm_id.to_string(),
        };
        ticket.mac = self.mac(&ticket);
        ticket
    }

    /// Returns whether the ticket was issued with this key.
    pub fn verifies(&self, ticket: &Ticket) -> bool {
        self.mac(ticket) == ticket.mac
    }

    /// Computes the message authentication code over the other fields of the ticket.
    fn mac(&self, ticket: &Ticket) -> String {
        let Ok(mut hmac) = Hmac::<Sha256>::new_from_slice(&self.bytes) else {
            return String::new();
        };
        hmac.update(mac_input(ticket).as_bytes());
        hmac.finalize().into_bytes()[..MAC_BYTES].iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl Ticket {
    /// Formats the ticket as text.
    pub fn to_text(&self) -> String {
        format!("{}.{}", self.mac, mac_input(self))
    }

    /// Parses a ticket; `None` if the text is not a ticket.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.splitn(6, '.');
        let mac = parts.next()?.to_string();
        let fleet_hash = u32::from_str_radix(parts.next()?, 16).ok()?;
        let boot_id = u64::from_str_radix(parts.next()?, 16).ok()?;
        let serial = u64::from_str_radix(parts.next()?, 16).ok()?;
        let expires_unix_ms = u64::from_str_radix(parts.next()?, 16).ok()?;
        let vm_id = parts.next()?.to_string();
        let ticket = Self { boot_id, expires_unix_ms, fleet_hash, mac, serial, vm_id };
        // Only the canonical spelling is accepted, so that each ticket has exactly one text.
        (ticket.to_text() == text && !ticket.vm_id.is_empty()).then_some(ticket)
    }
}

/// Returns the part of a ticket's text that its message authentication code covers.
fn mac_input(ticket: &Ticket) -> String {
    let Ticket { boot_id, expires_unix_ms, fleet_hash, serial, vm_id, .. } = ticket;
    format!("{fleet_hash:x}.{boot_id:x}.{serial:x}.{expires_unix_ms:x}.{vm_id}")
}

/// Returns the hash that distinguishes the tickets of different fleets.
pub fn fleet_hash(fleet: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(fleet.as_bytes()) as u32
}
