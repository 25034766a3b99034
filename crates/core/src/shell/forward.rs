//! Forwarding of calls between instances, in both directions.
//!
//! The instance that owns a program serves its calls. An instance that receives a call for
//! a program of another owner forwards it with a [`Forwarder`] and relays the response to
//! the caller. On the other side, [`insert_forwarded_call`] adds such a call to the call
//! table with a responder that sends the response back over the peer connection.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jayreel_fleet::Input;
use jayreel_model::{Incarnation, Ran, Refusal, RefusalReason, RequestId};
use jayreel_peer::{
    ForwardId, ForwardedCall, PeerFailure, PeerNetwork, Reached, ResponseHead,
    ResponsePart, ResponseSender,
};
use jayreel_scheduler::Event;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_server::{ChatParams, Operation, Responder, ResponderClosed, ResponseSink};
use serde::{Deserialize, Serialize};

use crate::shell::calls::{CallTable, RequestParts};
use crate::shell::runner::RunnerEvent;

/// Set in the request ids of calls that peers forwarded, so that they differ from those
/// of this instance's own server, which counts from 1 and never reaches this bit.
const FORWARDED_BIT: u64 = 1 << 63;

/// What the owner needs in addition to the HTTP request: the parsed request. Encoded as JSON
/// in [`ForwardedCall::params`], so the names of the fields are part of the peer protocol.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct ForwardedParams {
    arrived: CallArrived,
    stream: bool,
}

/// The request id, in this instance, of a call that a peer forwarded here.
pub(crate) fn forwarded_request_id(id: ForwardId) -> RequestId {
    RequestId(id.0 | FORWARDED_BIT)
}

/// Adds a call that a peer forwarded to the call table, and returns its arrival event for
/// the reducer.
///
/// # Errors
///
/// If the parameters of the call cannot be decoded. The peer then gets a refusal that says
/// that the call was not run.
pub(crate) fn insert_forwarded_call(
    id: ForwardId,
    call: &ForwardedCall,
    response: ResponseSender,
    calls: &CallTable,
    now_ms: u64,
) -> Result<CallArrived, serde_json::Error> {
    let params: ForwardedParams = match serde_json::from_slice(&call.params) {
        Ok(params) => params,
        Err(error) => {
            let refusal = Refusal::not_run(
                RefusalReason::InvalidRequest,
                "the forwarded call cannot be read",
            );
            let _ = response.refuse(refusal);
            return Err(error);
        }
    };
    let request_id = forwarded_request_id(id);
    let arrived = CallArrived {
        request_id,
        was_forwarded: true,
        ..params.arrived.clone()
    };
    let parts = RequestParts {
        method: call.method.clone(),
        path: call.path.clone(),
        operation: operation(&params),
        headers: call.headers.clone(),
        body: call.body.clone(),
    };
    let sink = PeerResponseSink { response };
    calls.insert(
        now_ms,
        parts,
        Responder::new(Box::new(sink)),
        arrived.clone(),
    );
    Ok(arrived)
}

/// Rebuilds the parsed request from the parameters that were sent along.
fn operation(params: &ForwardedParams) -> Operation {
    match &params.arrived.operation {
        CallOperation::Chat {
            model,
            max_tokens,
            prompt_bound_tokens,
            prefix_hashes,
        } => Operation::ChatCompletion(ChatParams {
            model: model.clone(),
            stream: params.stream,
            max_tokens: *max_tokens,
            prompt_bound_tokens: *prompt_bound_tokens,
            prefix_hashes: prefix_hashes.clone(),
        }),
        CallOperation::CloseProgram { token } => Operation::CloseProgram {
            token: token.clone(),
        },
        CallOperation::OpenProgram { budget_tokens } => Operation::OpenProgram {
            budget_tokens: *budget_tokens,
        },
        CallOperation::Service { .. } => Operation::Service,
    }
}

/// Sends a response to the instance that forwarded the call.
struct PeerResponseSink {
    response: ResponseSender,
}

impl ResponseSink for PeerResponseSink {
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        let head = ResponseHead {
            status,
            headers: headers.to_vec(),
        };
        self.response.head(head).map_err(|_| ResponderClosed)
    }

    fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed> {
        self.response.chunk(bytes).map_err(|_| ResponderClosed)
    }

    /// Blocks while the peer is slow to receive. Responses to forwarded calls are sent only by
    /// threads that may block.
    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        self.chunk(bytes).map(|()| true)
    }

    fn close(self: Box<Self>) {
        let _ = self.response.close();
    }

    /// Dropping the sender without closing it aborts the response.
    fn abort(self: Box<Self>) {}

    fn refuse(self: Box<Self>, refusal: &Refusal) {
        let _ = self.response.refuse(refusal.clone());
    }
}

/// Sends calls to the instances that own their programs and relays the responses.
#[derive(Clone)]
pub(crate) struct Forwarder {
    network: Arc<dyn PeerNetwork>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
}

impl Forwarder {
    /// A forwarder that reports the outcome of each call to the runner over `events`.
    pub(crate) fn new(
        network: Arc<dyn PeerNetwork>,
        calls: Arc<CallTable>,
        events: Sender<RunnerEvent>,
    ) -> Forwarder {
        Forwarder {
            network,
            calls,
            events,
        }
    }

    /// Forwards the call on a thread of its own and returns at once.
    pub(crate) fn start(&self, id: RequestId, to: Incarnation) {
        let forwarder = self.clone();
        let spawned = thread::Builder::new()
            .name("forward".to_string())
            .spawn(move || forwarder.run(id, &to));
        if let Err(error) = spawned {
            let message = format!("no thread for the call: {error}");
            self.fail(id, Ran::No, RefusalReason::Overloaded, message);
        }
    }

    /// Sends the call and relays the response. Runs on the call's thread.
    fn run(&self, id: RequestId, to: &Incarnation) {
        let Some((parts, responder)) = self.calls.take_responder(id) else {
            let message = "the call was cancelled before it was forwarded".to_string();
            return self.fail(id, Ran::No, RefusalReason::CallerGone, message);
        };
        let Some(call) = self.forwarded_call(id, &parts) else {
            self.calls.return_responder(id, responder);
            let message = "the call cannot be forwarded".to_string();
            return self.fail(id, Ran::No, RefusalReason::OwnerUnavailable, message);
        };
        let mut response = self.network.forward(to, call);
        let mut relay = ForwardedResponseRelay {
            forwarder: self,
            id,
            head_sent: false,
        };
        let mut responder = Some(responder);
        while let (Some(part), Some(open)) = (response.next_part(), responder.take()) {
            responder = relay.relay(part, open);
        }
    }

    /// `None` if the call is no longer open or cannot be encoded.
    fn forwarded_call(
        &self,
        id: RequestId,
        parts: &RequestParts,
    ) -> Option<ForwardedCall> {
        let arrived = self.calls.arrived(id)?;
        let stream =
            matches!(&parts.operation, Operation::ChatCompletion(chat) if chat.stream);
        let params = serde_json::to_vec(&ForwardedParams { arrived, stream }).ok()?;
        Some(ForwardedCall {
            method: parts.method.clone(),
            path: parts.path.clone(),
            headers: parts.headers.clone(),
            body: parts.body.clone(),
            params,
        })
    }

    fn fail(&self, id: RequestId, ran: Ran, reason: RefusalReason, message: String) {
        self.send(Event::CallFailed {
            request_id: id,
            ran,
            reason,
            message,
        });
    }

    fn send(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

/// Relays the parts of one forwarded response to the caller.
struct ForwardedResponseRelay<'a> {
    forwarder: &'a Forwarder,
    id: RequestId,
    /// Whether the status and the headers were sent to the caller.
    head_sent: bool,
}

impl ForwardedResponseRelay<'_> {
    /// Sends one part to the caller. Returns the responder if more parts may follow.
    fn relay(
        &mut self,
        part: ResponsePart,
        mut responder: Responder,
    ) -> Option<Responder> {
        let sent = match part {
            ResponsePart::Head(head) => {
                self.head_sent = true;
                responder.head(head.status, &head.headers)
            }
            ResponsePart::Chunk(bytes) => responder.chunk(&bytes),
            ResponsePart::Complete => return self.complete(responder),
            ResponsePart::Refused(refusal) => return self.refuse(responder, refusal),
            ResponsePart::Failed(failure) => return self.fail(responder, failure),
        };
        match sent {
            Ok(()) => Some(responder),
            Err(ResponderClosed) => self.caller_gone(responder),
        }
    }

    fn complete(&self, responder: Responder) -> Option<Responder> {
        responder.close();
        self.forwarder.calls.remove(self.id);
        self.forwarder.send(Event::CallFinished {
            request_id: self.id,
            usage: None,
        });
        None
    }

    fn refuse(&self, responder: Responder, refusal: Refusal) -> Option<Responder> {
        responder.refuse(&refusal);
        self.forwarder.calls.remove(self.id);
        let Refusal {
            ran,
            reason,
            message,
            ..
        } = refusal;
        self.forwarder.fail(self.id, ran, reason, message);
        None
    }

    /// Handles a failed connection to the owner. If nothing was sent to the caller yet, the
    /// responder goes back to the table, so that the reducer can still refuse the call.
    fn fail(&self, responder: Responder, failure: PeerFailure) -> Option<Responder> {
        let ran = match failure.reached {
            Reached::No => Ran::No,
            Reached::Possible => Ran::Unknown,
        };
        if self.head_sent {
            responder.abort();
            self.forwarder.calls.remove(self.id);
        } else {
            self.forwarder.calls.return_responder(self.id, responder);
        }
        let reason = RefusalReason::OwnerUnavailable;
        self.forwarder.fail(self.id, ran, reason, failure.message);
        None
    }

    /// Ends a call whose caller has closed the connection. The owner may have run it.
    fn caller_gone(&self, responder: Responder) -> Option<Responder> {
        responder.abort();
        self.forwarder.calls.remove(self.id);
        let message = "the caller went away".to_string();
        let reason = RefusalReason::CallerGone;
        self.forwarder.fail(self.id, Ran::Unknown, reason, message);
        None
    }
}
