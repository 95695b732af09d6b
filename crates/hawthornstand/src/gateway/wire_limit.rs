//! Limits how many bytes a backend server may send that are no part of a body.
//!
//! hyper limits the size of one head, but skips any number of interim answers (status 1xx) in front of it, and any number of
//! bytes around the data of chunks.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use hyper::Request;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Limit on the bytes before the end of a head: the largest head that hyper accepts, interim answers, and the part of the
/// body that is read with it.
const MAX_BYTES_BEFORE_ANSWER: usize = 128 * 1024;

/// Limit on the bytes of a body on the wire beyond [`MAX_WIRE_FACTOR`] times its data: what is read before the data is
/// taken, and a short body in chunks of a byte each.
const MAX_BYTES_BESIDE_BODY: usize = 256 * 1024;
const MAX_WIRE_FACTOR: usize = 2;

/// Limit on the interim answers before one answer.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Bytes that may be read on a connection.
#[derive(Clone, Debug)]
pub struct WireAllowance(Arc<AtomicUsize>);

impl Default for WireAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_BYTES_BEFORE_ANSWER)))
    }
}

impl WireAllowance {
    /// Starts to limit the bytes and the interim answers before the head of the answer to a request.
    pub fn begin_head<B>(&self, request: &mut Request<B>) {
        self.0.store(MAX_BYTES_BEFORE_ANSWER, Ordering::Relaxed);
        let (allowance, interim_answers) = (self.clone(), AtomicUsize::new(0));
        hyper::ext::on_informational(request, move |_| {
            if interim_answers.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
                allowance.0.store(0, Ordering::Relaxed);
            }
        });
    }

    /// Starts to limit the bytes beside the data of the body, because the head is complete.
    pub fn begin_body(&self) {
        self.0.store(MAX_BYTES_BESIDE_BODY, Ordering::Relaxed);
    }

    /// Records data of the body, which allows further bytes.
    pub fn record_data(&self, bytes: usize) {
        let allowed = bytes.saturating_mul(MAX_WIRE_FACTOR);
        self.update(|left| left.saturating_add(allowed));
    }

    /// Takes bytes that were read; returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        bytes <= self.update(|left| left.saturating_sub(bytes))
    }

    /// Changes the number of bytes that are left; returns the one before.
    fn update(&self, change: impl Fn(usize) -> usize) -> usize {
        let update = |left| Some(change(left));
        match self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update) {
            Ok(before) | Err(before) => before,
        }
    }
}

/// A connection that fails once more bytes arrive than its allowance.
pub struct WireLimit<T> {
    allowance: WireAllowance,
    inner: T,
}

impl<T> WireLimit<T> {
    /// Wraps a connection.
    pub fn new(inner: T, allowance: WireAllowance) -> Self {
        Self { allowance, inner }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WireLimit<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if self.allowance.take(buffer.filled().len() - filled) {
            return read;
        }
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "the answer does not end")))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WireLimit<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
