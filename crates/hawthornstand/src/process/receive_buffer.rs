//! Limits how many bytes a connection holds that were received and not read.

use rustix::net::sockopt;
use tokio::net::TcpListener;

/// Size of the receive buffer of an accepted connection; the kernel doubles it for its own records.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Limits the receive buffers of the connections that a listener will accept.
///
/// Without a limit, the kernel lets the buffer of each connection grow to megabytes.
pub fn limit(listener: &TcpListener) {
    if let Err(error) = sockopt::set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES) {
        log::debug!("cannot limit the receive buffers of callers' connections: {error}");
    }
}
