//! Simulation of two instances and their store in virtual time. The store can become
//! unreachable at a chosen request.

mod instance;
mod store;

use jayreel_fleet::{FleetEffect, FleetEvent};

use self::instance::SimulatedInstance;
use self::store::SimulatedStore;

/// Length of one step of the simulation.
pub const STEP_MS: u64 = 10;

/// Parameters of one run of the simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Time between two calls that arrive at each instance.
    pub call_interval_ms: u64,
    /// Calls per second of the customer's contract, which are also its burst.
    pub rate_per_s: u64,
    /// When the second instance starts. The first one starts at 0.
    pub second_starts_ms: u64,
    /// Time between the start of an instance and its registration.
    pub registration_ms: u64,
    /// Time between a write in the store and the arrival of its answer.
    pub write_answer_ms: u64,
    /// Number of the request, from 0, at which the store becomes unreachable for both
    /// instances. `None` for a run without an outage.
    pub outage_at_request: Option<usize>,
    /// Whether the request at which the outage begins takes effect in the store although
    /// its answer is lost.
    pub last_request_takes_effect: bool,
}

/// What happened in a run, at the beginning of the outage and after it.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Number of requests to the store, including the one at which the outage begins.
    pub store_requests: usize,
    /// When the outage began. `None` if there was none.
    pub outage_ms: Option<u64>,
    /// Home weight of each instance when the outage began, by the record that it had read.
    pub home_weight_ppm: Vec<u32>,
    /// Whether each instance considered the other one alive when the outage began.
    pub connected: Vec<bool>,
    /// Whether each instance was ready when the outage began.
    pub ready: Vec<bool>,
    /// Whether the outage began at a write, which may or may not have taken effect.
    pub outage_at_write: bool,
    /// Number of steps, summed over the instances, in which one held a home weight by the
    /// record that was not in force yet.
    pub steps_not_in_force: usize,
    /// For each instance, the times at which it served calls.
    pub served_ms: Vec<Vec<u64>>,
}

impl Observations {
    /// Number of calls that an instance served from `from_ms` until `until_ms` after the
    /// beginning of the outage.
    pub fn served_in_outage(
        &self,
        instance: usize,
        from_ms: u64,
        until_ms: u64,
    ) -> usize {
        let outage_ms = self.outage_ms.unwrap_or(0);
        let range = outage_ms + from_ms..outage_ms + until_ms;
        let served = self.served_ms[instance].iter();
        served.filter(|at_ms| range.contains(*at_ms)).count()
    }
}

/// Runs the simulation until `until_ms`, or for `outage_duration_ms` after the beginning of
/// an outage.
pub fn run(scenario: Scenario, until_ms: u64, outage_duration_ms: u64) -> Observations {
    let mut store = SimulatedStore::new(
        scenario.outage_at_request,
        scenario.last_request_takes_effect,
    );
    let mut instances = [
        SimulatedInstance::new(0, 0, scenario),
        SimulatedInstance::new(1, scenario.second_starts_ms, scenario),
    ];
    let mut observed = Observations::default();
    let mut now_ms = 0;
    let mut end_ms = until_ms;
    while now_ms < end_ms {
        for instance in &mut instances {
            instance.step(now_ms, &mut store);
        }
        exchange(now_ms, &mut instances);
        if store.is_unreachable() && observed.outage_ms.is_none() {
            observed.outage_ms = Some(now_ms);
            observed.home_weight_ppm = instances
                .iter_mut()
                .map(|instance| instance.home_weight_ppm(now_ms))
                .collect();
            observed.connected = instances
                .iter_mut()
                .map(|instance| instance.sees_peer(now_ms))
                .collect();
            observed.ready = instances
                .iter_mut()
                .map(|instance| instance.is_ready(now_ms))
                .collect();
            end_ms = now_ms + outage_duration_ms;
        }
        for instance in &mut instances {
            observed.steps_not_in_force +=
                usize::from(instance.has_weight_not_in_force(now_ms));
        }
        now_ms += STEP_MS;
    }
    observed.outage_at_write = store.is_outage_at_write();
    observed.store_requests = store.request_count();
    observed.served_ms = instances.map(|instance| instance.served_ms).into();
    observed
}

/// Passes messages between the instances. They arrive in the next step.
fn exchange(now_ms: u64, instances: &mut [SimulatedInstance; 2]) {
    for from in 0..2 {
        for effect in std::mem::take(&mut instances[from].outgoing) {
            let FleetEffect::Send { to, message } = effect else {
                continue;
            };
            let sender = instances[from].name();
            let event = FleetEvent::PeerMessage {
                from: sender,
                message,
            };
            let receiver = instances.iter_mut().find(|instance| instance.name() == to);
            if let Some(receiver) = receiver {
                receiver.deliver(now_ms + STEP_MS, event);
            }
        }
    }
}
