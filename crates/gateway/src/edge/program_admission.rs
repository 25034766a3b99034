//! Admission of new programs where capacity is scarce (`jayreel-admission`): gives the controller
//! what this instance knows, and turns its decisions into refusals, metrics and log lines.

use std::collections::HashMap;

use jayreel_admission::{
    Claimant, Decision, ProgramAdmission, ProgramKey, RejectionReason, ServiceState, Turn,
};
use rand::RngExt;

use crate::clock::now_ms;
use crate::config::{CallKind, Configuration, Customer, Route};
use crate::edge::Edge;
use crate::edge::refusal::Refusal;
use crate::log_fields::OrNone;
use crate::protocol::CallHead;

/// Time of a turn while none of its route has ended, in milliseconds.
const DEFAULT_TURN_MS: f64 = 250.0;

/// Shortest time between two log lines about one service, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Number of services for which log lines are counted. Beyond it all are forgotten, since names
/// change with the configuration.
const MAX_LOGGED_SERVICES: usize = 64;

/// What was logged about a service, and what has happened since.
#[derive(Clone, Copy, Debug, Default)]
struct LogState {
    is_limiting: bool,
    logged_ms: u64,
    admitted: u32,
    rejected: u32,
}

/// The controller of this instance, and what was logged about it.
#[derive(Debug)]
pub(crate) struct ProgramGate {
    admission: ProgramAdmission,
    /// By service. At most [`MAX_LOGGED_SERVICES`].
    logged: HashMap<String, LogState>,
}

impl ProgramGate {
    pub(crate) fn new(now_ms: u64, bound_turns: f64) -> ProgramGate {
        ProgramGate {
            admission: ProgramAdmission::with_bound(now_ms, bound_turns),
            logged: HashMap::new(),
        }
    }

    /// Logs when rejections begin and end, and about once a second in between.
    fn log(
        &mut self,
        now_ms: u64,
        service: &str,
        state: &ServiceState,
        decision: &Decision,
    ) {
        let is_known = self.logged.contains_key(service);
        if !is_known && self.logged.len() >= MAX_LOGGED_SERVICES {
            self.logged.clear();
        }
        let logged = self.logged.entry(service.to_string()).or_default();
        match decision {
            Decision::Admit { is_new } => logged.admitted += u32::from(*is_new),
            Decision::Reject(_) => logged.rejected += 1,
        }
        let is_limiting = state.share < 1.0;
        let is_news = is_limiting || logged.is_limiting;
        if !is_news || now_ms < logged.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        let pressure = state.pressure;
        log::info!(
            "event=program_admission service={service} limiting={is_limiting} share={:.2} \
             queueing_turns={} load_per_slot={} report_weight={} endpoints={} admitted={} \
             rejected={}",
            state.share,
            OrNone(pressure.map(|now| format!("{:.2}", now.queueing_turns))),
            OrNone(pressure.map(|now| format!("{:.2}", now.load_per_slot))),
            OrNone(pressure.map(|now| format!("{:.1}", now.report_weight))),
            state.endpoints,
            logged.admitted,
            logged.rejected,
        );
        *logged = LogState {
            is_limiting,
            logged_ms: now_ms,
            ..LogState::default()
        };
    }
}

impl Edge {
    /// Refuses the first turn of a program for which the endpoints have no room. All other
    /// requests pass.
    pub(crate) fn check_program(
        &self,
        configuration: &Configuration,
        route: &Route,
        service: &str,
        call: &CallHead,
        customer: Option<&(String, Customer)>,
    ) -> Result<(), Refusal> {
        let (Some(gate), Some(program), CallKind::Stream { .. }) =
            (&self.program_gate, &call.program, route.kind)
        else {
            return Ok(());
        };
        let now_ms = now_ms();
        let name = customer.map_or("", |(name, _)| name.as_str());
        let priority = customer.and_then(|(_, customer)| customer.priority);
        let average_ms = self.durations.borrow().average_ms(&route.name);
        let turn = Turn {
            service,
            program: ProgramKey::new(name, &program.id),
            claimant: Claimant {
                customer: name,
                weight: customer.map_or(1.0, |(_, one)| weight(configuration, one)),
                kind: &route.name,
                rank: priority.unwrap_or(route.priority),
            },
            is_continuation: call.previous_turn.is_some() || call.last_event_id.is_some(),
            time_left_ms: program.time_left_ms,
            tokens: call.reserved_tokens(),
            turn_ms: average_ms.unwrap_or(DEFAULT_TURN_MS),
        };
        let loads = self.balancer.borrow().endpoint_loads(now_ms, service);
        let draws = (rand::rng().random(), rand::rng().random());
        let mut gate = gate.borrow_mut();
        let decision = gate.admission.decide(now_ms, &turn, &loads, draws);
        if let Some(state) = gate.admission.state(service) {
            let queueing_turns = state.pressure.map(|now| now.queueing_turns);
            self.metrics
                .set_program_share(service, state.share, queueing_turns);
            gate.log(now_ms, service, &state, &decision);
        }
        match decision {
            Decision::Admit { is_new: false } => Ok(()),
            Decision::Admit { is_new: true } => {
                self.metrics.new_program(&route.name, "admitted");
                Ok(())
            }
            Decision::Reject(rejection) => {
                let label = match rejection.reason {
                    RejectionReason::CustomerShare => "rejected_customer_share",
                    RejectionReason::KindShare => "rejected_kind_share",
                };
                self.metrics.new_program(&route.name, label);
                Err(Refusal::retry_later(
                    "no_room_for_program",
                    rejection.retry_after_ms,
                ))
            }
        }
    }
}

/// Weight of a customer: its rate. One without a limit weighs as much as the largest one that has
/// a limit.
fn weight(configuration: &Configuration, customer: &Customer) -> f64 {
    if customer.limit.rate_per_s > 0.0 {
        return customer.limit.rate_per_s;
    }
    let others = configuration.customers.values();
    let rates = others.map(|other| other.limit.rate_per_s);
    rates.fold(0.0, f64::max).max(1.0)
}
