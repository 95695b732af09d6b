//! Detection of connections that went silent without a reset.

use std::time::Duration;

use rustix::net::sockopt;
use tokio::net::TcpStream;

/// Time without a received byte after which the other end is probed: as long as the interval of pings between VMs.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(2);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of unanswered probes after which the connection is closed.
const PROBES: u32 = 3;
/// Time for which sent bytes may stay unacknowledged: the time until the last probe is unanswered.
const UNACKNOWLEDGED_TIMEOUT_MS: u32 = 3500;

/// Has the kernel probe the other end of an idle connection, and close the connection if it does not respond.
pub fn close_when_silent(stream: &TcpStream) {
    if let Err(error) = set_options(stream) {
        log::debug!("cannot set the options that detect a silent peer: {error}");
    }
}

fn set_options(stream: &TcpStream) -> rustix::io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, FIRST_PROBE_AFTER)?;
    sockopt::set_tcp_keepintvl(stream, PROBE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, PROBES)?;
    sockopt::set_tcp_user_timeout(stream, UNACKNOWLEDGED_TIMEOUT_MS)
}
