//! A TCP stream that reports the end of the stream as an error.
//!
//! The HTTP client accepts a truncated chunked body as complete. On this stream
//! it gets an error instead of the end of the stream, so a caller never receives
//! a truncated response. A complete response ends before its connection does,
//! unless it is delimited only by the close of the connection; such a response
//! cannot be told from a truncated one and counts as lost.

use std::{
    io::{
        self,
        ErrorKind, //
    },
    pin::Pin,
    task::{
        Context,
        Poll,
        ready, //
    },
};

use actix_rt::net::{
    ActixStream,
    Ready,
    TcpStream, //
};
use actix_tls::connect::Connection;
use tokio::io::{
    AsyncRead,
    AsyncWrite,
    ReadBuf, //
};

/// A TCP stream on which end of stream is an [`ErrorKind::UnexpectedEof`] error.
#[derive(Debug)]
pub struct StrictStream(TcpStream);

/// Wraps the stream of a connection in a [`StrictStream`].
pub fn wrap<R>(connection: Connection<R, TcpStream>) -> Connection<R, StrictStream> {
    let (stream, req) = connection.into_parts();
    Connection::new(req, StrictStream(stream))
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let has_room = buf.remaining() > 0;
        ready!(Pin::new(&mut self.0).poll_read(cx, buf))?;
        if has_room && buf.filled().len() == filled_before {
            return Poll::Ready(Err(ErrorKind::UnexpectedEof.into()));
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
