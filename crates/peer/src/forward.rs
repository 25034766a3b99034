//! Forwarding a call to a peer and receiving its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use jayreel_model::Incarnation;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::answer::{ResponseHead, ResponsePart};
use crate::codec::{invalid, read_headers, read_text, write_call};
use crate::error::{PeerFailure, PeerFailureKind};
use crate::link::Link;
use crate::message::ForwardedCall;
use crate::peer_capnp::{answer_sink, outcome};
use crate::runtime::Shared;

/// Forwards a call and passes on its answer until it ends or is cancelled.
pub(crate) async fn forward(
    shared: Rc<Shared>,
    link: Rc<Link>,
    to: Incarnation,
    call: Box<ForwardedCall>,
    parts: mpsc::Sender<ResponsePart>,
) {
    let result = tokio::select! {
        result = run(&shared, &link, &to, *call, &parts) => result,
        // Dropping the other branch cancels the call at the peer.
        () = parts.closed() => return,
    };
    let last = result.unwrap_or_else(ResponsePart::Failed);
    // The receiver may have gone away meanwhile.
    let _ = parts.send(last).await;
}

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
        return Err(PeerFailure::before(PeerFailureKind::NotStarted, text));
    }
    let progress = Rc::new(Progress::new());
    let sink = Sink {
        parts: parts.clone(),
        progress: progress.clone(),
    };
    let mut request = connection.session.forward_request();
    write_call(&call, to, request.get().init_call()).map_err(|err| {
        PeerFailure::before(PeerFailureKind::NotStarted, err.to_string())
    })?;
    drop(call);
    request.get().set_sink(capnp_rpc::new_client(sink));
    if connection.closer.is_closed() {
        let text = "the connection was closed before the call was sent";
        return Err(PeerFailure::before(PeerFailureKind::Disconnected, text));
    }
    // From here on bytes of the call may have left this process.
    let answer = request.send().promise;
    let answer = tokio::select! {
        answer = answer => answer,
        () = connection.closer.closed() => {
            let text = "the connection was closed while the call ran";
            return Err(PeerFailure::after(PeerFailureKind::Disconnected, text));
        }
        () = progress.stalled(Duration::from_millis(shared.deadlines.progress_ms)) => {
            let text = "the answer made no progress within the deadline";
            return Err(PeerFailure::after(PeerFailureKind::Timeout, text));
        }
    };
    let response = answer.map_err(broken)?;
    let outcome = response.get().and_then(|results| results.get_outcome());
    read_outcome(outcome.map_err(broken)?)
}

fn read_outcome(outcome: outcome::Reader<'_>) -> Result<ResponsePart, PeerFailure> {
    match outcome.which().map_err(|err| broken(err.into()))? {
        outcome::Complete(()) => Ok(ResponsePart::Complete),
        outcome::Broken(()) => {
            let text = "the peer broke the answer off";
            Err(PeerFailure::after(PeerFailureKind::Broken, text))
        }
        outcome::NotStarted(text) => {
            let text = read_text(text).map_err(broken)?;
            Err(PeerFailure::before(PeerFailureKind::NotStarted, text))
        }
        outcome::Refused(json) => {
            let refusal = serde_json::from_slice(json.map_err(broken)?);
            refusal
                .map(ResponsePart::Refused)
                .map_err(|_| broken(invalid("expected a refusal")))
        }
    }
}

fn broken(err: capnp::Error) -> PeerFailure {
    PeerFailure::after(PeerFailureKind::Disconnected, err.to_string())
}

/// When the last part of an answer arrived.
struct Progress {
    last: Cell<Instant>,
    /// The receiver of the parts is slow, so the peer is not to blame.
    is_blocked: Cell<bool>,
}

impl Progress {
    fn new() -> Progress {
        Progress {
            last: Cell::new(Instant::now()),
            is_blocked: Cell::new(false),
        }
    }

    /// Waits until there has been no progress for `deadline`.
    async fn stalled(&self, deadline: Duration) {
        loop {
            if self.is_blocked.get() {
                self.last.set(Instant::now());
            }
            let end = self.last.get() + deadline;
            if end <= Instant::now() {
                return;
            }
            sleep_until(end).await;
        }
    }
}

/// Takes the parts of an answer from the peer.
struct Sink {
    parts: mpsc::Sender<ResponsePart>,
    progress: Rc<Progress>,
}

impl Sink {
    async fn pass_on(&self, part: ResponsePart) -> capnp::Result<()> {
        self.progress.is_blocked.set(true);
        let sent = self.parts.send(part).await;
        self.progress.is_blocked.set(false);
        self.progress.last.set(Instant::now());
        sent.map_err(|_| invalid("the call was cancelled"))
    }
}

impl answer_sink::Server for Sink {
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
        self.pass_on(ResponsePart::Head(head)).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer_sink::ChunkParams,
        _results: answer_sink::ChunkResults,
    ) -> capnp::Result<()> {
        let data = params.get()?.get_data()?.to_vec();
        self.pass_on(ResponsePart::Chunk(data)).await
    }
}
