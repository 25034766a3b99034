//! Turns requests of the server into events.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam::channel::Sender;
use jayreel_fleet::Input;
use jayreel_model::{KeyHash, Refusal, RefusalReason, RequestId};
use jayreel_scheduler::Event;
use jayreel_scheduler::event::{CallArrived, CallOperation};
use jayreel_server::{IncomingRequest, Intake, Operation};

use crate::clock::Clock;
use crate::shell::calls::{CallTable, RequestParts};
use crate::shell::runner::RunnerEvent;

/// Hands requests to the runner.
pub(crate) struct ShellIntake {
    clock: Clock,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
    ready: Arc<AtomicBool>,
}

impl ShellIntake {
    /// An intake that is ready while `ready` is set.
    pub(crate) fn new(
        clock: Clock,
        calls: Arc<CallTable>,
        events: Sender<RunnerEvent>,
        ready: Arc<AtomicBool>,
    ) -> ShellIntake {
        ShellIntake {
            clock,
            calls,
            events,
            ready,
        }
    }

    fn send(&self, event: RunnerEvent) {
        // The runner outlives the server, so this fails only after a panic there.
        let _ = self.events.send(event);
    }
}

impl Intake for ShellIntake {
    fn submit(&self, request: IncomingRequest) {
        if let Err(refusal) = check_history(&request) {
            return request.responder.refuse(&refusal);
        }
        let facts = facts(&request);
        let event = match request.operation {
            Operation::ListModels => RunnerEvent::ListModels {
                id: request.id,
                key: facts.key,
            },
            _ => {
                let event = Event::CallArrived(Box::new(facts.clone()));
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
            .insert(self.clock.now_ms(), parts, request.responder, facts);
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

/// A caller that sends the hash of its last request's messages back is told if this
/// request does not continue them.
fn check_history(request: &IncomingRequest) -> Result<(), Refusal> {
    let (Operation::ChatCompletion(facts), Some(text)) =
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
    match facts.prefix_hashes.contains(&hash) {
        true => Ok(()),
        false => Err(Refusal::not_run(
            RefusalReason::HistoryMismatch,
            "the messages do not continue the history of the last call",
        )),
    }
}

fn facts(request: &IncomingRequest) -> CallArrived {
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
        operation: operation(request),
    }
}

fn operation(request: &IncomingRequest) -> CallOperation {
    match &request.operation {
        Operation::ChatCompletion(facts) => CallOperation::Chat {
            model: facts.model.clone(),
            max_tokens: facts.max_tokens,
            prompt_bound_tokens: facts.prompt_bound_tokens,
            prefix_hashes: facts.prefix_hashes.clone(),
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
