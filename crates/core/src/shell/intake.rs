//! Converts requests from the callers' HTTP server into events for the runner.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam::channel::Sender;
use jayreel_fleet::Input;
use jayreel_model::{KeyHash, Refusal, RefusalReason, RequestId};
use jayreel_scheduler::Event;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_server::{IncomingRequest, Operation, RequestHandler};

use crate::clock::Clock;
use crate::shell::calls::{CallTable, RequestParts};
use crate::shell::runner::RunnerEvent;

/// Registers each request in the call table and sends the runner an event for it.
///
/// Shared by the connection threads of the callers' server.
pub(crate) struct RequestSubmitter {
    clock: Clock,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    ready: Arc<AtomicBool>,
}

impl RequestSubmitter {
    /// A submitter that reports readiness while `ready` is set. The runner sets the flag, and
    /// a planned stop clears it.
    pub(crate) fn new(
        clock: Clock,
        calls: Arc<CallTable>,
        events: Sender<RunnerEvent>,
        ready: Arc<AtomicBool>,
    ) -> RequestSubmitter {
        RequestSubmitter {
            clock,
            calls,
            events,
            ready,
        }
    }

    fn send(&self, event: RunnerEvent) {
        // The runner outlives the server, so this fails only after a panic in the runner.
        let _ = self.events.send(event);
    }
}

impl RequestHandler for RequestSubmitter {
    fn submit(&self, request: IncomingRequest) {
        if let Err(refusal) = check_history(&request) {
            return request.responder.refuse(&refusal);
        }
        let arrived = call_arrived(&request);
        let event = match request.operation {
            Operation::ListModels => RunnerEvent::ListModels {
                id: request.id,
                key: arrived.key,
            },
            _ => {
                let event = Event::CallArrived(Box::new(arrived.clone()));
                RunnerEvent::Reducer(Input::Schedule(event))
            }
        };
        let parts = RequestParts {
            method: request.method,
            path: request.path,
            operation: request.operation,
            headers: request.passed_headers,
            body: request.body,
        };
        self.calls
            .insert(self.clock.now_ms(), parts, request.responder, arrived);
        self.send(event);
    }

    fn caller_gone(&self, id: RequestId) {
        let event = Event::CallerGone { request_id: id };
        self.send(RunnerEvent::Reducer(Input::Schedule(event)));
    }

    fn ready(&self) -> bool {
        self.ready.load(Ordering::SeqCst)
    }
}

/// Refuses a chat completion whose `Jayreel-History` header does not match.
///
/// The header carries the hash of the conversation that an earlier response returned. It
/// must be the hash of a prefix of this request's messages; a mismatch means that the
/// caller changed or lost part of the conversation. Requests without the header pass.
fn check_history(request: &IncomingRequest) -> Result<(), Refusal> {
    let (Operation::ChatCompletion(chat), Some(text)) =
        (&request.operation, &request.headers.history)
    else {
        return Ok(());
    };
    let Ok(hash) = u64::from_str_radix(text, 16) else {
        return Err(Refusal::not_run(
            RefusalReason::InvalidRequest,
            "Jayreel-History is not a hash that an answer carried",
        ));
    };
    match chat.prefix_hashes.contains(&hash) {
        true => Ok(()),
        false => Err(Refusal::not_run(
            RefusalReason::HistoryMismatch,
            "the messages do not continue the history of the last call",
        )),
    }
}

/// Describes the request to the reducer, without its body and with its key only as a hash.
fn call_arrived(request: &IncomingRequest) -> CallArrived {
    let headers = &request.headers;
    CallArrived {
        request_id: request.id,
        key: headers.key.as_deref().map(KeyHash::of_key),
        profile: headers.profile.clone(),
        program: headers.program.clone(),
        parent: headers.parent.clone(),
        turn: headers.turn,
        epoch: headers.epoch.clone(),
        idempotency_key: headers.idempotency_key.clone(),
        was_forwarded: false,
        operation: call_operation(request),
    }
}

fn call_operation(request: &IncomingRequest) -> CallOperation {
    match &request.operation {
        Operation::ChatCompletion(chat) => CallOperation::Chat {
            model: chat.model.clone(),
            max_tokens: chat.max_tokens,
            prompt_bound_tokens: chat.prompt_bound_tokens,
            prefix_hashes: chat.prefix_hashes.clone(),
        },
        Operation::OpenProgram { budget_tokens } => CallOperation::OpenProgram {
            budget_tokens: *budget_tokens,
        },
        Operation::CloseProgram { token } => CallOperation::CloseProgram {
            token: token.clone(),
        },
        Operation::ListModels | Operation::Service => CallOperation::Service {
            path: request
                .path
                .split('?')
                .next()
                .unwrap_or_default()
                .to_string(),
        },
    }
}
