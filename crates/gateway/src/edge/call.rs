//! The way of one request: who asks, whether it may run, where it runs, what follows.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use jayreel_ledger::{Decision, ProgramKey, Reservation, TurnRecord};

use crate::balance::Pick;
use crate::clock::now_ms;
use crate::config::{CallKind, Route};
use crate::edge::admission::{
    check_endpoints, check_group, choose_service, find_customer, find_route, quota_want,
    read_body,
};
use crate::edge::body::CallBody;
use crate::edge::exchange::{Answered, Outgoing, SendTimes, send};
use crate::edge::members::ChainLookup;
use crate::edge::refusal::{Ran, Refusal};
use crate::edge::stream::{self, BudgetHold, StreamCall};
use crate::edge::turn_cache::prompt;
use crate::edge::{CallSummary, Edge, Unanswered};
use crate::protocol::CallHead;
use crate::quota_buffer::BufferedToken;
use crate::retry::{Attempt, Outcome, RetryPolicy, Step};
use crate::urgency::engine_priority;

/// With less time than this, in milliseconds, a request is not sent: an idle endpoint needs
/// about as long for the shortest requests.
const LEAST_TIME_MS: u64 = 10;

/// Retry-After while the group has no quorum, in milliseconds: its members are asked again
/// that soon after a failure.
const NO_QUORUM_RETRY_MS: u64 = 300;

/// Retry-After while no endpoint has room, in milliseconds: about the length of a request.
pub(crate) const NO_ROOM_RETRY_MS: u64 = 250;

/// Retry-After while no endpoint can be reached, in milliseconds: the first pause of one that
/// failed.
pub(crate) const NO_ENDPOINT_RETRY_MS: u64 = 250;

/// Turns and the records of their programs are kept for longer than operators ask, in
/// milliseconds, since clocks differ and a turn may be used while it runs out.
const RETENTION_MARGIN_MS: u64 = 60_000;

/// Turns that are asked for first. A conversation whose callers come through two zones in turn
/// misses one or two here, and holds the older ones.
const FIRST_TURNS: u32 = 2;

/// Turns that are asked for once more are missing: more than most conversations have.
const MOST_TURNS: u32 = 256;

/// Size of an answer of a plain service that is held to be handed over whole, in bytes.
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// Part of the connections that an endpoint accepts from all callers that one instance keeps
/// idle, and the least number: instances do not know how many they are.
const IDLE_PART: usize = 32;
const LEAST_IDLE: usize = 2;

/// A request that may run, with all that its sends need.
pub(crate) struct Admitted {
    pub route: Route,
    pub service: String,
    pub call: CallHead,
    pub outgoing: Outgoing,
    pub arrived_ms: u64,
    /// Time from the arrival within which it must be answered, in milliseconds.
    pub limit_ms: u64,
    /// The token of its customer's rate, if it was held here.
    pub token: Option<BufferedToken>,
    pub event_tokens: u32,
    /// The endpoint that it was sent to last, for the log.
    pub endpoint: Rc<RefCell<Option<String>>>,
}

impl Admitted {
    pub(crate) fn time_left_ms(&self) -> u64 {
        let elapsed_ms = now_ms().saturating_sub(self.arrived_ms);
        self.limit_ms.saturating_sub(elapsed_ms)
    }

    pub(crate) fn send_times(&self, attempt: &Attempt) -> SendTimes {
        let left_ms = self.time_left_ms();
        let target_ms = self.route.target_ms;
        SendTimes {
            left_ms,
            response_timeout_ms: attempt.response_timeout_ms(
                self.policy(),
                target_ms,
                left_ms,
            ),
        }
    }

    pub(crate) fn policy(&self) -> RetryPolicy {
        RetryPolicy {
            kind: self.route.kind,
            max_attempts: self.route.max_attempts,
        }
    }

    pub(crate) fn program(&self) -> Option<&str> {
        self.call
            .program
            .as_ref()
            .map(|program| program.id.as_str())
    }
}

/// Answers one request.
pub(crate) async fn serve(
    edge: Rc<Edge>,
    request: Request<Incoming>,
) -> Response<CallBody> {
    let arrived_ms = now_ms();
    let (parts, body) = request.into_parts();
    let call = match edge.protocol.decode_call(&parts) {
        Ok(call) => call,
        Err(error) => {
            log::info!("event=call_unreadable reason={error:?}");
            edge.metrics.refused("unreadable");
            return Refusal::denied(StatusCode::BAD_REQUEST, "unreadable").response();
        }
    };
    let endpoint = Rc::default();
    let unanswered = Unanswered {
        about: CallSummary::new(&edge, &call, arrived_ms),
        endpoint: Rc::clone(&endpoint),
        is_answered: false,
    };
    let answer = admit_and_run(&edge, call, &parts, body, arrived_ms, endpoint).await;
    let response = answer.unwrap_or_else(|refusal| {
        edge.note_refusal(&unanswered.about, &refusal);
        refusal.response()
    });
    unanswered.close();
    response
}

async fn admit_and_run(
    edge: &Rc<Edge>,
    call: CallHead,
    parts: &Parts,
    body: Incoming,
    arrived_ms: u64,
    endpoint: Rc<RefCell<Option<String>>>,
) -> Result<Response<CallBody>, Refusal> {
    let mut admitted = admit(edge, call, parts, body, arrived_ms).await?;
    admitted.endpoint = endpoint;
    match admitted.route.kind {
        CallKind::Stream { .. } => run_stream(edge, admitted).await,
        CallKind::Idempotent | CallKind::Once => run_plain(edge, &admitted).await,
    }
}

/// Checks whether a request may run. What is known at once is checked before its body is
/// read, and its customer's rate last.
async fn admit(
    edge: &Rc<Edge>,
    call: CallHead,
    parts: &Parts,
    body: Incoming,
    arrived_ms: u64,
) -> Result<Admitted, Refusal> {
    let configuration = edge.configuration();
    let route = find_route(edge, &configuration, &call, parts)?.clone();
    let customer = find_customer(edge, &configuration, &route, &call, arrived_ms)?;
    let limit_ms = call.deadline_ms.unwrap_or(u64::MAX).min(route.timeout_ms);
    let service = choose_service(&route);
    check_endpoints(edge, &service)?;
    check_group(edge, &route, &call, customer.is_some())?;
    let body = read_body(&configuration, body, limit_ms).await?;
    let token = match &customer {
        Some((name, customer)) => {
            let want = quota_want(edge, &route, &call, name, customer);
            edge.take_quota(want, configuration.version).await?
        }
        None => None,
    };
    let settings = configuration.services.get(&service);
    let engine = settings.and_then(|service| service.engine);
    let most_connections = settings.map_or(0, |service| service.max_connections);
    let priority = customer
        .as_ref()
        .and_then(|(_, customer)| customer.priority);
    let rank = priority.unwrap_or(route.priority);
    Ok(Admitted {
        service,
        outgoing: Outgoing {
            method: parts.method.clone(),
            uri: origin_form(parts),
            headers: parts.headers.clone(),
            body,
            request_id: call.request_id.clone(),
            customer: customer.map(|(name, _)| name),
            priority: engine.map(|_| engine_priority(rank, time_left_ms(&call))),
            most_idle: most_connections / IDLE_PART + LEAST_IDLE,
        },
        route,
        call,
        arrived_ms,
        limit_ms,
        token,
        event_tokens: engine.map_or(1, |engine| engine.event_tokens),
        endpoint: Rc::default(),
    })
}

/// Time that the program of a request has left, in milliseconds.
fn time_left_ms(call: &CallHead) -> Option<u64> {
    call.program.as_ref()?.time_left_ms
}

/// The target of the request as an endpoint gets it: path and query as the caller sent them.
fn origin_form(parts: &Parts) -> hyper::Uri {
    let target = parts.uri.path_and_query().cloned();
    target.map_or_else(|| parts.uri.clone(), hyper::Uri::from)
}

/// Runs a request of a plain service. The answer is handed over whole.
async fn run_plain(
    edge: &Rc<Edge>,
    admitted: &Admitted,
) -> Result<Response<CallBody>, Refusal> {
    let mut attempt = Attempt::default();
    let mut tried = Vec::new();
    loop {
        let pick = pick_endpoint(edge, admitted, &attempt, &tried)?;
        tried.push(pick.id.clone());
        let times = admitted.send_times(&attempt);
        let sent_ms = now_ms();
        let answered = send(edge, &pick, &admitted.outgoing, None, times).await;
        let outcome = match answered {
            Ok(answered) => match collect(edge, admitted, answered).await {
                Some(answer) => {
                    let is_failure = answer.status().is_server_error();
                    edge.endpoint_answered(&pick, answer.status(), now_ms() - sent_ms);
                    if !is_failure || !may_try_another(admitted, attempt) {
                        edge.note_answer(admitted, &pick, answer.status());
                        return Ok(answer);
                    }
                    Outcome::Failed
                }
                None => {
                    let outgoing = &admitted.outgoing;
                    edge.endpoint_failed(&pick, outgoing, Outcome::Unknown, "broken off")
                }
            },
            Err(outcome) => outcome,
        };
        match attempt.next(admitted.policy(), outcome) {
            Step::SendAgain => {}
            step => return Err(refusal_after(admitted, step)),
        }
    }
}

/// Whether an endpoint's own failure is worth another send.
fn may_try_another(admitted: &Admitted, mut attempt: Attempt) -> bool {
    attempt.next(admitted.policy(), Outcome::Failed) == Step::SendAgain
        && admitted.time_left_ms() > 2 * LEAST_TIME_MS
}

/// The whole answer, or none if it broke off.
async fn collect(
    edge: &Edge,
    admitted: &Admitted,
    answered: Answered,
) -> Option<Response<CallBody>> {
    let time_left = Duration::from_millis(admitted.time_left_ms());
    let limited = Limited::new(answered.body, MOST_ANSWER_BYTES);
    let collected = tokio::time::timeout(time_left, limited.collect()).await;
    let content = collected.ok()?.ok()?.to_bytes();
    let headers = edge.protocol.caller_headers(&answered.headers);
    answered.lease.finish();
    let mut response = Response::new(CallBody::Whole(Some(content)));
    *response.status_mut() = answered.status;
    *response.headers_mut() = headers;
    Some(response)
}

/// Picks an endpoint, or says why the request is over.
pub(crate) fn pick_endpoint(
    edge: &Edge,
    admitted: &Admitted,
    attempt: &Attempt,
    tried: &[String],
) -> Result<Pick, Refusal> {
    if admitted.time_left_ms() < LEAST_TIME_MS {
        return Err(match attempt.may_have_run {
            true => Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out"),
            false => Refusal::not_now("timed_out", NO_ROOM_RETRY_MS),
        });
    }
    let program = admitted.program().unwrap_or_default();
    let affinity = edge.affinity.borrow().get(program).cloned();
    let balancer = edge.balancer.borrow();
    let pick = balancer.pick(now_ms(), &admitted.service, affinity.as_deref(), tried);
    *admitted.endpoint.borrow_mut() = pick.as_ref().map(|pick| pick.id.clone());
    pick.ok_or_else(|| match attempt.may_have_run {
        true => Refusal::unknown(StatusCode::BAD_GATEWAY, "no_other_endpoint"),
        false => Refusal::not_now("no_endpoint", NO_ENDPOINT_RETRY_MS),
    })
}

/// The answer to the caller once no endpoint is tried any more.
pub(crate) fn refusal_after(admitted: &Admitted, step: Step) -> Refusal {
    match step {
        Step::RefuseNotRun => Refusal::not_now("no_room", NO_ROOM_RETRY_MS),
        _ if admitted.time_left_ms() < LEAST_TIME_MS => {
            Refusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out")
        }
        _ => Refusal::unknown(StatusCode::BAD_GATEWAY, "endpoint_failed"),
    }
}

/// Runs a streamed request: a turn of a program, or a stream of its own.
async fn run_stream(
    edge: &Rc<Edge>,
    mut admitted: Admitted,
) -> Result<Response<CallBody>, Refusal> {
    let input = admitted.outgoing.body.clone();
    let (chain, hold) =
        tokio::join!(assemble(edge, &admitted), reserve(edge, &admitted),);
    let prepared = hold.and_then(|hold| Ok((hold, chain?)));
    let (hold, prompt) = prepared.inspect_err(|_| {
        let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
        edge.return_token(customer, admitted.token);
    })?;
    admitted.outgoing.body = prompt;
    let keep = admitted.route.keeps_turns.then(|| TurnRecord {
        turn: admitted.call.request_id.clone(),
        customer: admitted.outgoing.customer.clone().unwrap_or_default(),
        previous: admitted.call.previous_turn.clone(),
        input,
        output: Bytes::new(),
        keep_ms: 2 * admitted.route.retention_ms + RETENTION_MARGIN_MS,
    });
    stream::run(StreamCall::new(edge, admitted, hold, keep)).await
}

/// The whole prompt of a turn.
async fn assemble(edge: &Rc<Edge>, admitted: &Admitted) -> Result<Bytes, Refusal> {
    let input = &admitted.outgoing.body;
    if !admitted.route.keeps_turns {
        return Ok(input.clone());
    }
    let mut chain = Vec::new();
    let mut next = admitted.call.previous_turn.clone();
    while let Some(turn) = next.take() {
        let cached = edge.turns.borrow().get(&turn);
        let record = match cached {
            Some(record) => record,
            None => fetch_chain(edge, &turn, chain.is_empty()).await?,
        };
        if record.customer != admitted.outgoing.customer.as_deref().unwrap_or_default() {
            return Err(Refusal::denied(StatusCode::NOT_FOUND, "no_turn"));
        }
        next.clone_from(&record.previous);
        chain.push(record);
    }
    Ok(prompt(&chain, input))
}

/// Reads a turn and those before it into the cache.
async fn fetch_chain(
    edge: &Rc<Edge>,
    turn: &str,
    is_newest: bool,
) -> Result<Rc<TurnRecord>, Refusal> {
    let no_quorum = Refusal::not_now("turns_unreachable", NO_QUORUM_RETRY_MS);
    let max_chain_turns = if is_newest { FIRST_TURNS } else { MOST_TURNS };
    match edge.members.chain(turn, max_chain_turns).await {
        Ok(ChainLookup::Turns(turns)) => {
            let newest = turns.first().cloned().map(Rc::new);
            let mut cache = edge.turns.borrow_mut();
            turns.into_iter().for_each(|record| cache.insert(record));
            newest.ok_or(no_quorum)
        }
        Ok(ChainLookup::Missing) if is_newest => {
            Err(Refusal::denied(StatusCode::NOT_FOUND, "no_turn"))
        }
        Ok(ChainLookup::Missing) | Err(_) => Err(no_quorum),
    }
}

/// Reserves the turn's tokens in the budget of its program.
async fn reserve(
    edge: &Rc<Edge>,
    admitted: &Admitted,
) -> Result<Option<BudgetHold>, Refusal> {
    let program = admitted.call.program.as_ref();
    let budget = program.and_then(|program| Some((program, program.budget_tokens?)));
    let Some((program, budget_tokens)) = budget else {
        return Ok(None);
    };
    let customer = admitted.outgoing.customer.as_deref().unwrap_or_default();
    let reservation = Reservation {
        program: ProgramKey::new(customer, &program.id),
        turn: admitted.call.request_id.clone(),
        max_turn_tokens: admitted.call.reserved_tokens(),
    };
    let hold = BudgetHold::new(edge, &reservation);
    match edge.members.reserve(&reservation, budget_tokens).await {
        Ok(Decision::Admit) => Ok(Some(hold)),
        Ok(Decision::Exhausted) => Err(Refusal::denied(
            StatusCode::PAYMENT_REQUIRED,
            "budget_exhausted",
        )),
        Ok(Decision::Reread) | Err(_) => {
            Err(Refusal::not_now("budget_unreachable", NO_QUORUM_RETRY_MS))
        }
    }
}

impl Refusal {
    /// Whether the caller may count on the request not having run.
    pub(crate) fn is_promise(&self) -> bool {
        self.ran == Ran::No
    }
}
