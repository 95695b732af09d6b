//! Limit of the system on open files and sockets.

use rustix::process::{Resource, getrlimit};

/// Returns how many files and sockets the system lets this process open.
pub fn limit() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.and_then(|limit| usize::try_from(limit).ok()).unwrap_or(usize::MAX)
}
