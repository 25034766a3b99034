//! Questions to an instance with a disk over one connection, many at a time.
//!
//! Messages are length-delimited frames in postcard. capnp-rpc, which instances use among
//! themselves elsewhere, sends each call and each release of its result as a message of its
//! own; here many small questions share a write, which a process that pays for each system
//! call needs.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures::future::LocalBoxFuture;
use futures::{FutureExt, SinkExt, StreamExt};
use jayreel_ledger::{Member, MemberRequest, MemberResponse, Reply, Request};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::clock::now_ms;
use crate::http_connection::connect_tcp;

/// Largest frame, in bytes: a part of a book with one large turn.
const MOST_FRAME_BYTES: usize = 12 << 20;

/// Time for a connection, in milliseconds: several times the way between the farthest zones.
const CONNECT_TIMEOUT_MS: u64 = 250;

/// After a failure no connection is tried for this time, in milliseconds, so that requests
/// do not wait for an instance that is known to be away.
const RETRY_PAUSE_MS: u64 = 60;

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkError {
    /// There is no connection.
    NotConnected,
    /// No answer came in time.
    TimedOut,
    /// The connection broke.
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

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<MemberResponse>>>>;

struct Connection {
    outgoing: mpsc::UnboundedSender<Request>,
    waiting: Waiting,
    heard_ms: Rc<Cell<u64>>,
    next_id: Cell<u64>,
    tasks: [JoinHandle<()>; 2],
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
    retry_at_ms: u64,
}

/// A connection to one instance that is made when it is needed.
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

    /// Asks a question.
    ///
    /// # Errors
    ///
    /// If no answer came within `timeout_ms`. The question may have been acted on.
    pub(crate) async fn ask(
        &self,
        group_version: u64,
        ask: MemberRequest,
        timeout_ms: u64,
    ) -> Result<MemberResponse, LinkError> {
        let connection = self.connection().await?;
        let (sender, receiver) = oneshot::channel();
        let id = connection.next_id.get();
        connection.next_id.set(id + 1);
        connection.waiting.borrow_mut().insert(id, sender);
        let asked_ms = now_ms();
        let request = Request {
            id,
            group_version,
            body: ask,
        };
        if connection.outgoing.send(request).is_err() {
            self.abandon(&connection).await;
            return Err(LinkError::Broken);
        }
        match tokio::time::timeout(Duration::from_millis(timeout_ms), receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) => {
                self.abandon(&connection).await;
                Err(LinkError::Broken)
            }
            Err(_) => {
                connection.waiting.borrow_mut().remove(&id);
                if connection.heard_ms.get() < asked_ms {
                    self.abandon(&connection).await;
                }
                Err(LinkError::TimedOut)
            }
        }
    }

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

    /// Forgets a connection that broke or went silent, if it is still the current one.
    async fn abandon(&self, connection: &Rc<Connection>) {
        let mut state = self.state.lock().await;
        let is_current = state
            .connection
            .as_ref()
            .is_some_and(|current| Rc::ptr_eq(current, connection));
        if is_current {
            state.connection = None;
            connection.waiting.borrow_mut().clear();
        }
    }
}

/// An answer that is on its way.
pub type AnswerFuture = LocalBoxFuture<'static, Result<MemberResponse, LinkError>>;

/// Ways to instances with disks.
pub trait MemberClient {
    /// Asks a question in a version of the group. An asker that counts answers towards one
    /// decision counts only those of one version.
    ///
    /// Fails if no answer came within `timeout_ms`; the question may have been acted on.
    fn ask(
        &self,
        member: &Member,
        group_version: u64,
        ask: MemberRequest,
        timeout_ms: u64,
    ) -> AnswerFuture;
}

impl MemberClient for LinkPool {
    fn ask(
        &self,
        member: &Member,
        group_version: u64,
        ask: MemberRequest,
        timeout_ms: u64,
    ) -> AnswerFuture {
        let link = self.to(member);
        async move { link.ask(group_version, ask, timeout_ms).await }.boxed_local()
    }
}

/// Connections to instances with disks, by their names.
#[derive(Default)]
pub(crate) struct LinkPool {
    by_name: RefCell<HashMap<String, Rc<Link>>>,
}

impl LinkPool {
    /// The connection to an instance. One that has moved to another address gets a new one.
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

fn open(stream: TcpStream) -> Connection {
    let (read, write) = stream.into_split();
    let (outgoing, queue) = mpsc::unbounded_channel();
    let waiting = Waiting::default();
    let heard_ms = Rc::new(Cell::new(0));
    let reader = read_replies(read, Rc::clone(&waiting), Rc::clone(&heard_ms));
    let writer = write_messages(write, queue);
    Connection {
        outgoing,
        waiting,
        heard_ms,
        next_id: Cell::new(1),
        tasks: [
            tokio::task::spawn_local(reader),
            tokio::task::spawn_local(writer),
        ],
    }
}

async fn read_replies(read: OwnedReadHalf, waiting: Waiting, heard_ms: Rc<Cell<u64>>) {
    let mut frames = FramedRead::new(read, codec());
    while let Some(Ok(frame)) = frames.next().await {
        heard_ms.set(now_ms());
        match postcard::from_bytes::<Reply>(&frame) {
            Ok(reply) => {
                let sender = waiting.borrow_mut().remove(&reply.id);
                // An asker that gave up no longer waits; its answer is dropped.
                let _ = sender.map(|sender| sender.send(reply.body));
            }
            Err(error) => {
                log::warn!("event=reply_unreadable reason={error:?}");
                break;
            }
        }
    }
    waiting.borrow_mut().clear();
}

/// Writes queued messages, as many at a time as are there.
pub(crate) async fn write_messages<T: serde::Serialize>(
    write: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<T>,
) {
    let mut frames = FramedWrite::new(write, codec());
    while let Some(first) = queue.recv().await {
        let mut next = Some(first);
        while let Some(message) = next {
            let fed = match postcard::to_stdvec(&message) {
                Ok(content) => frames.feed(Bytes::from(content)).await,
                Err(error) => {
                    log::warn!("event=message_unwritable reason={error:?}");
                    Ok(())
                }
            };
            if fed.is_err() {
                return;
            }
            next = queue.try_recv().ok();
        }
        if SinkExt::<Bytes>::flush(&mut frames).await.is_err() {
            return;
        }
    }
}

pub(crate) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MOST_FRAME_BYTES)
        .new_codec()
}

/// Frames of a connection that another instance opened.
pub(crate) type Frames = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Splits a connection that another instance opened.
pub(crate) fn accept(stream: TcpStream) -> (Frames, OwnedWriteHalf) {
    let (read, write) = stream.into_split();
    (FramedRead::new(read, codec()), write)
}

/// Decodes a question.
pub(crate) fn decode_request(frame: &BytesMut) -> Option<Request> {
    postcard::from_bytes(frame).ok()
}
