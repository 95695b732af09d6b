//! Which backend servers this VM reaches, as its own attempts show.
//!
//! [`contact`] tells whether this VM reaches any backend server at all, and [`verdict`] whether it reaches those of one
//! service. [`needs`] combines them for one request, and [`handover`] hands requests to other VMs.

pub mod contact;
pub mod handover;
pub mod needs;
pub mod verdict;
