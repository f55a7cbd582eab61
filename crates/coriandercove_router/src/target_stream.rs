//! The connection to a target for one request, whose receive buffer stops growing.
//!
//! The system lets the receive buffer of a connection that is read fast grow to megabytes. They would
//! fill when a caller stops reading, and count as memory of the process.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use rustix::net::sockopt::set_socket_recv_buffer_size;
use slog::{Logger, warn};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of the receive buffer in bytes, once it is fixed; the system reserves as much again for its own
/// data.
const RECEIVE_BUFFER: usize = 64 * 1024;
/// Bytes after which the buffer is fixed; most answers are shorter.
const FIXED_AFTER: usize = 64 * 1024;

/// A connection to a target.
pub(crate) struct TargetStream {
    stream: TcpStream,
    /// Bytes read while the buffer may grow; none once it is fixed.
    read: Option<usize>,
    log: Logger,
}

impl TargetStream {
    pub fn new(stream: TcpStream, log: Logger) -> Self {
        Self {
            stream,
            read: Some(0),
            log,
        }
    }

    fn note_read(&mut self, bytes: usize) {
        let Some(read) = &mut self.read else {
            return;
        };
        *read += bytes;
        if *read < FIXED_AFTER {
            return;
        }
        self.read = None;
        if let Err(e) = set_socket_recv_buffer_size(&self.stream, RECEIVE_BUFFER) {
            warn!(self.log, "receive buffer not fixed"; "cause" => %e);
        }
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.note_read(buf.filled().len() - before);
        read
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
