//! Streamed responses: events are forwarded to the caller as they arrive. If the stream of an
//! endpoint is interrupted, another endpoint continues it where the route allows that.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use jayreel_ledger::{MAX_TURN_OUTPUT_BYTES, Reservation, Settlement, TurnRecord};
use tokio::sync::mpsc;

use crate::balance::Pick;
use crate::clock::now_ms;
use crate::edge::Edge;
use crate::edge::body::{BodyChunk, CallBody};
use crate::edge::call::{AdmittedCall, final_refusal, pick_endpoint};
use crate::edge::exchange::{EndpointResponse, PooledConnection, send};
use crate::edge::forward::read_body;
use crate::edge::hedge::{Answered, HedgedSend};
use crate::edge::refusal::Refusal;
use crate::edge::stream_memory::StreamMemory;
use crate::events::{EventReader, StreamEvent};
use crate::log_fields::OrNone;
use crate::retry::{Attempt, Outcome, Step};

/// Pieces of events that wait for a caller who reads slowly. Reading from the endpoint stops while
/// there are so many.
const MAX_QUEUED_PIECES: usize = 16;

/// Largest piece of an event, in bytes. hyper holds one that it cannot write yet.
const MAX_PIECE_BYTES: usize = 16 << 10;

/// Reason of an interruption by the loss of the connection.
const CONNECTION_LOST: &str = "connection lost";

/// Reason of an interruption by the end of a stream in the middle of an event.
const ENDED_WITHIN_EVENT: &str = "ended within an event";

/// Reason of an interruption by an event without end.
const EVENT_TOO_LARGE: &str = "event too large";

/// Reason of an interruption by the end of a stream that lacks events which the caller has.
const ENDED_TOO_SOON: &str = "ended before the caller's last event";

/// Reason of an interruption because streams take too much memory.
const OUT_OF_MEMORY: &str = "out of memory";

/// Tokens reserved for a turn in its program's budget. Dropping it reports the tokens that were
/// used to the members, which release the rest.
pub(crate) struct BudgetReservation {
    edge: Rc<Edge>,
    settlement: Settlement,
}

impl BudgetReservation {
    pub(crate) fn new(edge: &Rc<Edge>, reservation: &Reservation) -> BudgetReservation {
        BudgetReservation {
            edge: Rc::clone(edge),
            settlement: Settlement {
                program: reservation.program.clone(),
                turn: reservation.turn.clone(),
                used_tokens: 0,
            },
        }
    }

    /// Counts tokens as used.
    fn charge(&mut self, tokens: u32) {
        self.settlement.used_tokens += tokens;
    }
}

impl Drop for BudgetReservation {
    fn drop(&mut self) {
        self.edge.members.settle(&self.settlement);
    }
}

/// A streamed request and its progress over all endpoints that have worked on it.
pub(crate) struct StreamCall {
    edge: Rc<Edge>,
    admitted: AdmittedCall,
    /// `None` if the program has no token budget.
    reservation: Option<BudgetReservation>,
    /// The turn to store when the stream is complete, still without its output. `None` on routes
    /// that do not store turns.
    unfinished_turn: Option<TurnRecord>,
    attempt: Attempt,
    /// Identifiers of the endpoints to which it was sent, the current one last.
    tried: Vec<String>,
    /// The endpoint to which it was last sent.
    current: Option<Pick>,
    /// Identifier of the last event that was recorded, and queued for the caller unless the caller has
    /// it. Another endpoint continues after it.
    last_event_id: Option<u64>,
    /// Identifier of the last event that the caller has from an earlier attempt, if the turn is to be
    /// stored. Its record needs all events, so the endpoint starts from the first one.
    replayed_event_id: Option<u64>,
    /// Tokens of the events that were recorded but not sent to the caller.
    replayed_tokens: u32,
    /// Data of the events so far, if the turn is to be stored.
    output: BytesMut,
    memory: StreamMemory,
}

/// The response stream of one endpoint.
struct EndpointStream {
    body: Incoming,
    connection: PooledConnection,
    reader: EventReader,
}

impl EndpointStream {
    /// Closes the connection, so that the endpoint stops working on the request.
    fn close(self) {}
}

/// What was read next from an endpoint's stream.
enum StreamProgress {
    Events(Vec<StreamEvent>),
    /// The stream is complete.
    End,
    /// It cannot be read further, for this reason.
    Interrupted(&'static str),
}

impl StreamCall {
    pub(crate) fn new(
        edge: &Rc<Edge>,
        admitted: AdmittedCall,
        reservation: Option<BudgetReservation>,
        unfinished_turn: Option<TurnRecord>,
    ) -> StreamCall {
        let resumed_event_id = admitted.call.last_event_id;
        let (last_event_id, replayed_event_id) = match unfinished_turn {
            Some(_) => (None, resumed_event_id),
            None => (resumed_event_id, None),
        };
        if let Some(event) = replayed_event_id {
            log::info!(
                "event=stream_replayed request={} program={} caller_event={event}",
                admitted.call.request_id,
                admitted.program().unwrap_or("none"),
            );
        }
        StreamCall {
            edge: Rc::clone(edge),
            last_event_id,
            replayed_event_id,
            replayed_tokens: 0,
            admitted,
            reservation,
            unfinished_turn,
            attempt: Attempt::default(),
            tried: Vec::new(),
            current: None,
            output: BytesMut::new(),
            memory: StreamMemory::new(&edge.response_memory),
        }
    }

    fn is_resumable(&self) -> bool {
        self.admitted.route.kind.may_run_again()
    }

    /// Sends the request to endpoints until one begins a response. A send may be hedged only while
    /// no part of a response has been passed on.
    async fn start(&mut self, may_hedge: bool) -> Result<EndpointResponse, Refusal> {
        loop {
            let pick =
                pick_endpoint(&self.edge, &self.admitted, &self.attempt, &self.tried)
                    .await?;
            self.tried.push(pick.id.clone());
            let (edge, admitted) = (&self.edge, &self.admitted);
            let last_event_id = self.last_event_id;
            let hedged = HedgedSend {
                edge,
                admitted,
                attempt: &mut self.attempt,
                tried: &mut self.tried,
                may_hedge,
            };
            let sent = hedged.run(pick, async |pick, timeouts, progress| {
                let outgoing = &admitted.outgoing;
                let upstream = send(edge, pick, outgoing, last_event_id, timeouts);
                upstream.await.inspect(|_| progress.record_head())
            });
            let (pick, outcome) = match sent.await {
                Ok(Answered {
                    pick,
                    response,
                    elapsed_ms,
                }) => {
                    edge.record_endpoint_response(&pick, response.status, elapsed_ms);
                    edge.record_response(admitted, &pick, response.status);
                    self.current = Some(pick);
                    return Ok(response);
                }
                Err(failed) => failed,
            };
            self.current = Some(pick);
            match self.attempt.next(self.admitted.policy(), outcome) {
                Step::SendAgain => self.wait_for_crash_check().await,
                step => return Err(final_refusal(&self.admitted, step)),
            }
        }
    }

    /// Waits until it is known whether the endpoint to which the request was last sent has
    /// crashed, if the request may be the cause.
    async fn wait_for_crash_check(&self) {
        if let Some(pick) = &self.current {
            let fingerprints = &self.admitted.outgoing.fingerprints;
            self.edge.wait_for_crash_check(pick.key, fingerprints).await;
        }
    }

    /// Logs an interruption and counts it against the endpoint. Returns whether the retry policy
    /// allows another endpoint to continue.
    fn may_resume_after(&mut self, stream: &EndpointStream, reason: &str) -> bool {
        let key = stream.connection.key();
        let mut balancer = self.edge.balancer.borrow_mut();
        balancer.fail(now_ms(), key);
        if reason == EVENT_TOO_LARGE {
            balancer.set_aside(now_ms(), key);
        }
        drop(balancer);
        if let (Some(pick), CONNECTION_LOST | ENDED_WITHIN_EVENT) =
            (&self.current, reason)
        {
            self.edge.record_lost_request(pick, &self.admitted.outgoing);
        }
        let step = self.attempt.next(self.admitted.policy(), Outcome::Unknown);
        log::info!(
            "event=stream_broken request={} program={} endpoint={} reason={reason:?} \
             last_event={} step={step:?}",
            self.admitted.call.request_id,
            self.admitted.program().unwrap_or("none"),
            self.tried.last().map_or("none", String::as_str),
            OrNone(self.last_event_id),
        );
        step == Step::SendAgain
    }

    /// Why an event must not be passed on: the endpoint has sent more than the request allows.
    fn excess(&self, event: &StreamEvent) -> Option<&'static str> {
        let max_tokens = self.admitted.call.reserved_tokens();
        let reservation = self.reservation.as_ref();
        let used_tokens =
            reservation.map(|kept| kept.settlement.used_tokens + self.replayed_tokens);
        let data_bytes = event.data.as_ref().map_or(0, Vec::len);
        match used_tokens {
            Some(used_tokens) if used_tokens >= max_tokens => Some("too many tokens"),
            _ if self.unfinished_turn.is_none() => None,
            _ if self.output.len() + data_bytes > MAX_TURN_OUTPUT_BYTES => {
                Some("output too long")
            }
            _ => None,
        }
    }

    /// Whether the caller has an event from an earlier attempt.
    fn is_replayed(&self, event: &StreamEvent) -> bool {
        let Some(replayed_id) = self.replayed_event_id else {
            return false;
        };
        match event.id {
            Some(id) => id <= replayed_id,
            None => self.last_event_id.is_none_or(|last| last < replayed_id),
        }
    }

    /// Whether a stream that ends now lacks events which the caller has.
    fn lacks_replayed_events(&self) -> bool {
        self.replayed_event_id > self.last_event_id
    }

    /// Adds an event to the turn's output, and charges the budget for one that is about to be queued
    /// for the caller.
    fn record(&mut self, event: &StreamEvent, is_replayed: bool) {
        let event_tokens = self.admitted.event_tokens;
        match &mut self.reservation {
            _ if is_replayed => self.replayed_tokens += event_tokens,
            Some(reservation) => reservation.charge(event_tokens),
            None => {}
        }
        if let (Some(_), Some(data)) = (&self.unfinished_turn, &event.data) {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
        self.last_event_id = event.id.or(self.last_event_id);
    }

    /// Reads the next events, or the end of the stream. Stops at the caller's deadline.
    async fn next(&mut self, stream: &mut EndpointStream) -> StreamProgress {
        loop {
            let time_left = Duration::from_millis(self.admitted.time_left_ms());
            let frame = match tokio::time::timeout(time_left, stream.body.frame()).await {
                Err(_) => return StreamProgress::Interrupted("timed out"),
                Ok(None) if !stream.reader.is_at_boundary() => {
                    return StreamProgress::Interrupted(ENDED_WITHIN_EVENT);
                }
                Ok(None) if self.lacks_replayed_events() => {
                    return StreamProgress::Interrupted(ENDED_TOO_SOON);
                }
                Ok(None) => return StreamProgress::End,
                Ok(Some(Err(_))) => {
                    return StreamProgress::Interrupted(CONNECTION_LOST);
                }
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match stream.reader.push(&bytes) {
                None => return StreamProgress::Interrupted(EVENT_TOO_LARGE),
                Some(events) if !self.hold(stream, &events) => {
                    return StreamProgress::Interrupted(OUT_OF_MEMORY);
                }
                Some(events) if events.is_empty() => {}
                Some(events) => return StreamProgress::Events(events),
            }
        }
    }

    /// Claims the memory of the stream with these new events. Returns false if there is not enough.
    fn hold(&mut self, stream: &EndpointStream, events: &[StreamEvent]) -> bool {
        let of_event = |event: &StreamEvent| {
            event.raw.len() + event.data.as_ref().map_or(0, Vec::len)
        };
        let event_bytes: usize = events.iter().map(of_event).sum();
        let buffer_bytes = stream.reader.buffer_bytes();
        self.memory
            .hold(event_bytes + buffer_bytes + self.output.capacity())
    }

    /// Returns the leading events whose identifiers increase, starting from the last one sent, and
    /// whether these are all events.
    fn events_in_order(&self, events: Vec<StreamEvent>) -> (Vec<StreamEvent>, bool) {
        let mut last = self.last_event_id;
        let total = events.len();
        let valid: Vec<StreamEvent> = events
            .into_iter()
            .take_while(|event| {
                let follows = match (event.id, last) {
                    (Some(id), Some(last)) => id > last,
                    _ => true,
                };
                last = event.id.or(last);
                follows
            })
            .collect();
        let are_all_valid = valid.len() == total;
        (valid, are_all_valid)
    }
}

/// Runs a streamed request. The response to the caller begins once the first events have arrived,
/// or the endpoint's stream has ended; until then an interruption can still become an error status.
pub(crate) async fn run(mut call: StreamCall) -> Result<Response<CallBody>, Refusal> {
    loop {
        let upstream = call.start(true).await?;
        let mut stream = EndpointStream {
            body: upstream.body,
            connection: upstream.connection,
            reader: EventReader::default(),
        };
        if !upstream.status.is_success() {
            return forward_failure(&call, upstream.status, upstream.headers, stream)
                .await;
        }
        let first = call.next(&mut stream).await;
        match first {
            StreamProgress::Interrupted(reason) => {
                let may_resume = call.may_resume_after(&stream, reason);
                stream.close();
                if !may_resume {
                    return Err(final_refusal(&call.admitted, Step::FailUnknown));
                }
                call.wait_for_crash_check().await;
            }
            first => {
                let headers = call.edge.protocol.caller_headers(&upstream.headers);
                let (sender, receiver) = mpsc::channel(MAX_QUEUED_PIECES);
                tokio::task::spawn_local(forward_events(call, stream, first, sender));
                let body = CallBody::streamed(receiver);
                return Ok(body.into_response(upstream.status, headers));
            }
        }
    }
}

/// Passes an endpoint's response with an error status on to the caller.
async fn forward_failure(
    call: &StreamCall,
    status: StatusCode,
    headers: hyper::HeaderMap,
    stream: EndpointStream,
) -> Result<Response<CallBody>, Refusal> {
    let time_left = Duration::from_millis(call.admitted.time_left_ms());
    let body = read_body(&call.edge, stream.body, stream.connection, time_left);
    let Ok(body) = body.await else {
        return Err(final_refusal(&call.admitted, Step::FailUnknown));
    };
    call.edge
        .clear_suspicion(&call.admitted.outgoing.fingerprints);
    let headers = call.edge.protocol.caller_headers(&headers);
    Ok(body.into_response(status, headers))
}

/// Forwards events until the stream is complete, the caller disconnects, or no endpoint continues
/// after an interruption.
async fn forward_events(
    mut call: StreamCall,
    mut stream: EndpointStream,
    first: StreamProgress,
    sender: mpsc::Sender<BodyChunk>,
) {
    let mut next = first;
    loop {
        let interruption = match next {
            StreamProgress::Events(events) => {
                let (events, are_all_valid) = call.events_in_order(events);
                match queue_events(&mut call, events, &sender).await {
                    Queued::All => (!are_all_valid).then_some("events out of order"),
                    Queued::CallerGone => return log_caller_disconnected(&call),
                    Queued::Excess(reason) => return end_excess(&call, &stream, reason),
                }
            }
            StreamProgress::End => {
                stream.connection.release();
                let fingerprints = &call.admitted.outgoing.fingerprints;
                call.edge.clear_suspicion(fingerprints);
                finish(call, &sender).await;
                return;
            }
            StreamProgress::Interrupted(reason) => Some(reason),
        };
        if let Some(reason) = interruption {
            let Some(resumed) = resume(&mut call, stream, reason, &sender).await else {
                call.edge.metrics.stream_interrupted();
                return;
            };
            stream = resumed;
        }
        next = tokio::select! {
            next = call.next(&mut stream) => next,
            () = sender.closed() => return log_caller_disconnected(&call),
        };
    }
}

fn log_caller_disconnected(call: &StreamCall) {
    log::info!(
        "event=caller_gone request={} last_event={} elapsed_ms={}",
        call.admitted.call.request_id,
        OrNone(call.last_event_id),
        now_ms().saturating_sub(call.admitted.arrived_ms),
    );
}

/// Interrupts a stream that is longer than its request allows. Another endpoint must not continue
/// it.
fn end_excess(call: &StreamCall, stream: &EndpointStream, reason: &str) {
    log::warn!(
        "event=stream_cut request={} endpoint={} reason={reason:?} last_event={}",
        call.admitted.call.request_id,
        call.tried.last().map_or("none", String::as_str),
        OrNone(call.last_event_id),
    );
    let key = stream.connection.key();
    call.edge.balancer.borrow_mut().set_aside(now_ms(), key);
    call.edge.metrics.stream_interrupted();
}

/// Result of queueing events for the caller.
enum Queued {
    /// All events are queued.
    All,
    /// The caller has disconnected, or has not read until its deadline.
    CallerGone,
    /// The next event exceeds what the request allows, for this reason.
    Excess(&'static str),
}

/// Queues events for the caller.
async fn queue_events(
    call: &mut StreamCall,
    events: Vec<StreamEvent>,
    sender: &mpsc::Sender<BodyChunk>,
) -> Queued {
    for event in events {
        if let Some(reason) = call.excess(&event) {
            return Queued::Excess(reason);
        }
        let is_replayed = call.is_replayed(&event);
        call.record(&event, is_replayed);
        if !is_replayed && queue_event(call, event.raw, sender).await.is_none() {
            return Queued::CallerGone;
        }
    }
    Queued::All
}

/// Queues an event in pieces. `None` if the caller has disconnected, or has not read until its
/// deadline.
async fn queue_event(
    call: &StreamCall,
    mut event: Bytes,
    sender: &mpsc::Sender<BodyChunk>,
) -> Option<()> {
    while !event.is_empty() {
        let piece = event.split_to(event.len().min(MAX_PIECE_BYTES));
        let time_left = Duration::from_millis(call.admitted.time_left_ms());
        let chunk = BodyChunk::Data {
            _queued: call.memory.queue(piece.len(), time_left).await?,
            content: piece,
        };
        let sending = sender.send_timeout(chunk, time_left);
        sending.await.ok()?;
    }
    Some(())
}

/// Continues at another endpoint after the last event that was queued, once the interrupted stream
/// is closed. `None` if that is not allowed or fails.
async fn resume(
    call: &mut StreamCall,
    interrupted: EndpointStream,
    reason: &'static str,
    sender: &mpsc::Sender<BodyChunk>,
) -> Option<EndpointStream> {
    let may_resume = call.may_resume_after(&interrupted, reason);
    interrupted.close();
    if !may_resume || !call.is_resumable() {
        return None;
    }
    let restart = async {
        call.wait_for_crash_check().await;
        call.start(false).await
    };
    let started = tokio::select! {
        started = restart => started,
        () = sender.closed() => return None,
    };
    match started {
        Ok(upstream) if upstream.status.is_success() => Some(EndpointStream {
            body: upstream.body,
            connection: upstream.connection,
            reader: EventReader::default(),
        }),
        _ => None,
    }
}

/// Completes the stream. If the turn is to be stored, the caller receives the end of the body
/// only after enough members have stored the turn; if that fails, the body is interrupted.
async fn finish(mut call: StreamCall, sender: &mpsc::Sender<BodyChunk>) {
    if let Some(mut record) = call.unfinished_turn.take() {
        // The buffer may be twice as long as its content.
        let output = Vec::from(std::mem::take(&mut call.output));
        record.output = Bytes::from(output.into_boxed_slice());
        let home = call.admitted.home.as_ref();
        let zones = home.map(|home| &home.members);
        let stored = call.edge.members.store_turn_in(zones, &record).await;
        if stored.is_err() {
            log::warn!(
                "event=turn_not_kept request={} group_version={}",
                call.admitted.call.request_id,
                call.edge.members.group().version
            );
            call.edge.metrics.stream_interrupted();
            return;
        }
        // Without memory for it, it is read from the members when it is needed.
        let _ = call.edge.turns.borrow_mut().insert(record);
    }
    call.edge.record_stream_end(&call.admitted);
    // Fails only if the caller has disconnected.
    let _ = sender.send(BodyChunk::End).await;
}
