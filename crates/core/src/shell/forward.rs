//! Calls that another instance serves, in both directions.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jayreel_fleet::Input;
use jayreel_model::{Incarnation, Ran, Refusal, RefusalReason, RequestId};
use jayreel_peer::{
    AnswerHead, AnswerPart, AnswerSender, ForwardId, ForwardedCall, PeerFailure,
    PeerNetwork, Reached,
};
use jayreel_scheduler::Event;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_server::{AnswerSink, ChatFacts, Operation, Responder, ResponderClosed};
use serde::{Deserialize, Serialize};

use crate::shell::calls::{CallTable, RequestParts};
use crate::shell::runner::RunnerEvent;

/// Marks the identifiers of calls that peers forwarded. The server counts its own from 1
/// and never gets this far.
const FORWARDED_BIT: u64 = 1 << 63;

/// What the serving instance needs to know beyond the request itself.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Facts {
    arrived: CallArrived,
    stream: bool,
}

/// The identifier of a call that a peer forwarded here.
pub(crate) fn forwarded_id(id: ForwardId) -> RequestId {
    RequestId(id.0 | FORWARDED_BIT)
}

/// Adds a call that a peer forwarded to the table, and returns its facts.
///
/// # Errors
///
/// If the facts cannot be read. The call is then broken off as not run.
pub(crate) fn take_forwarded(
    id: ForwardId,
    call: &ForwardedCall,
    answer: AnswerSender,
    calls: &CallTable,
    now_ms: u64,
) -> Result<CallArrived, serde_json::Error> {
    let facts: Facts = match serde_json::from_slice(&call.facts) {
        Ok(facts) => facts,
        Err(error) => {
            let refusal = Refusal::not_run(
                RefusalReason::InvalidRequest,
                "the forwarded call cannot be read",
            );
            let _ = answer.refuse(refusal);
            return Err(error);
        }
    };
    let request_id = forwarded_id(id);
    let arrived = CallArrived {
        request_id,
        was_forwarded: true,
        ..facts.arrived.clone()
    };
    let parts = RequestParts {
        method: call.method.clone(),
        path: call.path.clone(),
        operation: operation(&facts),
        headers: call.headers.clone(),
        body: call.body.clone(),
    };
    let sink = ForwardSink { answer };
    calls.insert(
        now_ms,
        parts,
        Responder::new(Box::new(sink)),
        arrived.clone(),
    );
    Ok(arrived)
}

fn operation(facts: &Facts) -> Operation {
    match &facts.arrived.operation {
        CallOperation::Chat {
            model,
            max_tokens,
            prompt_bound_tokens,
            prefix_hashes,
        } => Operation::ChatCompletion(ChatFacts {
            model: model.clone(),
            stream: facts.stream,
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

/// Sends an answer back to the instance that forwarded the call.
struct ForwardSink {
    answer: AnswerSender,
}

impl AnswerSink for ForwardSink {
    fn head(
        &mut self,
        status: u16,
        headers: &[(String, String)],
    ) -> Result<(), ResponderClosed> {
        let head = AnswerHead {
            status,
            headers: headers.to_vec(),
        };
        self.answer.head(head).map_err(|_| ResponderClosed)
    }

    fn chunk(&mut self, bytes: &[u8]) -> Result<(), ResponderClosed> {
        self.answer.chunk(bytes).map_err(|_| ResponderClosed)
    }

    /// Waits for the peer: forwarded answers are only sent by threads that may block.
    fn try_chunk(&mut self, bytes: &[u8]) -> Result<bool, ResponderClosed> {
        self.chunk(bytes).map(|()| true)
    }

    fn close(self: Box<Self>) {
        let _ = self.answer.close();
    }

    fn abort(self: Box<Self>) {}

    fn refuse(self: Box<Self>, refusal: &Refusal) {
        let _ = self.answer.refuse(refusal.clone());
    }
}

/// Passes calls on to the instances that serve them.
#[derive(Clone)]
pub(crate) struct Forwarder {
    network: Arc<dyn PeerNetwork>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
}

impl Forwarder {
    /// A forwarder that reports to `events`.
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

    /// Forwards the call on a new thread.
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

    fn run(&self, id: RequestId, to: &Incarnation) {
        let Some((parts, responder)) = self.calls.begin(id) else {
            let message = "the call was cancelled before it was forwarded".to_string();
            return self.fail(id, Ran::No, RefusalReason::CallerGone, message);
        };
        let Some(call) = self.outgoing(id, &parts) else {
            self.calls.give_back(id, responder);
            let message = "the call cannot be forwarded".to_string();
            return self.fail(id, Ran::No, RefusalReason::OwnerUnavailable, message);
        };
        let mut answer = self.network.forward(to, call);
        let mut passing = Passing {
            forwarder: self,
            id,
            begun: false,
        };
        let mut responder = Some(responder);
        while let (Some(part), Some(open)) = (answer.next_part(), responder.take()) {
            responder = passing.pass(part, open);
        }
    }

    fn outgoing(&self, id: RequestId, parts: &RequestParts) -> Option<ForwardedCall> {
        let arrived = self.calls.facts(id)?;
        let stream = matches!(&parts.operation, Operation::ChatCompletion(f) if f.stream);
        let facts = serde_json::to_vec(&Facts { arrived, stream }).ok()?;
        Some(ForwardedCall {
            method: parts.method.clone(),
            path: parts.path.clone(),
            headers: parts.headers.clone(),
            body: parts.body.clone(),
            facts,
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

/// Passes the parts of one answer on to the caller.
struct Passing<'a> {
    forwarder: &'a Forwarder,
    id: RequestId,
    /// Whether the head went to the caller.
    begun: bool,
}

impl Passing<'_> {
    /// Passes one part on. Returns the responder if more parts may follow.
    fn pass(&mut self, part: AnswerPart, mut responder: Responder) -> Option<Responder> {
        let sent = match part {
            AnswerPart::Head(head) => {
                self.begun = true;
                responder.head(head.status, &head.headers)
            }
            AnswerPart::Chunk(bytes) => responder.chunk(&bytes),
            AnswerPart::Complete => return self.complete(responder),
            AnswerPart::Refused(refusal) => return self.refuse(responder, refusal),
            AnswerPart::Failed(failure) => return self.fail(responder, failure),
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

    /// An answer that has not begun can still be refused by the reducer.
    fn fail(&self, responder: Responder, failure: PeerFailure) -> Option<Responder> {
        let ran = match failure.reached {
            Reached::No => Ran::No,
            Reached::Possible => Ran::Unknown,
        };
        if self.begun {
            responder.abort();
            self.forwarder.calls.remove(self.id);
        } else {
            self.forwarder.calls.give_back(self.id, responder);
        }
        let reason = RefusalReason::OwnerUnavailable;
        self.forwarder.fail(self.id, ran, reason, failure.message);
        None
    }

    fn caller_gone(&self, responder: Responder) -> Option<Responder> {
        responder.abort();
        self.forwarder.calls.remove(self.id);
        let message = "the caller went away".to_string();
        let reason = RefusalReason::CallerGone;
        self.forwarder.fail(self.id, Ran::Unknown, reason, message);
        None
    }
}
