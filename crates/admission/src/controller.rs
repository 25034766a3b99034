//! The decision whether one turn is admitted.

use std::collections::HashMap;

use crate::pressure::{EndpointLoad, Pressure};
use crate::programs::{ProgramKey, ProgramState, SeenPrograms};
use crate::share::{DEFAULT_BOUND_TURNS, ShareControl};
use crate::work::{Claimant, WorkCounters};

/// Time after the start of an instance in which it admits everything, in milliseconds. It does
/// not know yet which programs have begun; a program lasts a few seconds.
const WARM_UP_MS: u64 = 5_000;

/// Number of services with a state of their own. If there are more, all states are dropped:
/// names change with the configuration.
const MAX_SERVICES: usize = 64;

/// Bounds of Retry-After before the jitter, in milliseconds. Callers wait for at most a third of
/// the time that they have left, and a program of four turns has 1,400 ms.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (80.0, 600.0);

/// A turn that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn<'a> {
    /// The service that is to run it.
    pub service: &'a str,
    /// Its program.
    pub program: ProgramKey,
    /// Whose it is, and of which kind.
    pub claimant: Claimant<'a>,
    /// It continues an earlier turn.
    pub is_continuation: bool,
    /// Time until the deadline of its program. `None` without a deadline.
    pub time_left_ms: Option<u64>,
    /// Tokens that it may generate.
    pub tokens: u32,
    /// How long a turn of its kind takes, in milliseconds.
    pub turn_ms: f64,
}

/// Why a new program is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RejectionReason {
    /// Its customer has more than its fair share of the recent work.
    CustomerShare,
    /// Not all programs of its kind are admitted.
    KindShare,
}

/// The rejection of a new program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rejection {
    /// Why it is rejected.
    pub reason: RejectionReason,
    /// When the caller may try again, with jitter.
    pub retry_after_ms: u64,
}

/// The decision about a turn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The turn may run. `is_new` if its program begins with it.
    Admit {
        /// Whether the program begins with this turn.
        is_new: bool,
    },
    /// The program may not begin now.
    Reject(Rejection),
}

/// State of the control of one service, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceState {
    /// Share of new programs that are admitted.
    pub share: f64,
    /// The pressure. `None` without sufficient reports.
    pub pressure: Option<Pressure>,
    /// Number of endpoints that may be chosen.
    pub endpoints: usize,
}

#[derive(Debug)]
struct ServiceControl {
    share: ShareControl,
    work: WorkCounters,
    pressure: Option<Pressure>,
    endpoints: usize,
}

/// Admission of programs at one instance.
#[derive(Debug)]
pub struct ProgramAdmission {
    bound_turns: f64,
    started_ms: u64,
    /// At most [`MAX_SERVICES`].
    services: HashMap<String, ServiceControl>,
    programs: SeenPrograms,
}

impl ProgramAdmission {
    /// The state of an instance that has just started, with the default bound.
    pub fn new(now_ms: u64) -> ProgramAdmission {
        ProgramAdmission::with_bound(now_ms, DEFAULT_BOUND_TURNS)
    }

    /// The same, but rejects new programs above a queueing time of `bound_turns` turns.
    pub fn with_bound(now_ms: u64, bound_turns: f64) -> ProgramAdmission {
        ProgramAdmission {
            bound_turns,
            started_ms: now_ms,
            services: HashMap::new(),
            programs: SeenPrograms::default(),
        }
    }

    /// Decides about a turn, given the loads of the endpoints of its service. `draws` are two
    /// random numbers from 0 to 1.
    ///
    /// A turn that is not certain to be the first one of its program is admitted, and one whose
    /// program has missed its deadline: its priority at the endpoints is the lowest.
    pub fn decide(
        &mut self,
        now_ms: u64,
        turn: &Turn<'_>,
        loads: &[EndpointLoad],
        draws: (f64, f64),
    ) -> Decision {
        let seen = self.programs.state(now_ms, turn.program);
        let is_warming_up = now_ms < self.started_ms + WARM_UP_MS;
        let control = self.control(now_ms, turn.service);
        control.pressure = Pressure::of(loads);
        control.endpoints = loads.len();
        let queueing_turns = control.pressure.map(|pressure| pressure.queueing_turns);
        control.share.update(now_ms, queueing_turns);
        let is_new = !turn.is_continuation && seen != Some(ProgramState::Begun);
        let was_rejected = seen == Some(ProgramState::Rejected);
        let is_late = turn.time_left_ms == Some(0);
        if is_new && !was_rejected {
            control.work.record_program(now_ms, &turn.claimant);
        }
        let rejection = match is_new && !is_late && !is_warming_up {
            true => control.check_new(now_ms, turn, draws),
            false => None,
        };
        if let Some(rejection) = rejection {
            if !was_rejected {
                control.work.record_rejection(now_ms, &turn.claimant);
            }
            let state = ProgramState::Rejected;
            self.programs.record(now_ms, turn.program, state);
            return Decision::Reject(rejection);
        }
        if is_new {
            let claimant = &turn.claimant;
            control
                .work
                .record_admission(now_ms, claimant, was_rejected);
        }
        control
            .work
            .record_turn(now_ms, &turn.claimant, turn.tokens);
        let state = ProgramState::Begun;
        self.programs.record(now_ms, turn.program, state);
        Decision::Admit { is_new }
    }

    /// The state of a service. `None` if no turn has asked for it.
    pub fn state(&self, service: &str) -> Option<ServiceState> {
        let control = self.services.get(service)?;
        Some(ServiceState {
            share: control.share.share(),
            pressure: control.pressure,
            endpoints: control.endpoints,
        })
    }

    fn control(&mut self, now_ms: u64, service: &str) -> &mut ServiceControl {
        let is_known = self.services.contains_key(service);
        if !is_known && self.services.len() >= MAX_SERVICES {
            self.services.clear();
        }
        let bound_turns = self.bound_turns;
        let control = self.services.entry(service.to_string());
        control.or_insert_with(|| ServiceControl {
            share: ShareControl::with_bound(now_ms, bound_turns),
            work: WorkCounters::default(),
            pressure: None,
            endpoints: 0,
        })
    }
}

impl ServiceControl {
    /// Why a new program is rejected, if it is.
    fn check_new(
        &self,
        now_ms: u64,
        turn: &Turn<'_>,
        (draw, jitter): (f64, f64),
    ) -> Option<Rejection> {
        let share = self.share.share();
        let shares = self.work.shares(now_ms, &turn.claimant, share);
        let reason = match draw {
            _ if draw < shares.of_customer * shares.of_kind => return None,
            _ if draw < shares.of_customer => RejectionReason::KindShare,
            _ => RejectionReason::CustomerShare,
        };
        Some(Rejection {
            reason,
            retry_after_ms: self.retry_after_ms(turn.turn_ms, jitter),
        })
    }

    /// Time in which the queues drain, and up to the same time more.
    fn retry_after_ms(&self, turn_ms: f64, jitter: f64) -> u64 {
        let queueing_turns = self.pressure.map_or(0.0, |now| now.queueing_turns);
        let (min_ms, max_ms) = RETRY_AFTER_BOUNDS_MS;
        let drain_ms = (queueing_turns * turn_ms).max(min_ms).min(max_ms);
        (drain_ms * (1.0 + jitter.clamp(0.0, 1.0))).round() as u64
    }
}
