//! Closes a connection whose next request head is not complete within a time limit after its first byte.
//!
//! hyper uses a single timer for idle connections and slow request heads; this timeout complements it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use crate::process::connection_activity::ConnectionActivity;

/// A request head of which the first bytes have arrived.
struct PartialHead {
    index: u64,
    timeout: Pin<Box<Sleep>>,
}

/// A connection that limits how long each request head may take to arrive.
pub struct HeadTimeout<T> {
    activity: ConnectionActivity,
    head: Option<PartialHead>,
    inner: T,
    timeout: Duration,
}

impl<T> HeadTimeout<T> {
    /// Wraps a connection; the server must record its requests in `activity`.
    pub fn new(inner: T, activity: ConnectionActivity, timeout: Duration) -> Self {
        Self { activity, head: None, inner, timeout }
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
        let next_head = this.activity.next_head();
        this.head = this.head.take().filter(|head| Some(head.index) == next_head);
        if let Some(index) = next_head
            && this.head.is_none()
            && buffer.filled().len() > filled
        {
            let timeout = Box::pin(tokio::time::sleep(this.timeout));
            this.head = Some(PartialHead { index, timeout });
            this.activity.record_partial_head();
        }
        if let Some(head) = &mut this.head
            && head.timeout.as_mut().poll(context).is_ready()
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
