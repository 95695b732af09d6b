//! What a process holds: memory, bytes that it has received and not read, and descriptors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// State in `/proc/net/tcp` of a connection that is open on both sides.
const ESTABLISHED: u8 = 0x01;
/// State in `/proc/net/tcp` of a connection of which the handshake is not complete (`SYN_RECV`).
const HANDSHAKE: u8 = 0x03;
/// State in `/proc/net/tcp` of a listening socket.
const LISTENING: u8 = 0x0A;

/// The most that a process was seen to hold.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeakUsage {
    pub descriptors: usize,
    /// Resident memory and received bytes that were not read, together.
    pub memory_bytes: u64,
    /// The part of `memory_bytes` that was not read.
    pub unread_bytes: u64,
}

/// Samples what a process holds until it is stopped.
pub struct UsageMonitor {
    process: u32,
    samples: Arc<AtomicUsize>,
    sampler: Option<JoinHandle<PeakUsage>>,
    stop: Arc<AtomicBool>,
}

impl UsageMonitor {
    /// Starts to sample a process; of its connections, those are regarded that it accepts at `address`.
    pub fn start(process: u32, address: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let samples = Arc::new(AtomicUsize::new(0));
        let sampler = std::thread::spawn({
            let (samples, stop) = (Arc::clone(&samples), Arc::clone(&stop));
            move || {
                let mut peak = PeakUsage::default();
                while !stop.load(Ordering::Relaxed) {
                    sample(process, address, &mut peak);
                    samples.fetch_add(1, Ordering::Relaxed);
                    std::thread::sleep(SAMPLE_INTERVAL);
                }
                peak
            }
        });
        Self { process, samples, sampler: Some(sampler), stop }
    }

    /// Waits until what the process holds now has been sampled.
    pub async fn wait_for_samples(&self) {
        let taken = self.samples.load(Ordering::Relaxed);
        // The next sample may have begun before.
        while self.samples.load(Ordering::Relaxed) < taken + 2 {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Stops; returns the peaks.
    pub fn finish(mut self) -> PeakUsage {
        self.stop.store(true, Ordering::Relaxed);
        let sampler = self.sampler.take().expect("a running sampler");
        let mut peak = sampler.join().expect("the sampler failed");
        // The kernel's own peak covers the time between two samples.
        peak.memory_bytes = peak.memory_bytes.max(peak_resident_bytes(self.process));
        peak
    }
}

/// Adds a sample to the peaks; none if the process has ended.
fn sample(process: u32, address: SocketAddr, peak: &mut PeakUsage) {
    let unread_bytes = unread_bytes(address);
    let Some(resident) = status_bytes(process, "VmRSS:") else { return };
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
    peak.descriptors = peak.descriptors.max(descriptors);
    if resident + unread_bytes > peak.memory_bytes {
        (peak.memory_bytes, peak.unread_bytes) = (resident + unread_bytes, unread_bytes);
    }
}

/// Returns the largest resident memory that a process had; 0 if it has ended.
fn peak_resident_bytes(process: u32) -> u64 {
    status_bytes(process, "VmHWM:").unwrap_or(0)
}

/// Returns a size from the status of a process; none if it has ended.
fn status_bytes(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    let kilobytes: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes * 1024)
}

/// Returns the bytes in the receive queues of the connections that were accepted at an address.
pub fn unread_bytes(address: SocketAddr) -> u64 {
    let is_accepted = |socket: &&Socket| socket.local == address && socket.state != LISTENING;
    sockets().iter().filter(is_accepted).map(|socket| socket.receive_queue).sum()
}

/// Returns the number of open connections that were accepted at an address.
pub fn connections_accepted_at(address: SocketAddr) -> usize {
    let is_open = |socket: &&Socket| socket.local == address && socket.state == ESTABLISHED;
    sockets().iter().filter(is_open).count()
}

/// Returns whether every connection to an address was accepted, and all that was sent on them was read.
pub fn is_everything_read(address: SocketAddr) -> bool {
    sockets().iter().all(|socket| {
        let is_quiet = socket.receive_queue == 0 && socket.state != HANDSHAKE;
        (socket.local != address || is_quiet)
            && (socket.remote != address || socket.send_queue == 0)
    })
}

/// A TCP socket of this machine.
struct Socket {
    local: SocketAddr,
    /// Bytes that were not read; connections that were not accepted if the socket listens.
    receive_queue: u64,
    remote: SocketAddr,
    /// Bytes that the other side has not acknowledged.
    send_queue: u64,
    state: u8,
}

/// Returns all TCP sockets.
fn sockets() -> Vec<Socket> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table.lines().skip(1).filter_map(parse_socket).collect()
}

/// Parses a line of `/proc/net/tcp`.
fn parse_socket(line: &str) -> Option<Socket> {
    let mut columns = line.split_whitespace().skip(1);
    let local = parse_address(columns.next()?)?;
    let remote = parse_address(columns.next()?)?;
    let state = u8::from_str_radix(columns.next()?, 16).ok()?;
    let (sent, received) = columns.next()?.split_once(':')?;
    let send_queue = u64::from_str_radix(sent, 16).ok()?;
    let receive_queue = u64::from_str_radix(received, 16).ok()?;
    Some(Socket { local, receive_queue, remote, send_queue, state })
}

/// Parses an address in hexadecimal, whose IP is in the byte order of the machine.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some((ip, u16::from_str_radix(port, 16).ok()?).into())
}
