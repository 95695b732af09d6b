//! Bookings: non-idempotent requests, each run at most once.

#[cfg(feature = "own-interface")]
pub mod booking;
#[cfg(feature = "own-interface")]
pub mod booking_run;
pub mod ticket;
pub mod ticket_store;
