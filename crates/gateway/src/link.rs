//! Multiplexed request-response connections to storage instances.
//!
//! Messages are length-delimited frames encoded with postcard. capnp-rpc, which instances use
//! among themselves elsewhere, sends each call and each release of a result as a message of its
//! own. Here many small requests are combined into one write, since system calls are expensive
//! for a process with a fraction of a core.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, SinkExt, StreamExt};
use jayreel_ledger::{
    MAX_TURN_INPUT_BYTES, MAX_TURN_OUTPUT_BYTES, Member, MemberRequest, MemberResponse,
    Reply, Request,
};
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::error::Elapsed;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock::now_ms;
use crate::http_connection::connect_tcp;
use crate::metered::{Activity, Metered};
use crate::storage::MAX_RESPONSE_BYTES;

/// Largest frame, in bytes: a response with turns, the last of which may be of the largest size,
/// and their identifiers.
const MAX_FRAME_BYTES: usize = MAX_RESPONSE_BYTES as usize
    + MAX_TURN_INPUT_BYTES
    + MAX_TURN_OUTPUT_BYTES
    + (1 << 20);

/// Capacity up to which an empty buffer of a connection keeps its memory, in bytes.
const MAX_IDLE_BUFFER_BYTES: usize = 64 << 10;

/// Time to establish a connection, in milliseconds: several times the latency between the
/// farthest zones.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// Time after a failed connection attempt in which no other is made, in milliseconds, so that
/// requests don't wait for an instance that is known to be unreachable.
const RETRY_PAUSE_MS: u64 = 60;

/// A connection on which no byte arrived for this long while a request waits is given up, in
/// milliseconds. Requests time out sooner: a busy instance responds late, and a new connection would
/// add to its work. The kernel closes one that no longer carries data.
const GIVE_UP_SILENCE_MS: u64 = 1_000;

/// Why a request to a storage instance got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// No connection could be made, so the request was not sent.
    NotConnected,
    /// No response arrived in time. The request may have taken effect.
    TimedOut,
    /// The connection was lost. The request may have taken effect.
    Broken,
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LinkError::NotConnected => "not connected",
            LinkError::TimedOut => "timed out",
            LinkError::Broken => "connection broke",
        })
    }
}

/// Senders that complete the pending requests, by request id.
type PendingResponses = Rc<RefCell<HashMap<u64, oneshot::Sender<MemberResponse>>>>;

struct Connection {
    outgoing: mpsc::UnboundedSender<Request>,
    pending: PendingResponses,
    /// When the first request was sent after the last complete response. `None` if there is none.
    silent_since_ms: Rc<Cell<Option<u64>>>,
    /// The bytes that have arrived.
    receiving: Rc<Activity>,
    /// Number of those that belong to complete responses.
    complete_bytes: Rc<Cell<u64>>,
    next_id: Cell<u64>,
    /// The tasks that read and write the socket.
    tasks: [JoinHandle<()>; 2],
}

impl Connection {
    /// Whether the last bytes that arrived belong to a response that is not complete yet.
    fn is_mid_response(&self) -> bool {
        self.receiving.transferred_bytes() > self.complete_bytes.get()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

#[derive(Default)]
struct State {
    connection: Option<Rc<Connection>>,
    /// No connection attempt is made before this time.
    retry_at_ms: u64,
}

/// Client for one instance. Connects when the first request is made, and again after failures.
pub(crate) struct Link {
    address: SocketAddr,
    state: Mutex<State>,
}

impl Link {
    fn new(address: SocketAddr) -> Link {
        Link {
            address,
            state: Mutex::new(State::default()),
        }
    }

    /// Sends a request and waits for the response.
    ///
    /// # Errors
    ///
    /// If no response arrived within `timeout_ms`. For a request whose response may be long, if
    /// no response arrived and then no byte of any for `timeout_ms`. The request may have taken
    /// effect, unless the error is [`LinkError::NotConnected`].
    pub(crate) async fn send_request(
        &self,
        group_version: u64,
        request: MemberRequest,
        timeout_ms: u64,
    ) -> Result<MemberResponse, LinkError> {
        let connection = self.connection().await?;
        let (sender, receiver) = oneshot::channel();
        let id = connection.next_id.get();
        connection.next_id.set(id + 1);
        connection.pending.borrow_mut().insert(id, sender);
        let silent_since_ms = &connection.silent_since_ms;
        silent_since_ms.set(silent_since_ms.get().or(Some(now_ms())));
        let may_be_long = request.asks_for_turns();
        let request = Request {
            id,
            group_version,
            body: request,
        };
        if connection.outgoing.send(request).is_err() {
            self.abandon(&connection).await;
            return Err(LinkError::Broken);
        }
        match wait_for_response(&connection, receiver, timeout_ms, may_be_long).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) => {
                self.abandon(&connection).await;
                Err(LinkError::Broken)
            }
            Err(_) => {
                connection.pending.borrow_mut().remove(&id);
                let since_ms = connection.silent_since_ms.get();
                let is_silent =
                    since_ms.is_some_and(|ms| ms + GIVE_UP_SILENCE_MS <= now_ms());
                if is_silent && connection.receiving.idle_ms() >= GIVE_UP_SILENCE_MS {
                    self.abandon(&connection).await;
                }
                Err(LinkError::TimedOut)
            }
        }
    }

    /// The open connection, or a new one.
    async fn connection(&self) -> Result<Rc<Connection>, LinkError> {
        let mut state = self.state.lock().await;
        if let Some(connection) = &state.connection {
            return Ok(Rc::clone(connection));
        }
        if now_ms() < state.retry_at_ms {
            return Err(LinkError::NotConnected);
        }
        match connect_tcp(self.address, CONNECT_TIMEOUT_MS).await {
            Ok(stream) => {
                let connection = Rc::new(open(stream));
                state.connection = Some(Rc::clone(&connection));
                Ok(connection)
            }
            Err(error) => {
                log::debug!("event=link_failed address={} reason={error}", self.address);
                state.retry_at_ms = now_ms() + RETRY_PAUSE_MS;
                Err(LinkError::NotConnected)
            }
        }
    }

    /// Drops a connection that was lost or went silent, if it is still the current one. All
    /// requests that wait for a response on it fail.
    async fn abandon(&self, connection: &Rc<Connection>) {
        let mut state = self.state.lock().await;
        let is_current = state
            .connection
            .as_ref()
            .is_some_and(|current| Rc::ptr_eq(current, connection));
        if is_current {
            state.connection = None;
            connection.pending.borrow_mut().clear();
        }
    }
}

/// Waits for the response to a request. If it `may_be_long`, the timeout begins anew as long as the
/// connection is in the middle of a response and bytes arrive.
async fn wait_for_response(
    connection: &Connection,
    mut receiver: oneshot::Receiver<MemberResponse>,
    timeout_ms: u64,
    may_be_long: bool,
) -> Result<Result<MemberResponse, oneshot::error::RecvError>, Elapsed> {
    let mut wait_ms = timeout_ms;
    loop {
        let wait = Duration::from_millis(wait_ms);
        let response = tokio::time::timeout(wait, &mut receiver).await;
        let idle_ms = connection.receiving.idle_ms();
        match response {
            Err(_)
                if may_be_long
                    && connection.is_mid_response()
                    && idle_ms < timeout_ms =>
            {
                wait_ms = timeout_ms - idle_ms;
            }
            response => return response,
        }
    }
}

/// The pending response to a request.
pub type ResponseFuture = LocalBoxFuture<'static, Result<MemberResponse, LinkError>>;

/// Sends requests to storage instances. Tests replace it by a simulated group.
pub trait MemberClient {
    /// Sends a request that is valid in one version of the group. A client that counts the
    /// responses of a quorum must count only those given in the same version.
    ///
    /// Fails if no response arrived within `timeout_ms`. The request may have taken effect, unless
    /// the error is [`LinkError::NotConnected`].
    fn send_request(
        &self,
        member: &Member,
        group_version: u64,
        request: MemberRequest,
        timeout_ms: u64,
    ) -> ResponseFuture;
}

impl MemberClient for LinkPool {
    fn send_request(
        &self,
        member: &Member,
        group_version: u64,
        request: MemberRequest,
        timeout_ms: u64,
    ) -> ResponseFuture {
        let link = self.to(member);
        async move { link.send_request(group_version, request, timeout_ms).await }
            .boxed_local()
    }
}

/// The clients of all storage instances that were contacted so far, by name.
#[derive(Default)]
pub(crate) struct LinkPool {
    by_name: RefCell<HashMap<String, Rc<Link>>>,
}

impl LinkPool {
    /// The client of an instance. An instance whose address has changed gets a new one.
    pub(crate) fn to(&self, member: &Member) -> Rc<Link> {
        let mut links = self.by_name.borrow_mut();
        let known = links.get(&member.name);
        match known.filter(|link| link.address == member.address) {
            Some(link) => Rc::clone(link),
            None => {
                let link = Rc::new(Link::new(member.address));
                links.insert(member.name.clone(), Rc::clone(&link));
                link
            }
        }
    }
}

/// Starts the tasks that read and write a new connection.
fn open(stream: TcpStream) -> Connection {
    let (read, write) = stream.into_split();
    let (outgoing, queue) = mpsc::unbounded_channel();
    let pending = PendingResponses::default();
    let silent_since_ms = Rc::new(Cell::new(None));
    let receiving = Activity::new();
    let complete_bytes = Rc::default();
    let reader = ReplyReader {
        frames: FramedRead::new(Metered::new(read, &receiving), codec()),
        pending: Rc::clone(&pending),
        silent_since_ms: Rc::clone(&silent_since_ms),
        receiving: Rc::clone(&receiving),
        complete_bytes: Rc::clone(&complete_bytes),
    };
    let reader = reader.run();
    let writer = write_messages(write, queue);
    Connection {
        outgoing,
        pending,
        silent_since_ms,
        receiving,
        complete_bytes,
        next_id: Cell::new(1),
        tasks: [
            tokio::task::spawn_local(reader),
            tokio::task::spawn_local(writer),
        ],
    }
}

/// Reads the responses of a connection. The fields other than `frames` are those of its
/// [`Connection`].
struct ReplyReader {
    frames: FramedRead<Metered<OwnedReadHalf>, LengthDelimitedCodec>,
    pending: PendingResponses,
    silent_since_ms: Rc<Cell<Option<u64>>>,
    receiving: Rc<Activity>,
    complete_bytes: Rc<Cell<u64>>,
}

impl ReplyReader {
    /// Passes each response to the request that waits for it, until the connection ends.
    async fn run(mut self) {
        while let Some(Ok(frame)) = self.frames.next().await {
            self.silent_since_ms.set(None);
            let buffered_bytes = self.frames.read_buffer().len() as u64;
            release_long_buffer(self.frames.read_buffer_mut());
            let received_bytes = self.receiving.transferred_bytes();
            self.complete_bytes.set(received_bytes - buffered_bytes);
            match postcard::from_bytes::<Reply>(&frame) {
                Ok(reply) => {
                    let sender = self.pending.borrow_mut().remove(&reply.id);
                    // A request that timed out no longer waits, so its response is dropped.
                    let _ = sender.map(|sender| sender.send(reply.body));
                }
                Err(error) => {
                    log::warn!("event=reply_unreadable reason={error:?}");
                    break;
                }
            }
        }
        self.pending.borrow_mut().clear();
    }
}

/// Writes queued messages until the queue or the connection closes. All messages that are
/// queued at the same time share one flush.
pub(crate) async fn write_messages<T: serde::Serialize>(
    write: impl AsyncWrite + Unpin,
    mut queue: mpsc::UnboundedReceiver<T>,
) {
    let mut frames = FramedWrite::new(write, codec());
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(message) = next {
            let result = match postcard::to_stdvec(&message) {
                Ok(content) => frames.feed(Bytes::from(content)).await,
                Err(error) => {
                    log::warn!("event=message_unwritable reason={error:?}");
                    Ok(())
                }
            };
            if result.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut frames).await.is_err() {
            return;
        }
        release_long_buffer(frames.write_buffer_mut());
    }
}

/// Releases the memory of an empty buffer that has held a long message.
fn release_long_buffer(buffer: &mut BytesMut) {
    if buffer.is_empty() && buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
        *buffer = BytesMut::new();
    }
}

/// Framing of the messages in both directions.
pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// The frames received on a connection that another instance opened.
pub(crate) type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Splits a connection that another instance opened into received frames and a write half.
pub(crate) fn accept(stream: TcpStream) -> (Frames, OwnedWriteHalf) {
    let (read, write) = stream.into_split();
    (FramedRead::new(read, codec()), write)
}

/// Decodes a request. None if the frame is not a valid one.
pub(crate) fn decode_request(frame: &BytesMut) -> Option<Request> {
    postcard::from_bytes(frame).ok()
}
