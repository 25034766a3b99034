//! Streams: events are handed on as they come, and a stream that breaks off goes on at
//! another endpoint where its route allows that.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, StatusCode};
use jayreel_ledger::{Reservation, Settlement, TurnRecord};
use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::edge::body::{CallBody, Piece};
use crate::edge::call::{Admitted, pick_endpoint, refusal_after};
use crate::edge::exchange::{Answered, Lease, send};
use crate::edge::refusal::Refusal;
use crate::edge::{Edge, OrNone};
use crate::events::{EventReader, StreamEvent};
use crate::retry::{Attempt, Outcome, Step};

/// Events that wait for a caller that reads slowly.
const QUEUED_EVENTS: usize = 16;

/// Tokens reserved for a turn. Dropping it tells what was used.
pub(crate) struct BudgetHold {
    edge: Rc<Edge>,
    settlement: Settlement,
}

impl BudgetHold {
    pub(crate) fn new(edge: &Rc<Edge>, reservation: &Reservation) -> BudgetHold {
        BudgetHold {
            edge: Rc::clone(edge),
            settlement: Settlement {
                program: reservation.program.clone(),
                turn: reservation.turn.clone(),
                used_tokens: 0,
            },
        }
    }

    fn charge(&mut self, tokens: u32) {
        self.settlement.used_tokens += tokens;
    }
}

impl Drop for BudgetHold {
    fn drop(&mut self) {
        self.edge.members.settle(&self.settlement);
    }
}

/// A streamed request on its way.
pub(crate) struct StreamCall {
    edge: Rc<Edge>,
    admitted: Admitted,
    hold: Option<BudgetHold>,
    keep: Option<TurnRecord>,
    attempt: Attempt,
    tried: Vec<String>,
    last_event_id: Option<u64>,
    output: BytesMut,
}

/// A run at one endpoint.
struct Run {
    body: Incoming,
    lease: Lease,
    reader: EventReader,
}

/// What a run says next.
enum Next {
    Events(Vec<StreamEvent>),
    End,
    BrokenOff(&'static str),
}

impl StreamCall {
    pub(crate) fn new(
        edge: &Rc<Edge>,
        admitted: Admitted,
        hold: Option<BudgetHold>,
        keep: Option<TurnRecord>,
    ) -> StreamCall {
        StreamCall {
            edge: Rc::clone(edge),
            last_event_id: admitted.call.last_event_id,
            admitted,
            hold,
            keep,
            attempt: Attempt::default(),
            tried: Vec::new(),
            output: BytesMut::new(),
        }
    }

    fn is_resumable(&self) -> bool {
        self.admitted.route.kind.may_run_again()
    }

    /// Sends the request to endpoints until one begins to answer.
    async fn start(&mut self) -> Result<Answered, Refusal> {
        loop {
            let pick =
                pick_endpoint(&self.edge, &self.admitted, &self.attempt, &self.tried)?;
            self.tried.push(pick.id.clone());
            let sent_ms = now_ms();
            let times = self.admitted.send_times(&self.attempt);
            let outgoing = &self.admitted.outgoing;
            let answered =
                send(&self.edge, &pick, outgoing, self.last_event_id, times).await;
            let outcome = match answered {
                Ok(answered) => {
                    let elapsed_ms = now_ms() - sent_ms;
                    self.edge
                        .endpoint_answered(&pick, answered.status, elapsed_ms);
                    self.edge
                        .note_answer(&self.admitted, &pick, answered.status);
                    return Ok(answered);
                }
                Err(outcome) => outcome,
            };
            match self.attempt.next(self.admitted.policy(), outcome) {
                Step::SendAgain => {}
                step => return Err(refusal_after(&self.admitted, step)),
            }
        }
    }

    /// The run broke off. Whether another endpoint may go on.
    fn may_go_on(&mut self, run: &Run, reason: &str) -> bool {
        let key = run.lease.key();
        self.edge.balancer.borrow_mut().fail(now_ms(), key);
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

    /// Records events that are handed to the caller.
    fn record(&mut self, event: &StreamEvent) {
        if let Some(hold) = &mut self.hold {
            hold.charge(self.admitted.event_tokens);
        }
        if let (Some(_), Some(data)) = (&self.keep, &event.data) {
            self.output.extend_from_slice(data);
            self.output.extend_from_slice(b"\n");
        }
        self.last_event_id = event.id.or(self.last_event_id);
    }

    /// The next events of a run.
    async fn next(&self, run: &mut Run) -> Next {
        loop {
            let time_left = Duration::from_millis(self.admitted.time_left_ms());
            let frame = match tokio::time::timeout(time_left, run.body.frame()).await {
                Err(_) => return Next::BrokenOff("timed out"),
                Ok(None) if run.reader.is_at_boundary() => return Next::End,
                Ok(None) => return Next::BrokenOff("ended within an event"),
                Ok(Some(Err(_))) => return Next::BrokenOff("connection broke"),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            match run.reader.push(&bytes) {
                None => return Next::BrokenOff("event too large"),
                Some(events) if events.is_empty() => {}
                Some(events) => return Next::Events(events),
            }
        }
    }

    /// The events that follow the last one, up to one that is out of order.
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
        let is_whole = valid.len() == total;
        (valid, is_whole)
    }
}

/// Runs a stream. The answer begins with the first event.
pub(crate) async fn run(mut call: StreamCall) -> Result<Response<CallBody>, Refusal> {
    loop {
        let answered = call.start().await?;
        let mut run = Run {
            body: answered.body,
            lease: answered.lease,
            reader: EventReader::default(),
        };
        if !answered.status.is_success() {
            return pass_on(&call, answered.status, answered.headers, run).await;
        }
        let first = call.next(&mut run).await;
        match first {
            Next::BrokenOff(reason) => {
                if !call.may_go_on(&run, reason) {
                    return Err(refusal_after(&call.admitted, Step::FailUnknown));
                }
            }
            first => {
                let mut headers = call.edge.protocol.caller_headers(&answered.headers);
                headers.remove(CONTENT_LENGTH);
                let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
                tokio::task::spawn_local(pump(call, run, first, sender));
                let mut response = Response::new(CallBody::Streamed(receiver));
                *response.status_mut() = answered.status;
                *response.headers_mut() = headers;
                return Ok(response);
            }
        }
    }
}

/// Hands an endpoint's failure to the caller.
async fn pass_on(
    call: &StreamCall,
    status: StatusCode,
    headers: hyper::HeaderMap,
    run: Run,
) -> Result<Response<CallBody>, Refusal> {
    let time_left = Duration::from_millis(call.admitted.time_left_ms());
    let collected = tokio::time::timeout(time_left, run.body.collect()).await;
    let Ok(Ok(collected)) = collected else {
        return Err(refusal_after(&call.admitted, Step::FailUnknown));
    };
    run.lease.finish();
    let mut response = Response::new(CallBody::Whole(Some(collected.to_bytes())));
    *response.status_mut() = status;
    *response.headers_mut() = call.edge.protocol.caller_headers(&headers);
    Ok(response)
}

/// Hands events on until the stream ends, the caller leaves or no endpoint goes on.
async fn pump(
    mut call: StreamCall,
    mut run: Run,
    first: Next,
    sender: mpsc::Sender<Piece>,
) {
    let mut next = first;
    loop {
        let broken = match next {
            Next::Events(events) => {
                let (events, is_whole) = call.events_in_order(events);
                if !forward(&mut call, events, &sender).await {
                    return note_gone(&call);
                }
                (!is_whole).then_some("events out of order")
            }
            Next::End => {
                run.lease.finish();
                finish(call, &sender).await;
                return;
            }
            Next::BrokenOff(reason) => Some(reason),
        };
        if let Some(reason) = broken {
            let Some(resumed) = resume(&mut call, &run, reason, &sender).await else {
                call.edge.metrics.broken_off();
                return;
            };
            run = resumed;
        }
        next = tokio::select! {
            next = call.next(&mut run) => next,
            () = sender.closed() => return note_gone(&call),
        };
    }
}

fn note_gone(call: &StreamCall) {
    log::info!(
        "event=caller_gone request={} last_event={} elapsed_ms={}",
        call.admitted.call.request_id,
        OrNone(call.last_event_id),
        now_ms().saturating_sub(call.admitted.arrived_ms),
    );
}

/// Queues events for the caller. False if the caller has left, or has not read for the rest
/// of its time.
async fn forward(
    call: &mut StreamCall,
    events: Vec<StreamEvent>,
    sender: &mpsc::Sender<Piece>,
) -> bool {
    for event in events {
        call.record(&event);
        let time_left = Duration::from_millis(call.admitted.time_left_ms());
        let sending = sender.send_timeout(Piece::Content(event.raw), time_left);
        if sending.await.is_err() {
            return false;
        }
    }
    true
}

/// Goes on at another endpoint after the last event that was handed on.
async fn resume(
    call: &mut StreamCall,
    broken: &Run,
    reason: &'static str,
    sender: &mpsc::Sender<Piece>,
) -> Option<Run> {
    if !call.may_go_on(broken, reason) || !call.is_resumable() {
        return None;
    }
    let started = tokio::select! {
        started = call.start() => started,
        () = sender.closed() => return None,
    };
    match started {
        Ok(answered) if answered.status.is_success() => Some(Run {
            body: answered.body,
            lease: answered.lease,
            reader: EventReader::default(),
        }),
        _ => None,
    }
}

/// The stream is complete. A turn that is kept counts only once it is safe, so its end is
/// told after that.
async fn finish(mut call: StreamCall, sender: &mpsc::Sender<Piece>) {
    if let Some(mut record) = call.keep.take() {
        record.output = Bytes::from(std::mem::take(&mut call.output));
        if call.edge.members.keep_turn(&record).await.is_err() {
            log::warn!(
                "event=turn_not_kept request={} group_version={}",
                call.admitted.call.request_id,
                call.edge.members.group().version
            );
            call.edge.metrics.broken_off();
            return;
        }
        call.edge.turns.borrow_mut().insert(record);
    }
    call.edge.note_complete(&call.admitted);
    // If the caller has left, nobody needs the end.
    let _ = sender.send(Piece::End).await;
}
