//! Closes a connection whose client takes nothing of an answer for too long.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

use crate::process::adjustable_timeout::AdjustableTimeout;
use crate::process::http_limits::HttpLimits;

/// A connection that limits how long a write may wait.
pub struct WriteTimeout<T> {
    inner: T,
    limits: watch::Receiver<HttpLimits>,
    /// Started when a write had to wait.
    stalled: Option<AdjustableTimeout>,
}

impl<T> WriteTimeout<T> {
    /// Wraps a connection.
    pub fn new(inner: T, limits: watch::Receiver<HttpLimits>) -> Self {
        Self { inner, limits, stalled: None }
    }

    /// Fails a write that has waited for too long.
    fn check<R>(
        &mut self,
        written: Poll<io::Result<R>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<R>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let timeout = self.limits.borrow().idle_timeout;
        let stalled = self.stalled.get_or_insert_with(|| AdjustableTimeout::start(timeout));
        match stalled.poll(timeout, context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for WriteTimeout<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.check(written, context)
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
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, bytes);
        self.check(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
