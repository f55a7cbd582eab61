//! TCP connections of the HTTP client.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::Service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector, ConnectorService};
use awc::http::Uri;
use futures_util::future::LocalBoxFuture;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A connection that reports end of file as an error.
///
/// awc treats the end of a connection as the end of the response, even if part of the announced
/// length or the last chunk is missing, and would return a truncated response as a complete one. A
/// response whose end is marked only by the end of the connection is therefore an error too, since
/// it cannot be distinguished from a truncated one.
#[derive(Debug)]
pub(super) struct StrictStream(TcpStream);

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if buf.filled().len() == before && buf.remaining() > 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}

/// Opens [`StrictStream`]s.
#[derive(Clone)]
pub(super) struct StrictConnector(ConnectorService);

impl Default for StrictConnector {
    fn default() -> Self {
        Self(Connector::default().service())
    }
}

impl Service<ConnectInfo<Uri>> for StrictConnector {
    type Response = Connection<Uri, StrictStream>;
    type Error = ConnectError;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<ConnectInfo<Uri>>::poll_ready(&self.0, cx)
    }

    fn call(&self, info: ConnectInfo<Uri>) -> Self::Future {
        let connect = self.0.call(info);
        Box::pin(async move {
            let (io, uri) = connect.await?.into_parts();
            // awc leaves Nagle's algorithm enabled, which delays the last segment of a longer
            // request until the peer has acknowledged the segments before it.
            io.set_nodelay(true).map_err(ConnectError::Io)?;
            Ok(Connection::new(uri, StrictStream(io)))
        })
    }
}
