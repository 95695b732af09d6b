//! Holds the bytes of a request head until the head is complete.

use tokio::io::ReadBuf;

/// The bytes of a request head after those that were passed on at once.
#[derive(Default)]
pub struct PartialHead {
    held: Vec<u8>,
    /// Whether what is held has to be passed on.
    is_complete: bool,
    /// The last bytes of the connection.
    last_bytes: [u8; 2],
}

impl PartialHead {
    /// Records bytes that are passed on at once.
    pub fn record_passed(&mut self, bytes: &[u8]) {
        match bytes {
            [] => {}
            [last] => self.last_bytes = [self.last_bytes[1], *last],
            [.., second, last] => self.last_bytes = [*second, *last],
        }
    }

    /// Holds bytes.
    pub fn hold(&mut self, bytes: &[u8]) {
        for byte in bytes {
            // An empty line ends the head.
            let is_line_empty = matches!(self.last_bytes, [_, b'\n'] | [b'\n', b'\r']);
            self.is_complete |= *byte == b'\n' && is_line_empty;
            self.last_bytes = [self.last_bytes[1], *byte];
        }
        self.held.extend_from_slice(bytes);
    }

    /// Returns whether bytes are held that have to be passed on.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Moves bytes that are held to a buffer, as many as fit.
    pub fn pass_on(&mut self, buffer: &mut ReadBuf<'_>) {
        let passed_bytes = self.held.len().min(buffer.remaining());
        buffer.put_slice(&self.held[..passed_bytes]);
        if passed_bytes == self.held.len() {
            (self.held, self.is_complete) = (Vec::new(), false);
        } else {
            self.held.drain(..passed_bytes);
        }
    }
}
