//! Forwards a call to a peer and receives its response.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jayreel_model::Incarnation;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::codec::{invalid, read_headers, read_text, write_call};
use crate::error::{PeerFailure, PeerFailureKind};
use crate::link::Link;
use crate::message::ForwardedCall;
use crate::peer_capnp::{answer_sink, outcome};
use crate::response::{ResponseHead, ResponsePart};
use crate::runtime::Shared;

/// Forwards a call and queues the parts of its response until it ends or the reader of
/// `parts` cancels it.
pub(crate) async fn forward(
    shared: Rc<Shared>,
    link: Rc<Link>,
    to: Incarnation,
    call: Box<ForwardedCall>,
    parts: mpsc::Sender<ResponsePart>,
) {
    let result = tokio::select! {
        result = run(&shared, &link, &to, *call, &parts) => result,
        // Dropping the other future cancels the call at the peer.
        () = parts.closed() => return,
    };
    let last = result.unwrap_or_else(ResponsePart::Failed);
    // Fails if the reader cancelled in the meantime.
    let _ = parts.send(last).await;
}

/// Forwards a call. Returns the last part of its response.
async fn run(
    shared: &Rc<Shared>,
    link: &Link,
    to: &Incarnation,
    call: ForwardedCall,
    parts: &mpsc::Sender<ResponsePart>,
) -> Result<ResponsePart, PeerFailure> {
    let connection = link.connection(shared).await?;
    if connection.incarnation != *to {
        let text = format!("{} answers in place of {to}", connection.incarnation);
        return Err(PeerFailure::not_reached(PeerFailureKind::NotStarted, text));
    }
    let progress = Rc::new(Progress::new());
    let sink = ResponseReceiver {
        parts: parts.clone(),
        progress: progress.clone(),
    };
    let mut request = connection.session.forward_request();
    write_call(&call, to, request.get().init_call()).map_err(|err| {
        PeerFailure::not_reached(PeerFailureKind::NotStarted, err.to_string())
    })?;
    drop(call);
    request.get().set_sink(capnp_rpc::new_client(sink));
    if connection.close_handle.is_closed() {
        let text = "the connection was closed before the call was sent";
        return Err(PeerFailure::not_reached(
            PeerFailureKind::Disconnected,
            text,
        ));
    }
    // From here on, bytes of the call may have left this process.
    let response = request.send().promise;
    let response = tokio::select! {
        response = response => response,
        () = connection.close_handle.closed() => {
            let text = "the connection was closed while the call ran";
            return Err(PeerFailure::possibly_reached(PeerFailureKind::Disconnected, text));
        }
        () = progress.stalled(Duration::from_millis(shared.deadlines.progress_ms)) => {
            let text = "the answer made no progress within the deadline";
            return Err(PeerFailure::possibly_reached(PeerFailureKind::Timeout, text));
        }
    };
    let response = response.map_err(rpc_failed)?;
    let outcome = response.get().and_then(|results| results.get_outcome());
    read_outcome(outcome.map_err(rpc_failed)?)
}

fn read_outcome(outcome: outcome::Reader<'_>) -> Result<ResponsePart, PeerFailure> {
    match outcome.which().map_err(|err| rpc_failed(err.into()))? {
        outcome::Complete(()) => Ok(ResponsePart::Complete),
        outcome::Broken(()) => {
            let text = "the peer broke the answer off";
            Err(PeerFailure::possibly_reached(PeerFailureKind::Broken, text))
        }
        outcome::NotStarted(text) => {
            let text = read_text(text).map_err(rpc_failed)?;
            Err(PeerFailure::not_reached(PeerFailureKind::NotStarted, text))
        }
        outcome::Refused(json) => {
            let refusal = serde_json::from_slice(json.map_err(rpc_failed)?);
            refusal
                .map(ResponsePart::Refused)
                .map_err(|_| rpc_failed(invalid("expected a refusal")))
        }
    }
}

/// An RPC error or malformed response after the call was sent.
fn rpc_failed(err: capnp::Error) -> PeerFailure {
    PeerFailure::possibly_reached(PeerFailureKind::Disconnected, err.to_string())
}

/// Tracks when the last part of a response arrived.
struct Progress {
    last_part: Cell<Instant>,
    /// The queue to the local reader is full. Time spent so does not count towards the
    /// progress timeout.
    is_blocked: Cell<bool>,
}

impl Progress {
    fn new() -> Progress {
        Progress {
            last_part: Cell::new(Instant::now()),
            is_blocked: Cell::new(false),
        }
    }

    /// Completes when no part has arrived for `timeout`.
    async fn stalled(&self, timeout: Duration) {
        loop {
            if self.is_blocked.get() {
                self.last_part.set(Instant::now());
            }
            let end = self.last_part.get() + timeout;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// The capability through which the peer sends the parts of its response.
struct ResponseReceiver {
    parts: mpsc::Sender<ResponsePart>,
    progress: Rc<Progress>,
}

impl ResponseReceiver {
    /// Queues a part for the local reader. The peer waits for this before it sends more.
    async fn queue_part(&self, part: ResponsePart) -> capnp::Result<()> {
        self.progress.is_blocked.set(true);
        let sent = self.parts.send(part).await;
        self.progress.is_blocked.set(false);
        self.progress.last_part.set(Instant::now());
        sent.map_err(|_| invalid("the call was cancelled"))
    }
}

impl answer_sink::Server for ResponseReceiver {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _results: answer_sink::HeadResults,
    ) -> capnp::Result<()> {
        let params = params.get()?;
        let headers = read_headers(params.get_headers()?)?;
        let head = ResponseHead {
            status: params.get_status(),
            headers,
        };
        self.queue_part(ResponsePart::Head(head)).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer_sink::ChunkParams,
        _results: answer_sink::ChunkResults,
    ) -> capnp::Result<()> {
        let data = params.get()?.get_data()?.to_vec();
        self.queue_part(ResponsePart::Chunk(data)).await
    }
}
