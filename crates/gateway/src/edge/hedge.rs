//! Sends a slow request a second time, to another endpoint, and takes the first good response.
//!
//! Both sends are futures of the task that handles the request. Dropping one closes its connection,
//! which happens to the loser as soon as the other one has a good response, and to both if the
//! caller has disconnected.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;

use futures::future::{Either, select};
use hyper::{Response, StatusCode};
use jayreel_hedging::{
    EndpointState, HedgeBudget, HedgingSettings, RouteDelays, Withheld, choose_endpoint,
};

use crate::balance::Pick;
use crate::clock::{now_ms, pause};
use crate::edge::Edge;
use crate::edge::body::CallBody;
use crate::edge::call::AdmittedCall;
use crate::edge::exchange::{EndpointResponse, SendTimeouts};
use crate::log_queue::LineBudget;
use crate::quota_buffer::BufferedToken;
use crate::retry::{Attempt, Outcome};

/// What an entry instance knows and has decided about hedged requests.
pub(crate) struct Hedger {
    settings: HedgingSettings,
    budget: HedgeBudget,
    delays: RouteDelays,
    /// Limits the log lines of hedged requests. Those beyond it are only counted.
    log_budget: LineBudget,
}

impl Hedger {
    pub(crate) fn new(settings: HedgingSettings) -> Hedger {
        Hedger {
            settings,
            budget: HedgeBudget::new(settings),
            delays: RouteDelays::default(),
            log_budget: LineBudget::default(),
        }
    }

    /// Number of log lines omitted since the last call.
    pub(crate) fn take_omitted_lines(&mut self) -> u64 {
        self.log_budget.take_omitted()
    }
}

/// One send in progress, as the hedging decision sees it.
pub(crate) struct SendProgress {
    began_ms: u64,
    /// Time from the start to the head of the response, in milliseconds. `None` before that.
    first_byte_ms: Cell<Option<u64>>,
}

impl SendProgress {
    fn begin() -> SendProgress {
        SendProgress {
            began_ms: now_ms(),
            first_byte_ms: Cell::default(),
        }
    }

    /// Called when the head of a usable response has arrived.
    pub(crate) fn record_head(&self) {
        self.first_byte_ms.set(Some(self.elapsed_ms()));
    }

    fn elapsed_ms(&self) -> u64 {
        now_ms() - self.began_ms
    }
}

/// A response that may be passed to the caller.
pub(crate) struct Answered<T> {
    pub pick: Pick,
    pub response: T,
    /// Time from the send to the response, in milliseconds.
    pub elapsed_ms: u64,
}

/// The response to one send, which may be good or report a failure of the endpoint.
pub(crate) trait SendResponse {
    fn status(&self) -> StatusCode;
}

impl SendResponse for EndpointResponse {
    fn status(&self) -> StatusCode {
        self.status
    }
}

impl SendResponse for Response<CallBody> {
    fn status(&self) -> StatusCode {
        Response::status(self)
    }
}

/// One send of a request that may be hedged.
pub(crate) struct HedgedSend<'a> {
    pub edge: &'a Rc<Edge>,
    pub admitted: &'a AdmittedCall,
    /// Sends before this one. A send that fails while the other goes on is added.
    pub attempt: &'a mut Attempt,
    /// Endpoints to which the request was sent, the one of this send last. That of the hedged
    /// request is added, and the endpoint whose outcome is returned is moved to the end.
    pub tried: &'a mut Vec<String>,
    /// Whether a second send is possible, as no part of a response has been passed on.
    pub may_hedge: bool,
}

/// One send with its endpoint.
#[derive(Clone, Copy)]
struct Side<'a> {
    pick: &'a Pick,
    progress: &'a SendProgress,
}

impl Side<'_> {
    fn finish<T>(
        self,
        result: Result<T, Outcome>,
    ) -> Result<Answered<T>, (Pick, Outcome)> {
        match result {
            Ok(response) => Ok(Answered {
                pick: self.pick.clone(),
                response,
                elapsed_ms: self.progress.elapsed_ms(),
            }),
            Err(outcome) => Err((self.pick.clone(), outcome)),
        }
    }
}

/// A hedged request that has been sent. Counts it as wasted when dropped, unless it has won.
struct SentHedge<'a> {
    edge: &'a Edge,
    has_won: bool,
}

impl Drop for SentHedge<'_> {
    fn drop(&mut self) {
        let outcome = if self.has_won { "won" } else { "wasted" };
        self.edge.metrics.hedge(outcome);
    }
}

/// Whether a response ends the race. A failure of the endpoint does not, as the other send may
/// still have a good response.
fn is_good<T: SendResponse>(result: &Result<T, Outcome>) -> bool {
    matches!(result, Ok(response) if !response.status().is_server_error())
}

impl<'a> HedgedSend<'a> {
    /// Sends the request to the endpoint `first`, and to another one if no head of a response has
    /// arrived after the delay of its route.
    ///
    /// `send` makes one send. It reports a failure to the balancer, and records in the progress
    /// when the head of a response has arrived.
    ///
    /// # Errors
    ///
    /// The outcome of the send that failed last, with its endpoint, if none has a response.
    pub(crate) async fn run<T: SendResponse>(
        mut self,
        first: Pick,
        send: impl AsyncFn(&Pick, SendTimeouts, &SendProgress) -> Result<T, Outcome>,
    ) -> Result<Answered<T>, (Pick, Outcome)> {
        let delay_ms = self.begin();
        let progress = SendProgress::begin();
        let first_side = Side {
            pick: &first,
            progress: &progress,
        };
        let timeouts = self.admitted.send_timeouts(self.attempt);
        let mut first_send = pin!(send(&first, timeouts, &progress));
        let result = match delay_ms {
            None => Some(first_send.as_mut().await),
            Some(delay_ms) => tokio::select! {
                biased;
                result = first_send.as_mut() => Some(result),
                () = pause(delay_ms) => None,
            },
        };
        if let Some(result) = result {
            self.record_first_byte(&progress);
            return first_side.finish(result);
        }
        let hedge = match progress.first_byte_ms.get() {
            None => self.choose_hedge(delay_ms),
            Some(_) => None,
        };
        let Some((second, token)) = hedge else {
            let result = first_send.await;
            self.record_first_byte(&progress);
            return first_side.finish(result);
        };
        let mut sent = self.record_sent(first_side, &second);
        // The first send counts as one before it has ended.
        let attempt = Attempt {
            sent: self.attempt.sent + 1,
            ..*self.attempt
        };
        let timeouts = self.admitted.send_timeouts(&attempt);
        let second_progress = SendProgress::begin();
        let second_side = Side {
            pick: &second,
            progress: &second_progress,
        };
        // In a box, so that requests that are not hedged need no memory for it.
        let second_send = Box::pin(send(&second, timeouts, &second_progress));
        // A send that is not awaited further is dropped on return, and nothing else is awaited
        // before that.
        let (is_second, result) = match select(first_send, second_send).await {
            Either::Left((result, _)) if is_good(&result) => {
                self.record_cancelled(second_side);
                (false, result)
            }
            Either::Right((result, _)) if is_good(&result) => {
                self.record_cancelled(first_side);
                self.record_time(progress.elapsed_ms());
                (true, result)
            }
            Either::Left((first_result, second_send)) => {
                let second_result = second_send.await;
                self.refund_unless_run(&second_result, token);
                match second_result.is_err() && first_result.is_ok() {
                    true => (false, self.keep(second_side, second_result, first_result)),
                    false => (true, self.keep(first_side, first_result, second_result)),
                }
            }
            Either::Right((second_result, first_send)) => {
                self.refund_unless_run(&second_result, token);
                let first_result = first_send.await;
                match first_result.is_err() && second_result.is_ok() {
                    true => (true, self.keep(first_side, first_result, second_result)),
                    false => (false, self.keep(second_side, second_result, first_result)),
                }
            }
        };
        self.record_first_byte(&progress);
        let side = if is_second { second_side } else { first_side };
        if is_second && result.is_ok() {
            sent.has_won = true;
            self.log_won(side);
        }
        if result.is_err() && self.attempt.sent + 1 < self.admitted.policy().max_attempts
        {
            let lost = if is_second { first_side } else { second_side };
            let fingerprints = &self.admitted.outgoing.fingerprints;
            let checked = self.edge.wait_for_crash_check(lost.pick.key, fingerprints);
            checked.await;
        }
        self.tried.retain(|id| *id != side.pick.id);
        self.tried.push(side.pick.id.clone());
        side.finish(result)
    }

    /// Records the result of the send that lost, and returns that of the other one.
    fn keep<T: SendResponse>(
        &mut self,
        lost: Side<'_>,
        lost_result: Result<T, Outcome>,
        kept_result: Result<T, Outcome>,
    ) -> Result<T, Outcome> {
        let outcome = match lost_result {
            Err(outcome) => outcome,
            Ok(response) => {
                let elapsed_ms = lost.progress.elapsed_ms();
                self.edge.record_endpoint_response(
                    lost.pick,
                    response.status(),
                    elapsed_ms,
                );
                Outcome::Failed
            }
        };
        self.attempt.next(self.admitted.policy(), outcome);
        kept_result
    }

    /// Records that a send is cancelled since the other one has a good response. It is no failure
    /// of the endpoint, but counts as an attempt.
    fn record_cancelled(&mut self, side: Side<'_>) {
        let elapsed_ms = side.progress.elapsed_ms();
        let mut balancer = self.edge.balancer.borrow_mut();
        balancer.record_cancelled(now_ms(), side.pick.key, elapsed_ms);
        self.attempt.next(self.admitted.policy(), Outcome::Unknown);
    }

    /// Returns the token of a hedged request that has not run.
    fn refund_unless_run<T>(
        &self,
        result: &Result<T, Outcome>,
        token: Option<BufferedToken>,
    ) {
        use Outcome::{Misdirected, NotSent, Rejected};
        if let (Some(customer), Err(NotSent | Misdirected | Rejected), Some(_)) =
            (&self.admitted.outgoing.customer, result, token)
        {
            self.edge.return_token(customer, token);
        }
    }

    /// Counts the send, and returns the delay after which it may be hedged, in milliseconds. `None`
    /// if it may not be.
    fn begin(&self) -> Option<u64> {
        let mut hedger = self.edge.hedger.borrow_mut();
        if !hedger.settings.is_enabled() {
            return None;
        }
        hedger.budget.record_send();
        let may_repeat = self.admitted.route.kind.may_run_again();
        match self.may_hedge && may_repeat {
            true => hedger.delays.delay_ms(now_ms(), &self.admitted.route.name),
            false => None,
        }
    }

    /// Chooses the endpoint of a hedged request, and takes the tokens that it needs: one of the
    /// budget, and one of the customer's rate limit if there is such a limit.
    fn choose_hedge(
        &self,
        delay_ms: Option<u64>,
    ) -> Option<(Pick, Option<BufferedToken>)> {
        let chosen = self.check_request(delay_ms).and_then(|()| {
            let pick = self.choose_endpoint()?;
            if !self.edge.hedger.borrow().budget.has_token() {
                return Err(Withheld::Budget);
            }
            let token = self.take_quota()?;
            self.edge.hedger.borrow_mut().budget.take();
            Ok((pick, token))
        });
        chosen
            .inspect_err(|reason| self.edge.metrics.hedge_withheld(reason.label()))
            .ok()
    }

    /// Whether the request may be sent a second time now, to any endpoint.
    fn check_request(&self, delay_ms: Option<u64>) -> Result<(), Withheld> {
        let (edge, admitted) = (self.edge, self.admitted);
        let sends = self.attempt.sent + 1;
        let fingerprints = &admitted.outgoing.fingerprints;
        match delay_ms {
            _ if sends >= admitted.policy().max_attempts => Err(Withheld::Attempts),
            _ if edge.is_stopping() => Err(Withheld::Stopping),
            _ if edge.suspects.borrow().is_suspect(fingerprints) => {
                Err(Withheld::Suspect)
            }
            Some(delay_ms) if admitted.time_left_ms() >= delay_ms => Ok(()),
            _ => Err(Withheld::Deadline),
        }
    }

    fn choose_endpoint(&self) -> Result<Pick, Withheld> {
        let balancer = self.edge.balancer.borrow();
        let target = self.admitted.target();
        let candidates = balancer.hedge_candidates(now_ms(), target, self.tried);
        let (picks, states): (Vec<Pick>, Vec<EndpointState<'_>>) =
            candidates.into_iter().unzip();
        let index = choose_endpoint(&states)?;
        picks.get(index).cloned().ok_or(Withheld::NoEndpoint)
    }

    /// Takes a token of the customer's rate limit from the buffer. `None` if it has no limit.
    fn take_quota(&self) -> Result<Option<BufferedToken>, Withheld> {
        let edge = self.edge;
        let configuration = edge.configuration();
        let Some(customer) = self.admitted.outgoing.customer.as_deref() else {
            return Ok(None);
        };
        let settings = configuration.customers.get(customer);
        if settings.is_none_or(|settings| settings.limit.rate_per_s <= 0.0) {
            return Ok(None);
        }
        let token = edge.quota.borrow_mut().take(now_ms(), customer);
        if token.is_none() {
            // A hedged request that is not sent is no demand.
            edge.return_token(customer, None);
        }
        token.map(Some).ok_or(Withheld::Quota)
    }

    /// Records the time to the first byte of the first send, if the head of a response has arrived.
    /// Hedged requests are left out: they go to the best endpoints only.
    fn record_first_byte(&self, progress: &SendProgress) {
        if let Some(first_byte_ms) = progress.first_byte_ms.get() {
            self.record_time(first_byte_ms);
        }
    }

    fn record_time(&self, first_byte_ms: u64) {
        let mut hedger = self.edge.hedger.borrow_mut();
        if hedger.settings.is_enabled() {
            let route = &self.admitted.route.name;
            hedger.delays.record(now_ms(), route, first_byte_ms);
        }
    }

    /// Records that a hedged request is about to be sent.
    fn record_sent(&mut self, first: Side<'_>, second: &Pick) -> SentHedge<'a> {
        let edge = self.edge;
        edge.metrics.hedge("sent");
        if edge.hedger.borrow_mut().log_budget.take(now_ms()) {
            log::info!(
                "event=hedge_sent request={} route={} endpoint={} first_endpoint={} \
                 elapsed_ms={}",
                self.admitted.call.request_id,
                self.admitted.route.name,
                second.id,
                first.pick.id,
                first.progress.elapsed_ms(),
            );
        }
        self.tried.push(second.id.clone());
        *self.admitted.endpoint.borrow_mut() = Some(second.id.clone());
        SentHedge {
            edge,
            has_won: false,
        }
    }

    fn log_won(&self, second: Side<'_>) {
        if self.edge.hedger.borrow_mut().log_budget.take(now_ms()) {
            log::info!(
                "event=hedge_won request={} route={} endpoint={} elapsed_ms={}",
                self.admitted.call.request_id,
                self.admitted.route.name,
                second.pick.id,
                second.progress.elapsed_ms(),
            );
        }
    }
}
