//! Limits how long a connection may wait for a request, and how long and how large the head of a request may be.
//!
//! hyper takes such limits when a connection is accepted and keeps them; these follow changed limits on open connections.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::watch;

use crate::process::adjustable_timeout::AdjustableTimeout;
use crate::process::connection_activity::ConnectionActivity;
use crate::process::http_limits::HttpLimits;
use crate::process::partial_head::PartialHead;

/// Largest read. hyper doubles its buffer after each read that fills it, whatever the limit on heads.
const MAX_READ_BYTES: usize = 16 * 1024 - 1;
/// Largest read of bytes of a head that are passed on at once.
const HEAD_READ_BYTES: usize = 8 * 1024 - 1;
/// Largest read of bytes of a head that are held.
const HELD_READ_BYTES: usize = 4096;
/// Response to a head that is too large.
const TOO_LARGE_RESPONSE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// The wait for the next request head, and what has arrived of it.
struct NextHead {
    index: u64,
    /// Whether the next read may still belong to the body of the last request, which was answered before its end.
    may_read_body: bool,
    /// The larger of the limits since the first byte arrived.
    max_bytes: usize,
    received_bytes: usize,
}

/// A connection that limits the wait for request heads, their time and their size.
pub struct HeadLimits<T> {
    activity: ConnectionActivity,
    has_unsent_bytes: bool,
    inner: T,
    limits: watch::Receiver<HttpLimits>,
    /// None while a request runs.
    next_head: Option<NextHead>,
    /// The next head after its first read. hyper would extend its buffer by 8 KiB for each further read.
    partial_head: PartialHead,
    /// What is left of the response to a head that is too large.
    rejection: Option<&'static [u8]>,
    timeout: AdjustableTimeout,
}

impl<T> HeadLimits<T> {
    /// Wraps a connection; the server must record its requests in `activity`.
    pub fn new(
        inner: T,
        activity: ConnectionActivity,
        limits: watch::Receiver<HttpLimits>,
    ) -> Self {
        let timeout = AdjustableTimeout::start(limits.borrow().idle_timeout);
        Self {
            activity,
            has_unsent_bytes: false,
            inner,
            limits,
            next_head: None,
            partial_head: PartialHead::default(),
            rejection: None,
            timeout,
        }
    }

    /// Returns the wait for the next head with the limits that apply now; none while a request runs.
    fn update_next_head(&mut self, limits: &HttpLimits) -> Option<&mut NextHead> {
        let index = self.activity.next_head();
        self.next_head = self.next_head.take().filter(|head| Some(head.index) == index);
        let index = index?;
        if self.next_head.is_none() {
            self.timeout.restart(limits.idle_timeout);
        }
        let is_body_partial = self.activity.is_request_partial();
        let head = self.next_head.get_or_insert(NextHead {
            index,
            may_read_body: is_body_partial,
            max_bytes: 0,
            received_bytes: 0,
        });
        head.max_bytes = match head.received_bytes {
            0 => limits.max_header_bytes,
            _ => head.max_bytes.max(limits.max_header_bytes),
        };
        Some(head)
    }

    /// Records that bytes of a head were read.
    fn record_received(&mut self, received_bytes: usize, limits: &HttpLimits) {
        let Some(head) = self.next_head.as_mut().filter(|_| received_bytes > 0) else { return };
        if std::mem::take(&mut head.may_read_body) {
            return;
        }
        if head.received_bytes == 0 {
            self.activity.record_partial_head();
            self.timeout.restart(limits.header_timeout);
        }
        head.received_bytes += received_bytes;
    }
}

impl<T: AsyncRead + Unpin> HeadLimits<T> {
    /// Reads so many bytes at most, which are passed on at once.
    fn poll_read_at_most(
        &mut self,
        max_bytes: usize,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        if buffer.remaining() <= max_bytes {
            ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        } else {
            let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
            ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
            let received_bytes = part.filled().len();
            buffer.advance(received_bytes);
        }
        self.partial_head.record_passed(&buffer.filled()[filled_bytes..]);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> HeadLimits<T> {
    /// Sends the response to a head that is too large and ends the connection; returns the error to report.
    fn poll_reject(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let rest = self.rejection.get_or_insert(TOO_LARGE_RESPONSE);
        if self.has_unsent_bytes {
            // The end of the flush wakes the task.
            return Poll::Pending;
        }
        while !rest.is_empty() {
            match ready!(Pin::new(&mut self.inner).poll_write(context, rest)) {
                Ok(written_bytes) => *rest = &rest[written_bytes..],
                Err(error) => return Poll::Ready(error),
            }
        }
        // The connection may read on for a while, so that its client gets the response.
        if let Err(error) = ready!(Pin::new(&mut self.inner).poll_shutdown(context)) {
            return Poll::Ready(error);
        }
        Poll::Ready(io::Error::new(
            io::ErrorKind::InvalidData,
            "the head of a request is too large",
        ))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> HeadLimits<T> {
    /// Reads bytes of a head that are passed on at once.
    fn poll_head(
        &mut self,
        left_bytes: usize,
        limits: &HttpLimits,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if left_bytes == 0 {
            return self.poll_reject(context).map(Err);
        }
        let filled_bytes = buffer.filled().len();
        ready!(self.poll_read_at_most(left_bytes.min(HEAD_READ_BYTES), context, buffer))?;
        self.record_received(buffer.filled().len() - filled_bytes, limits);
        Poll::Ready(Ok(()))
    }

    /// Reads the rest of a head, which is passed on once it is complete.
    fn poll_rest(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while let Some(head) = &mut self.next_head {
            let left_bytes = head.max_bytes.saturating_sub(head.received_bytes);
            if left_bytes == 0 {
                return self.poll_reject(context).map(Err);
            }
            let mut bytes = [0; HELD_READ_BYTES];
            let mut part = ReadBuf::new(&mut bytes[..left_bytes.min(HELD_READ_BYTES)]);
            ready!(Pin::new(&mut self.inner).poll_read(context, &mut part))?;
            if part.filled().is_empty() {
                break;
            }
            head.received_bytes += part.filled().len();
            self.partial_head.hold(part.filled());
            if self.partial_head.is_complete() {
                self.partial_head.pass_on(buffer);
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncRead for HeadLimits<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.rejection.is_some() {
            return this.poll_reject(context).map(Err);
        }
        if this.partial_head.is_complete() {
            this.partial_head.pass_on(buffer);
            return Poll::Ready(Ok(()));
        }
        let limits = *this.limits.borrow();
        let Some(head) = this.update_next_head(&limits) else {
            return this.poll_read_at_most(MAX_READ_BYTES, context, buffer);
        };
        let left_bytes = head.max_bytes.saturating_sub(head.received_bytes);
        // The first read is usually the whole head. HTTP/2 frames do not end like a head.
        let is_held = head.received_bytes > 0 && !limits.accepts_http2;
        let read = if is_held {
            this.poll_rest(context, buffer)
        } else {
            this.poll_head(left_bytes, &limits, context, buffer)
        };
        if this.rejection.is_some() {
            return read;
        }
        let is_idle = this.next_head.as_ref().is_some_and(|head| head.received_bytes == 0);
        if is_idle && this.has_unsent_bytes {
            // The client still takes the last answer.
            this.timeout.restart(limits.idle_timeout);
        }
        let limit = if is_idle { limits.idle_timeout } else { limits.header_timeout };
        if this.timeout.poll(limit, context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for HeadLimits<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_unsent_bytes = true;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        if flushed.is_ready()
            && std::mem::take(&mut self.has_unsent_bytes)
            && self.rejection.is_some()
        {
            context.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.rejection.is_some() {
            return self.poll_reject(context).map(|_| Ok(()));
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_unsent_bytes = true;
        Pin::new(&mut self.inner).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
