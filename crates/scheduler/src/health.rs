//! Health of an endpoint, derived from the outcome of calls and from probes.
//!
//! Failing calls take an endpoint out of service. From then on probes are sent, and enough
//! successful ones in a row put it back into service.

/// Number of consecutive failed calls after which an endpoint becomes suspect. It is above 1
/// because a single invalid response can be caused by the request.
const SUSPECT_AFTER_FAILURES: u32 = 3;
/// Number of consecutive failed probes after which a suspect endpoint counts as down.
const DOWN_AFTER_FAILED_PROBES: u32 = 3;
/// Time until the first probe and between two probes. Doubles with each consecutive failed
/// probe.
const PROBE_INTERVAL_MS: u64 = 500;
/// Upper bound of the time between two probes.
const MAX_PROBE_INTERVAL_MS: u64 = 16_000;
/// A probe that has no response after this time counts as failed.
const PROBE_TIMEOUT_MS: u64 = 5_000;
/// An endpoint that becomes suspect again within this time after its recovery is flapping:
/// the number of successful probes that it needs doubles.
const FLAP_WINDOW_MS: u64 = 60_000;
/// Upper bound of the number of successful probes that an endpoint needs to recover.
const MAX_REQUIRED_PROBES: u32 = 8;

/// Classification of a failed call with respect to its endpoint's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Failure {
    /// The response was invalid or the connection closed before its end. Several in a row
    /// make the endpoint suspect.
    InvalidResponse,
    /// The connection failed, or the call made no progress within the deadline. Makes the
    /// endpoint suspect at once.
    Unresponsive,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// In service.
    Active,
    /// Receives no calls until enough probes succeed.
    Suspect,
    /// Like `Suspect`, after several consecutive failed probes.
    Down,
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    pub state: HealthState,
    consecutive_failures: u32,
    failed_probes: u32,
    successful_probes: u32,
    /// Number of consecutive successful probes that make the endpoint active again. At
    /// least 1.
    required_probes: u32,
    /// Start of the probe in flight. `None` if there is none.
    probe_sent_at_ms: Option<u64>,
    next_probe_at_ms: u64,
    /// Time of the last change back to `Active`. `None` before the first recovery.
    recovered_at_ms: Option<u64>,
}

impl Health {
    pub fn new() -> Health {
        Health {
            state: HealthState::Active,
            consecutive_failures: 0,
            failed_probes: 0,
            successful_probes: 0,
            required_probes: 1,
            probe_sent_at_ms: None,
            next_probe_at_ms: 0,
            recovered_at_ms: None,
        }
    }

    /// Records a completed call.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed call. Takes the endpoint out of service if there were enough
    /// failures.
    pub fn record_failure(&mut self, now_ms: u64, failure: Failure) {
        self.consecutive_failures += 1;
        let suspect = match failure {
            Failure::InvalidResponse => {
                self.consecutive_failures >= SUSPECT_AFTER_FAILURES
            }
            Failure::Unresponsive => true,
        };
        if suspect && self.state == HealthState::Active {
            self.become_suspect(now_ms);
        }
    }

    fn become_suspect(&mut self, now_ms: u64) {
        let is_flapping = self
            .recovered_at_ms
            .is_some_and(|recovered| now_ms < recovered + FLAP_WINDOW_MS);
        self.required_probes = match is_flapping {
            true => (self.required_probes * 2).min(MAX_REQUIRED_PROBES),
            false => 1,
        };
        self.state = HealthState::Suspect;
        self.failed_probes = 0;
        self.successful_probes = 0;
        self.probe_sent_at_ms = None;
        self.next_probe_at_ms = now_ms + PROBE_INTERVAL_MS;
    }

    /// Whether a probe must be sent now, in which case it is recorded as sent. Counts a
    /// probe that has timed out as failed.
    pub fn take_due_probe(&mut self, now_ms: u64) -> bool {
        if self.state == HealthState::Active {
            return false;
        }
        match self.probe_sent_at_ms {
            Some(sent) if now_ms < sent + PROBE_TIMEOUT_MS => return false,
            Some(_) => self.record_probe(now_ms, false),
            None => {}
        }
        let due = now_ms >= self.next_probe_at_ms;
        if due {
            self.probe_sent_at_ms = Some(now_ms);
        }
        due
    }

    /// Records the result of a probe. Ignored if no probe is in flight.
    pub fn record_probe(&mut self, now_ms: u64, healthy: bool) {
        if self.state == HealthState::Active || self.probe_sent_at_ms.take().is_none() {
            return;
        }
        match healthy {
            true => self.record_successful_probe(now_ms),
            false => self.record_failed_probe(now_ms),
        }
    }

    fn record_successful_probe(&mut self, now_ms: u64) {
        self.failed_probes = 0;
        self.successful_probes += 1;
        self.next_probe_at_ms = now_ms + PROBE_INTERVAL_MS;
        if self.successful_probes >= self.required_probes {
            self.state = HealthState::Active;
            self.consecutive_failures = 0;
            self.recovered_at_ms = Some(now_ms);
        }
    }

    fn record_failed_probe(&mut self, now_ms: u64) {
        self.successful_probes = 0;
        self.failed_probes += 1;
        if self.failed_probes >= DOWN_AFTER_FAILED_PROBES {
            self.state = HealthState::Down;
        }
        let interval_ms = PROBE_INTERVAL_MS << self.failed_probes.min(10);
        self.next_probe_at_ms = now_ms + interval_ms.min(MAX_PROBE_INTERVAL_MS);
    }
}
