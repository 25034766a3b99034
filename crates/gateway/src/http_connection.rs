//! One HTTP/1.1 connection to another server.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// An idle connection is probed after this time. Connections can go silent for good without
/// a reset, and only a probe shows it.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sent bytes that the other machine does not confirm for this long close the connection:
/// many times the way between the farthest zones. A process that is only slow does not
/// matter here, since its machine confirms for it.
const UNCONFIRMED_TIMEOUT: Duration = Duration::from_millis(450);

/// The same for callers, who may read slowly: as long as they wait for an answer at most.
const CALLER_UNCONFIRMED_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of it was sent.
    NotSent(String),
    /// It may have arrived.
    Lost(String),
}

impl HttpConnection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If the address refuses, or does not answer within `timeout_ms`.
    pub async fn connect(
        address: SocketAddr,
        timeout_ms: u64,
    ) -> io::Result<HttpConnection> {
        let stream = connect_tcp(address, timeout_ms).await?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended address={address} reason={error:?}");
            }
        });
        Ok(HttpConnection { sender, driver })
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the other side has closed it.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// If there is no response; tells whether the request can have arrived.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::NotSent(error.into_error().to_string()),
            None => SendError::Lost(error.into_error().to_string()),
        })
    }

    /// Closes the connection.
    pub fn close(self) {}
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Connects a socket that notices when the other side has gone silent.
///
/// # Errors
///
/// If the address refuses, or does not answer within `timeout_ms`.
pub async fn connect_tcp(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let timeout = Duration::from_millis(timeout_ms);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    watch_silence(&stream, UNCONFIRMED_TIMEOUT)?;
    Ok(stream)
}

/// Sets the options by which the silent connection of a caller ends.
///
/// # Errors
///
/// If the socket does not take them.
pub fn set_caller_timeouts(stream: &TcpStream) -> io::Result<()> {
    watch_silence(stream, CALLER_UNCONFIRMED_TIMEOUT)
}

fn watch_silence(stream: &TcpStream, unconfirmed: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unconfirmed))
}
