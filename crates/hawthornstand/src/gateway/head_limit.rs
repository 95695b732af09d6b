//! Limits how many bytes a backend server may send before the head of its answer is complete.
//!
//! hyper limits the size of one head, but skips any number of interim answers (status 1xx) in front of it.

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

/// Limit on the interim answers before one answer.
const MAX_INTERIM_ANSWERS: usize = 16;

/// Bytes that may be read on a connection.
#[derive(Clone, Debug)]
pub struct HeadAllowance(Arc<AtomicUsize>);

impl Default for HeadAllowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_BYTES_BEFORE_ANSWER)))
    }
}

impl HeadAllowance {
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

    /// Lifts the limit because the head is complete; the body has a limit of its own.
    pub fn end_head(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Takes bytes that were read; returns whether they were allowed.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A connection that fails once a head is longer than its allowance.
pub struct HeadLimit<T> {
    allowance: HeadAllowance,
    inner: T,
}

impl<T> HeadLimit<T> {
    /// Wraps a connection.
    pub fn new(inner: T, allowance: HeadAllowance) -> Self {
        Self { allowance, inner }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadLimit<T> {
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
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, "the head does not end")))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLimit<T> {
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
