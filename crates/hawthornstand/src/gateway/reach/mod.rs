//! Which backend servers this VM reaches, as its own attempts show.
//!
//! [`contact`] tells whether this VM reaches any backend server at all, and [`verdict`] whether it reaches those of one
//! service.

pub mod contact;
pub mod verdict;
