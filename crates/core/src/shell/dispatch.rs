//! Sends calls to endpoints and relays the responses, with one thread for each call.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jayreel_endpoint::{
    CallFailure, CallObserver, CallRequest, EndpointClient, ResponseHead, Usage,
    UsageReader,
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

/// A call whose thread reaches the endpoint client later than this after the reducer's
/// decision is not sent, and fails as not run. The process may have been paused for long in
/// between, and the safety margin of rate loans covers only this delay.
const DISPATCH_DEADLINE_MS: u64 = 1_000;

/// Stack size of a call's thread. Small, because there may be many and they keep the bodies
/// on the heap.
const CALL_STACK_BYTES: usize = 256 * 1024;

/// Starts the threads that send calls to endpoints.
#[derive(Clone)]
pub(crate) struct Dispatcher {
    clock: Clock,
    settings: EndpointSettings,
    client: Arc<dyn EndpointClient>,
    calls: Arc<CallTable>,
    events: Sender<RunnerEvent>,
}

impl Dispatcher {
    /// A dispatcher that reports the progress and outcome of each call over `events`.
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

    /// Sends the call on a thread of its own and returns at once.
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

    /// Sends the call and relays the response. Runs on the call's thread.
    fn run(&self, dispatch: &Dispatch) {
        let id = dispatch.request_id;
        let Some((parts, responder)) = self.calls.take_responder(id) else {
            return self.fail(id, not_run("the call was cancelled before it was sent"));
        };
        let mut relay = ResponseRelay {
            clock: self.clock,
            dispatch,
            events: self.events.clone(),
            responder: Some(responder),
            history_header: history_header(&parts),
            head_sent: false,
            first_token_seen: false,
            usage: None,
            usage_filter: hides_usage(&parts).then(UsageFilter::default),
        };
        let request = self.call_request(dispatch, &parts);
        let calls = &self.calls;
        let mut register = |handle| calls.set_cancel_handle(id, handle);
        let outcome = match relay.is_late() {
            true => Err(not_run("the process was paused before the call was sent")),
            false => self.client.call(&request, &mut register, &mut relay),
        };
        match outcome {
            Ok(()) => self.finish(id, relay),
            Err(failure) => self.end_failed(id, relay, failure),
        }
    }

    /// The request to the endpoint. The body of a chat completion is rewritten; other bodies
    /// are sent as they are.
    fn call_request(&self, dispatch: &Dispatch, parts: &RequestParts) -> CallRequest {
        let (body, repeatable, progress_timeout_ms) = match &parts.operation {
            Operation::ChatCompletion(chat) => (
                chat::engine_body(
                    &parts.body,
                    chat.stream,
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

    /// Ends a call whose response is complete.
    fn finish(&self, id: RequestId, mut relay: ResponseRelay<'_>) {
        let usage = relay
            .usage
            .take()
            .and_then(UsageReader::finish)
            .map(token_usage);
        relay.flush();
        if let Some(responder) = relay.responder.take() {
            responder.close();
        }
        self.calls.remove(id);
        self.send(Event::CallFinished {
            request_id: id,
            usage,
        });
    }

    /// Ends a failed call. If nothing was sent to the caller yet, the responder goes back to
    /// the table, so that the reducer can retry or refuse the call.
    fn end_failed(
        &self,
        id: RequestId,
        mut relay: ResponseRelay<'_>,
        failure: CallFailure,
    ) {
        match (relay.head_sent, relay.responder.take()) {
            (false, Some(responder)) => self.calls.return_responder(id, responder),
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
        // The runner outlives all calls, so this fails only after a panic in the runner.
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

/// Relays the endpoint's response to the caller as it arrives.
struct ResponseRelay<'a> {
    clock: Clock,
    dispatch: &'a Dispatch,
    events: Sender<RunnerEvent>,
    responder: Option<Responder>,
    /// Whether the status and the headers were sent to the caller.
    head_sent: bool,
    first_token_seen: bool,
    /// Extracts the token usage from the body. Set when the headers have arrived.
    usage: Option<UsageReader>,
    /// Set if the caller did not request the usage event of a stream.
    usage_filter: Option<UsageFilter>,
    /// The `Jayreel-History` header: the hash of the conversation, which the caller may send
    /// back with its next request. Set for chat completions.
    history_header: Option<(String, String)>,
}

impl ResponseRelay<'_> {
    /// Whether [`DISPATCH_DEADLINE_MS`] have passed since the reducer's decision.
    fn is_late(&self) -> bool {
        self.clock.now_ms() > self.dispatch.decided_at_ms + DISPATCH_DEADLINE_MS
    }

    /// Returns whether the caller is still connected.
    fn send_chunk(&mut self, bytes: &[u8]) -> bool {
        match &mut self.responder {
            Some(_) if bytes.is_empty() => true,
            Some(responder) => responder.chunk(bytes).is_ok(),
            None => false,
        }
    }

    /// Sends what the usage filter still holds at the end of the stream.
    fn flush(&mut self) {
        if let Some(filter) = &mut self.usage_filter {
            let rest = filter.finish();
            self.send_chunk(&rest);
        }
    }

    fn send(&self, event: Event) {
        let _ = self
            .events
            .send(RunnerEvent::Reducer(Input::Schedule(event)));
    }
}

impl CallObserver for ResponseRelay<'_> {
    fn sent(&mut self) {
        self.send(Event::CallSent {
            request_id: self.dispatch.request_id,
        });
    }

    fn head(&mut self, head: &ResponseHead) -> bool {
        let mut headers = head.headers.clone();
        headers.extend(self.dispatch.response_headers.iter().cloned());
        headers.extend(self.history_header.take());
        let content_type = headers.iter().find(|(name, _)| name == "content-type");
        let content_type = content_type.map_or("", |(_, value)| value);
        self.usage = Some(UsageReader::new(content_type));
        if self.usage_filter.is_some() {
            // The filter may shorten the body.
            headers.retain(|(name, _)| name != "content-length");
        }
        self.head_sent = true;
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
        match &mut self.usage_filter {
            Some(filter) => {
                let output = filter.push(bytes);
                self.send_chunk(&output)
            }
            None => self.send_chunk(bytes),
        }
    }
}

/// Whether the call is a stream whose caller did not request the usage event.
fn hides_usage(parts: &RequestParts) -> bool {
    match &parts.operation {
        Operation::ChatCompletion(chat) if chat.stream => {
            !chat::requests_usage(&parts.body)
        }
        _ => false,
    }
}

/// The `Jayreel-History` header of the response to a chat completion.
fn history_header(parts: &RequestParts) -> Option<(String, String)> {
    let Operation::ChatCompletion(chat) = &parts.operation else {
        return None;
    };
    let hash = chat.prefix_hashes.last()?;
    Some(("jayreel-history".to_string(), format!("{hash:016x}")))
}

fn token_usage(usage: Usage) -> TokenUsage {
    TokenUsage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens: usage.cached_tokens,
        generated_tokens: usage.generated_tokens,
    }
}

/// A failure of a call that was not sent to the endpoint.
fn not_run(message: impl Into<String>) -> CallFailure {
    CallFailure {
        ran: Ran::No,
        reason: RefusalReason::Overloaded,
        message: message.into(),
    }
}
