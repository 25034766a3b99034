//! Runs calls against endpoints, each on a thread of its own.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jayreel_endpoint::{
    CallFailure, CallHead, CallObserver, CallRequest, EndpointClient, Usage, UsageReader,
};
use jayreel_fleet::Input;
use jayreel_model::{Ran, RefusalReason, RequestId};
use jayreel_scheduler::Event;
use jayreel_scheduler::effect::Dispatch;
use jayreel_scheduler::event::TokenUsage;
use jayreel_server::{Operation, Responder};
use jayreel_settings::EndpointSettings;

use crate::clock::Clock;
use crate::shell::calls::{CallTable, RequestParts};
use crate::shell::chat;
use crate::shell::runner::RunnerEvent;
use crate::shell::usage_filter::UsageFilter;

/// A call that is sent later than this after the decision is returned as not run. The
/// margin of loans of a customer's rate covers this time.
const DISPATCH_DEADLINE_MS: u64 = 1_000;

/// Stack of a call's thread. Calls keep their bodies on the heap.
const CALL_STACK_BYTES: usize = 256 * 1024;

/// Starts calls to endpoints.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    clock: Clock,
    settings: EndpointSettings,
    client: Arc<dyn EndpointClient>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
}

impl Dispatcher {
    /// A dispatcher that reports to `events`.
    pub(crate) fn new(
        clock: Clock,
        settings: EndpointSettings,
        client: Arc<dyn EndpointClient>,
        calls: Arc<CallTable>,
        events: Sender<RunnerEvent>,
    ) -> Dispatcher {
        Dispatcher {
            clock,
            settings,
            client,
            calls,
            events,
        }
    }

    /// Runs the call on a new thread.
    pub(crate) fn start(&self, dispatch: Dispatch) {
        let request_id = dispatch.request_id;
        let dispatcher = self.clone();
        let spawned = thread::Builder::new()
            .name("call".to_string())
            .stack_size(CALL_STACK_BYTES)
            .spawn(move || dispatcher.run(&dispatch));
        if let Err(error) = spawned {
            self.fail(
                request_id,
                not_run(format!("no thread for the call: {error}")),
            );
        }
    }

    fn run(&self, dispatch: &Dispatch) {
        let id = dispatch.request_id;
        let Some((parts, responder)) = self.calls.begin(id) else {
            return self.fail(id, not_run("the call was cancelled before it was sent"));
        };
        let mut answer = Answer {
            clock: self.clock,
            dispatch,
            events: self.events.clone(),
            responder: Some(responder),
            history: history_header(&parts),
            begun: false,
            first_token_seen: false,
            usage: None,
            filter: hides_usage(&parts).then(UsageFilter::default),
        };
        let request = self.request(dispatch, &parts);
        let calls = &self.calls;
        let mut register = |handle| calls.set_cancel(id, handle);
        let outcome = match answer.is_late() {
            true => Err(not_run("the process was paused before the call was sent")),
            false => self.client.call(&request, &mut register, &mut answer),
        };
        match outcome {
            Ok(()) => self.finish(id, answer),
            Err(failure) => self.end_failed(id, answer, failure),
        }
    }

    fn request(&self, dispatch: &Dispatch, parts: &RequestParts) -> CallRequest {
        let (body, repeatable, progress_timeout_ms) = match &parts.operation {
            Operation::ChatCompletion(facts) => (
                chat::engine_body(
                    &parts.body,
                    facts.stream,
                    dispatch.max_tokens,
                    dispatch.priority,
                ),
                true,
                self.settings.engine_progress_timeout_ms,
            ),
            _ => (
                parts.body.clone(),
                dispatch.repeatable,
                self.settings.service_progress_timeout_ms,
            ),
        };
        let mut headers = parts.headers.clone();
        if let Some(tag) = &dispatch.cache_tag {
            headers.push(("jayreel-cache-tag".to_string(), tag.clone()));
        }
        CallRequest {
            address: dispatch.address.clone(),
            method: parts.method.clone(),
            path: parts.path.clone(),
            headers,
            body,
            repeatable,
            connect_timeout_ms: self.settings.connect_timeout_ms,
            progress_timeout_ms,
        }
    }

    fn finish(&self, id: RequestId, mut answer: Answer<'_>) {
        let usage = answer
            .usage
            .take()
            .and_then(UsageReader::finish)
            .map(token_usage);
        answer.flush();
        if let Some(responder) = answer.responder.take() {
            responder.close();
        }
        self.calls.remove(id);
        self.send(Event::CallFinished {
            request_id: id,
            usage,
        });
    }

    fn end_failed(&self, id: RequestId, mut answer: Answer<'_>, failure: CallFailure) {
        match (answer.begun, answer.responder.take()) {
            (false, Some(responder)) => self.calls.give_back(id, responder),
            (_, responder) => {
                if let Some(responder) = responder {
                    responder.abort();
                }
                self.calls.remove(id);
            }
        }
        self.fail(id, failure);
    }

    fn fail(&self, id: RequestId, failure: CallFailure) {
        self.send(Event::CallFailed {
            request_id: id,
            ran: failure.ran,
            reason: failure.reason,
            message: failure.message,
        });
    }

    fn send(&self, event: Event) {
        // The runner outlives all calls, so this fails only after a panic there.
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

/// Passes an answer on to the caller as it arrives.
struct Answer<'a> {
    clock: Clock,
    dispatch: &'a Dispatch,
    events: Sender<RunnerEvent>,
    responder: Option<Responder>,
    /// Whether the head went to the caller.
    begun: bool,
    first_token_seen: bool,
    /// Present once the head of the answer arrived.
    usage: Option<UsageReader>,
    /// Present if the caller is not to see the usage event.
    filter: Option<UsageFilter>,
    /// Hash of the conversation so far, for the caller to send back.
    history: Option<(String, String)>,
}

impl Answer<'_> {
    fn is_late(&self) -> bool {
        self.clock.now_ms() > self.dispatch.decided_at_ms + DISPATCH_DEADLINE_MS
    }

    fn pass_on(&mut self, bytes: &[u8]) -> bool {
        match &mut self.responder {
            Some(_) if bytes.is_empty() => true,
            Some(responder) => responder.chunk(bytes).is_ok(),
            None => false,
        }
    }

    /// Passes on what the filter still holds.
    fn flush(&mut self) {
        if let Some(filter) = &mut self.filter {
            let rest = filter.finish();
            self.pass_on(&rest);
        }
    }

    fn send(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

impl CallObserver for Answer<'_> {
    fn sent(&mut self) {
        self.send(Event::CallSent {
            request_id: self.dispatch.request_id,
        });
    }

    fn head(&mut self, head: &CallHead) -> bool {
        let mut headers = head.headers.clone();
        headers.extend(self.dispatch.response_headers.iter().cloned());
        headers.extend(self.history.take());
        let content_type = headers.iter().find(|(name, _)| name == "content-type");
        let content_type = content_type.map_or("", |(_, value)| value);
        self.usage = Some(UsageReader::new(content_type));
        if self.filter.is_some() {
            headers.retain(|(name, _)| name != "content-length");
        }
        self.begun = true;
        match &mut self.responder {
            Some(responder) => responder.head(head.status, &headers).is_ok(),
            None => false,
        }
    }

    fn chunk(&mut self, bytes: &[u8]) -> bool {
        if !self.first_token_seen {
            self.first_token_seen = true;
            self.send(Event::FirstToken {
                request_id: self.dispatch.request_id,
            });
        }
        if let Some(usage) = &mut self.usage {
            usage.push(bytes);
        }
        match &mut self.filter {
            Some(filter) => {
                let passed = filter.push(bytes);
                self.pass_on(&passed)
            }
            None => self.pass_on(bytes),
        }
    }
}

fn hides_usage(parts: &RequestParts) -> bool {
    match &parts.operation {
        Operation::ChatCompletion(facts) if facts.stream => {
            !chat::asks_for_usage(&parts.body)
        }
        _ => false,
    }
}

fn history_header(parts: &RequestParts) -> Option<(String, String)> {
    let Operation::ChatCompletion(facts) = &parts.operation else {
        return None;
    };
    let hash = facts.prefix_hashes.last()?;
    Some(("jayreel-history".to_string(), format!("{hash:016x}")))
}

fn token_usage(usage: Usage) -> TokenUsage {
    TokenUsage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.cached_tokens,
        generated_tokens: usage.generated_tokens,
    }
}

fn not_run(message: impl Into<String>) -> CallFailure {
    CallFailure {
        ran: Ran::No,
        reason: RefusalReason::Overloaded,
        message: message.into(),
    }
}
