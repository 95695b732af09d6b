//! Closes a connection without a reset while its client may still be sending.
//!
//! A connection that is closed with unread bytes is reset, and the client may lose the answer that was sent before
//! (RFC 9112, 9.6).

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;
use tokio::time::{Instant, Sleep};

use crate::process::connection_activity::ConnectionActivity;

/// Longest time for which bytes are read after the answer.
const MAX_LINGER: Duration = Duration::from_secs(5);
/// Time without received bytes after which the connection is closed.
const QUIET_TIMEOUT: Duration = Duration::from_secs(1);
/// Both of them, once the server stops.
const STOPPING_LINGER: Duration = Duration::from_millis(250);
/// Reads after which other tasks get their turn.
const MAX_READS_PER_TURN: usize = 16;

/// A connection that reads on after its end was sent, if a request is not complete.
pub struct LingeringClose<T> {
    activity: ConnectionActivity,
    inner: T,
    linger: Option<Linger>,
    stopped: watch::Receiver<bool>,
}

struct Linger {
    end: Instant,
    quiet: Pin<Box<Sleep>>,
    quiet_timeout: Duration,
}

impl<T> LingeringClose<T> {
    /// Wraps a connection; the server must record its requests in `activity`.
    pub fn new(inner: T, activity: ConnectionActivity, stopped: watch::Receiver<bool>) -> Self {
        Self { activity, inner, linger: None, stopped }
    }
}

impl Linger {
    fn begin(is_stopping: bool) -> Self {
        let (max, quiet_timeout) = if is_stopping {
            (STOPPING_LINGER, STOPPING_LINGER)
        } else {
            (MAX_LINGER, QUIET_TIMEOUT)
        };
        let quiet = Box::pin(tokio::time::sleep(quiet_timeout));
        Self { end: Instant::now() + max, quiet, quiet_timeout }
    }

    /// Reads until the end of the connection, or until the time is over.
    fn poll<T: AsyncRead + Unpin>(&mut self, inner: &mut T, context: &mut Context<'_>) -> Poll<()> {
        let mut discarded = [0; 8192];
        for _ in 0..MAX_READS_PER_TURN {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut *inner).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.quiet.as_mut().poll(context),
            }
            let quiet_end = (Instant::now() + self.quiet_timeout).min(self.end);
            self.quiet.as_mut().reset(quiet_end);
        }
        if Instant::now() >= self.end {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for LingeringClose<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringClose<T> {
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
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.inner).poll_shutdown(context))?;
            if !this.activity.is_request_partial() {
                return Poll::Ready(Ok(()));
            }
        }
        let is_stopping = *this.stopped.borrow();
        let linger = this.linger.get_or_insert_with(|| Linger::begin(is_stopping));
        linger.poll(&mut this.inner, context).map(Ok)
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
