//! An HTTP/1.1 client connection, and socket options that detect silent connections.
//!
//! A connection can stop carrying data without a reset, for instance during a network
//! partition. Keepalive probes detect this on an idle connection, the TCP user timeout while
//! data is in flight.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::fair_stream::{FairStream, ResponseWait};
pub use crate::segmented_body::SegmentedBody;

/// Idle time after which a connection is probed. A connection can go silent for good without a
/// reset, which only a probe reveals.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of keepalive probes without acknowledgment after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// TCP user timeout: sent data that stays unacknowledged for this long closes the connection.
/// Many times the latency between the farthest zones. A slow peer process doesn't trigger it,
/// since the kernel of its machine acknowledges the data.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(450);

/// TCP user timeout for callers, who may read slowly: the longest time that they wait for an
/// response.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response head, in bytes. Heads are a few hundred bytes long.
pub(crate) const MAX_HEAD_BYTES: usize = 64 << 10;

/// Largest number of headers in a response.
const MAX_HEADERS: usize = 100;

/// A client connection for one request at a time. Dropping it closes the socket at once.
///
/// Must be created on a `LocalSet`, on which it runs its I/O task.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<SegmentedBody>,
    driver: JoinHandle<()>,
    /// Limits what is read before a response.
    wait: Rc<ResponseWait>,
}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte of the request was sent. Holds the reason.
    NotSent(String),
    /// The request may have arrived. Holds the reason.
    Lost(String),
    /// The request may have arrived. The server sent bytes that are not a response head, or a
    /// head beyond the limits. Holds the reason.
    Malformed(String),
}

impl HttpConnection {
    /// Opens a connection to a server.
    ///
    /// # Errors
    ///
    /// If the connection is refused or not established within `timeout_ms`.
    pub async fn connect(
        address: SocketAddr,
        timeout_ms: u64,
    ) -> io::Result<HttpConnection> {
        let stream = connect_tcp(address, timeout_ms).await?;
        let wait = Rc::new(ResponseWait::default());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(FairStream::new(stream, &wait)))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("event=connection_ended address={address} reason={error:?}");
            }
        });
        Ok(HttpConnection {
            sender,
            driver,
            wait,
        })
    }

    /// Whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Whether the connection is closed and can't be used again.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// If there is no response. The error says whether the request can have arrived.
    pub async fn send(
        &mut self,
        request: Request<SegmentedBody>,
    ) -> Result<Response<Incoming>, SendError> {
        self.wait.begin();
        let sent = self.sender.try_send_request(request).await;
        let is_without_response = self.wait.end();
        sent.map_err(|mut error| {
            let is_sent = error.take_message().is_none();
            let error = error.into_error();
            let reason = error.to_string();
            match is_sent {
                false => SendError::NotSent(reason),
                true if error.is_parse() || is_without_response => {
                    SendError::Malformed(reason)
                }
                true => SendError::Lost(reason),
            }
        })
    }

    /// Closes the socket, also if a response is not complete.
    pub fn close(self) {}
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a TCP connection that fails soon after the peer goes silent.
///
/// # Errors
///
/// If the connection is refused or not established within `timeout_ms`.
pub async fn connect_tcp(address: SocketAddr, timeout_ms: u64) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let timeout = Duration::from_millis(timeout_ms);
    let stream = tokio::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_silence_detection(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    Ok(stream)
}

/// Sets the socket options that close the connection of a caller that went silent.
///
/// # Errors
///
/// If the operating system rejects an option.
pub fn set_caller_timeouts(stream: &TcpStream) -> io::Result<()> {
    set_silence_detection(stream, CALLER_UNACKNOWLEDGED_TIMEOUT)
}

fn set_silence_detection(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
