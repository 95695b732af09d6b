//! Ends a connection whose next request head takes too long once it has begun.
//!
//! hyper has one timer for an idle connection and for a slow head; this one runs beside it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Version;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// Requests of one connection: how many heads were complete, and how many were answered.
#[derive(Clone, Default)]
pub struct RequestCount {
    answered: Arc<AtomicU64>,
    begun: Arc<AtomicU64>,
    /// Whether bytes may belong to no request at all, as in HTTP/2.
    multiplexed: Arc<AtomicBool>,
}

impl RequestCount {
    /// Notes that the head of a request is complete.
    pub fn begin(&self, version: Version) {
        self.begun.fetch_add(1, Ordering::Relaxed);
        self.multiplexed.store(version >= Version::HTTP_2, Ordering::Relaxed);
    }

    /// Notes that a request was answered; the next bytes belong to another head.
    pub fn end(&self) {
        self.answered.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of the head that is awaited, none while a request runs.
    fn awaited_head(&self) -> Option<u64> {
        if self.multiplexed.load(Ordering::Relaxed) {
            return None;
        }
        let begun = self.begun.load(Ordering::Relaxed);
        (begun == self.answered.load(Ordering::Relaxed)).then_some(begun)
    }
}

/// A head whose first bytes are there.
struct BegunHead {
    number: u64,
    overdue: Pin<Box<Sleep>>,
}

/// A connection whose request heads have to be complete within a time.
pub struct HeadTimeout<T> {
    begun: Option<BegunHead>,
    inner: T,
    requests: RequestCount,
    timeout: Duration,
}

impl<T> HeadTimeout<T> {
    /// Watches a connection; its server tells `requests` about each request.
    pub fn new(inner: T, requests: RequestCount, timeout: Duration) -> Self {
        Self { begun: None, inner, requests, timeout }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for HeadTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let filled = buffer.filled().len();
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        let awaited = this.requests.awaited_head();
        this.begun = this.begun.take().filter(|begun| Some(begun.number) == awaited);
        if let Some(number) = awaited
            && this.begun.is_none()
            && buffer.filled().len() > filled
        {
            let overdue = Box::pin(tokio::time::sleep(this.timeout));
            this.begun = Some(BegunHead { number, overdue });
        }
        if let Some(begun) = &mut this.begun
            && begun.overdue.as_mut().poll(context).is_ready()
        {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadTimeout<T> {
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
