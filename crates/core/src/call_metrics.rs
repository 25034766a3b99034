//! Records metrics of calls from the events that the runner reports.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use jayreel_model::{ClassOfService, Configuration, KeyHash, Refusal, RequestId};
use jayreel_scheduler::effect::Dispatch;
use jayreel_server::metrics::Metrics;

use crate::clock::Clock;
use crate::shell::CallTable;

/// A call that has been dispatched to an endpoint and has not ended.
struct RunningCall {
    customer: String,
    class: ClassOfService,
    arrived_at_ms: u64,
    first_token_seen: bool,
}

#[derive(Default)]
struct State {
    configuration: Option<Arc<Configuration>>,
    running: HashMap<RequestId, RunningCall>,
}

/// Records waiting times, times to the first token, durations of calls and programs, and
/// refusals, by customer and class of service.
pub(crate) struct CallMetrics {
    clock: Clock,
    metrics: Metrics,
    state: Mutex<State>,
}

impl CallMetrics {
    /// Creates a recorder that writes to `metrics`.
    pub(crate) fn new(clock: Clock, metrics: Metrics) -> CallMetrics {
        CallMetrics {
            clock,
            metrics,
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the known customers and the customer of each key.
    pub(crate) fn set_configuration(&self, configuration: &Arc<Configuration>) {
        self.metrics
            .set_customers(configuration.customers.keys().map(String::as_str));
        self.lock().configuration = Some(Arc::clone(configuration));
    }

    /// Records that a call is dispatched to an endpoint. Ignores calls that are not in
    /// `calls`.
    pub(crate) fn dispatched(&self, dispatch: &Dispatch, calls: &CallTable) {
        let Some((key, arrived_at_ms)) = calls.origin(dispatch.request_id) else {
            return;
        };
        let mut state = self.lock();
        let customer = customer(&state, key).unwrap_or_default();
        let waited_ms = dispatch.decided_at_ms.saturating_sub(arrived_at_ms);
        self.metrics
            .observe_waiting(&customer, dispatch.class, waited_ms);
        let class = dispatch.class;
        let running = RunningCall {
            customer,
            class,
            arrived_at_ms,
            first_token_seen: false,
        };
        state.running.insert(dispatch.request_id, running);
        self.metrics.set_running_calls(state.running.len());
    }

    /// Records that the first chunk of a response arrived. Later chunks of the same response
    /// are ignored.
    pub(crate) fn first_token(&self, id: RequestId) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        match state.running.get_mut(&id) {
            Some(call) if !call.first_token_seen => {
                call.first_token_seen = true;
                let elapsed_ms = now_ms.saturating_sub(call.arrived_at_ms);
                self.metrics
                    .observe_first_token(&call.customer, call.class, elapsed_ms);
            }
            _ => {}
        }
    }

    /// Records that a dispatched call has ended.
    pub(crate) fn ended(&self, id: RequestId) {
        let now_ms = self.clock.now_ms();
        let mut state = self.lock();
        if let Some(call) = state.running.remove(&id) {
            let elapsed_ms = now_ms.saturating_sub(call.arrived_at_ms);
            self.metrics
                .observe_call(&call.customer, call.class, elapsed_ms);
            self.metrics.set_running_calls(state.running.len());
        }
    }

    /// Records that a root program has ended. `ms` is the time since its first call.
    pub(crate) fn program_ended(&self, customer: &str, class: ClassOfService, ms: u64) {
        self.metrics.observe_program(customer, class, ms);
    }

    /// Counts a refused call. A call that the owner of its program refused is no longer in
    /// `calls`; the owner counts it.
    pub(crate) fn refused(&self, id: RequestId, refusal: &Refusal, calls: &CallTable) {
        let Some((key, _)) = calls.origin(id) else {
            return;
        };
        let customer = customer(&self.lock(), key);
        self.metrics
            .count_refusal(refusal.reason, customer.as_deref());
    }

    /// Updates the number of waiting calls. `open` is the number of calls that have arrived
    /// and have not ended, including those at an endpoint.
    pub(crate) fn set_open_calls(&self, open: usize) {
        let running = self.lock().running.len();
        self.metrics.set_waiting_calls(open.saturating_sub(running));
    }
}

/// The customer that the key belongs to, or `None` if there is no valid key.
fn customer(state: &State, key: Option<KeyHash>) -> Option<String> {
    let configuration = state.configuration.as_ref()?;
    let record = configuration.keys.get(&key?)?;
    Some(record.customer.clone())
}
