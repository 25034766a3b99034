//! Serves the requests of an authenticated peer: pings, messages and forwarded calls.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::acceptor::AcceptedState;
use crate::codec::{invalid, read_call, read_message, write_headers};
use crate::error::{PeerFailure, PeerFailureKind};
use crate::message::{ForwardId, ForwardedCall, PeerEvent};
use crate::peer_capnp::{answer_sink, outcome, session};
use crate::response::{MAX_QUEUED_PARTS, ResponseHead, ResponsePart, ResponseSender};
use crate::runtime::Shared;

/// Maximum number of events in the channel to the rest of the process. While it holds this many, messages
/// and calls of peers are rejected.
const MAX_EVENTS: usize = 10_000;

/// The session that a peer gets by logging in.
pub(crate) struct SessionServer {
    shared: Rc<Shared>,
    state: Rc<AcceptedState>,
    /// Name of the authenticated peer.
    peer: String,
}

impl SessionServer {
    pub(crate) fn new(
        shared: Rc<Shared>,
        state: Rc<AcceptedState>,
        peer: String,
    ) -> SessionServer {
        SessionServer {
            shared,
            state,
            peer,
        }
    }

    fn is_overloaded(&self) -> bool {
        self.shared.events.len() >= MAX_EVENTS
    }

    /// Emits the call as an event and streams its response to the peer. Returns the part
    /// that ended the response.
    async fn run(
        &self,
        call: ForwardedCall,
        sink: answer_sink::Client,
    ) -> capnp::Result<ResponsePart> {
        let id = self.shared.next_forward_id();
        // Reports the cancellation if this future is dropped early: when the peer cancels,
        // the connection ends or a write fails. Declared before the channel and so dropped
        // after it, which makes sends on the response fail by the time of the event.
        let mut guard = CancelGuard {
            shared: self.shared.clone(),
            id,
            is_armed: true,
        };
        let (sender, mut parts) = mpsc::channel(MAX_QUEUED_PARTS);
        self.shared.emit(PeerEvent::Forwarded {
            id,
            from: self.peer.clone(),
            call: Box::new(call),
            response: ResponseSender::new(sender),
        });
        let last = loop {
            match parts.recv().await {
                Some(ResponsePart::Head(head)) => self.write_head(&sink, head).await?,
                Some(ResponsePart::Chunk(data)) => self.write_chunk(&sink, &data).await?,
                Some(last) => break last,
                None => {
                    break ResponsePart::Failed(PeerFailure::possibly_reached(
                        PeerFailureKind::Broken,
                        "the response sender was dropped",
                    ));
                }
            }
        };
        guard.is_armed = false;
        Ok(last)
    }

    async fn write_head(
        &self,
        sink: &answer_sink::Client,
        head: ResponseHead,
    ) -> capnp::Result<()> {
        let mut request = sink.head_request();
        let mut params = request.get();
        params.set_status(head.status);
        let count = u32::try_from(head.headers.len())
            .map_err(|_| invalid("there are too many headers"))?;
        write_headers(&head.headers, params.init_headers(count));
        self.wait_confirmed(request.send().promise).await
    }

    async fn write_chunk(
        &self,
        sink: &answer_sink::Client,
        data: &[u8],
    ) -> capnp::Result<()> {
        let mut request = sink.chunk_request();
        request.get().set_data(data);
        self.wait_confirmed(request.send().promise).await
    }

    /// Waits until the forwarding instance has queued the part. Fails on timeout.
    async fn wait_confirmed<T>(
        &self,
        confirmation: impl Future<Output = capnp::Result<T>>,
    ) -> capnp::Result<()> {
        let deadline = Duration::from_millis(self.shared.deadlines.write_ms);
        match timeout(deadline, confirmation).await {
            Ok(result) => result.map(|_| ()),
            Err(_) => Err(invalid("the receiver of the answer is too slow")),
        }
    }
}

impl session::Server for SessionServer {
    async fn ping(
        self: Rc<Self>,
        _params: session::PingParams,
        _results: session::PingResults,
    ) -> capnp::Result<()> {
        self.state.last_ping.set(Instant::now());
        Ok(())
    }

    async fn notify(
        self: Rc<Self>,
        params: session::NotifyParams,
        _results: session::NotifyResults,
    ) -> capnp::Result<()> {
        if self.is_overloaded() {
            return Err(capnp::Error::overloaded("too many events wait".to_string()));
        }
        let message = read_message(params.get()?.get_message()?)?;
        self.shared.emit(PeerEvent::Message {
            from: self.peer.clone(),
            message,
        });
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: session::ForwardParams,
        mut results: session::ForwardResults,
    ) -> capnp::Result<()> {
        let (to, call) = read_call(params.get()?.get_call()?)?;
        let sink = params.get()?.get_sink()?;
        drop(params);
        let mut outcome = results.get().init_outcome();
        if to != self.shared.own {
            outcome.set_not_started("another incarnation runs here");
            return Ok(());
        }
        if self.is_overloaded() {
            outcome.set_not_started("too many events wait");
            return Ok(());
        }
        let last = self.run(call, sink).await?;
        write_outcome(last, results.get().init_outcome());
        Ok(())
    }
}

fn write_outcome(last: ResponsePart, mut outcome: outcome::Builder<'_>) {
    match last {
        ResponsePart::Complete => outcome.set_complete(()),
        ResponsePart::Refused(refusal) => {
            let json = serde_json::to_vec(&refusal).expect("a refusal is plain data");
            outcome.set_refused(&json);
        }
        ResponsePart::Chunk(_) | ResponsePart::Failed(_) | ResponsePart::Head(_) => {
            outcome.set_broken(());
        }
    }
}

/// Emits [`PeerEvent::ForwardCancelled`] when it is dropped while armed.
struct CancelGuard {
    shared: Rc<Shared>,
    id: ForwardId,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if self.is_armed {
            self.shared
                .emit(PeerEvent::ForwardCancelled { id: self.id });
        }
    }
}
