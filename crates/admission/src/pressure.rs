//! Pressure of a service: the expected queueing time of a new turn at its endpoints.
//!
//! An instance gets a report from an endpoint only with a response of it, so most reports are
//! older than a turn. Each report counts with a weight that decays with its age. An endpoint
//! whose report is old then tells nothing, instead of looking idle.

/// Time constant, in milliseconds, with which the weight of a report decays: about two turns.
/// An instance that sends ten turns per second has about five effective reports.
const REPORT_DECAY_MS: f64 = 500.0;

/// Reports older than this, in milliseconds, are ignored.
const MAX_REPORT_AGE_MS: u64 = 3_000;

/// Sum of the weights of the reports from which a pressure is derived. One recent report, or a
/// few older ones.
const MIN_REPORT_WEIGHT: f64 = 1.0;

/// The same for a service with a single endpoint, which may not report often.
const MIN_SINGLE_REPORT_WEIGHT: f64 = 0.1;

/// Load per slot at which the load of a single endpoint is capped. An endpoint that is
/// stuck must not dominate the average.
const MAX_LOAD_PER_SLOT: f64 = 2.5;

/// What is known about the load of one endpoint that may be chosen for new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointLoad {
    /// Requests running and waiting there, as of the last report, divided by its slots. Includes
    /// what this instance has sent since.
    pub load_per_slot: f64,
    /// Age of the last report. `None` if there was none.
    pub report_age_ms: Option<u64>,
    /// Whether it is in another availability zone than this instance.
    pub is_remote: bool,
}

/// The pressure of a service, and the inputs from which it was derived.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pressure {
    /// Expected queueing time of a new turn, relative to the time of one turn. 0 while
    /// endpoints have free slots.
    pub queueing_turns: f64,
    /// Average load per slot in the zone that has less.
    pub load_per_slot: f64,
    /// Sum of the weights of the reports.
    pub report_weight: f64,
}

/// Weighted average of the loads in one zone or several.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    load_per_slot: f64,
    weight: f64,
}

impl Pressure {
    /// Derives the pressure of a service from the loads of its endpoints. `None` without
    /// sufficient reports.
    ///
    /// The endpoint with the highest load is left out where there are others: requests are sent
    /// elsewhere, so one overloaded endpoint says nothing about the service. Requests go to
    /// another zone if that has room, so of home zone and other zones the less loaded one counts.
    pub fn of(loads: &[EndpointLoad]) -> Option<Pressure> {
        let home = average(loads, false);
        let remote = average(loads, true);
        let least = match (home, remote) {
            (Some(home), Some(remote)) if remote.load_per_slot < home.load_per_slot => {
                remote
            }
            (Some(home), _) => home,
            (None, remote) => remote?,
        };
        Some(Pressure {
            queueing_turns: (least.load_per_slot - 1.0).max(0.0),
            load_per_slot: least.load_per_slot,
            report_weight: least.weight,
        })
    }
}

fn average(loads: &[EndpointLoad], is_remote: bool) -> Option<Average> {
    let in_zone = loads.iter().filter(|load| load.is_remote == is_remote);
    let is_single = loads.len() == 1;
    let reported: Vec<(f64, f64)> = in_zone
        .filter_map(|load| {
            let age_ms = load.report_age_ms?;
            let is_usable = age_ms <= MAX_REPORT_AGE_MS && load.load_per_slot.is_finite();
            let weight = (-(age_ms as f64) / REPORT_DECAY_MS).exp();
            is_usable.then(|| (load.load_per_slot.clamp(0.0, MAX_LOAD_PER_SLOT), weight))
        })
        .collect();
    let highest = reported
        .iter()
        .enumerate()
        .max_by(|(_, (a, _)), (_, (b, _))| a.total_cmp(b))
        .map(|(index, _)| index);
    let counted = reported
        .iter()
        .enumerate()
        .filter(|(index, _)| is_single || Some(*index) != highest);
    let (sum, weight) = counted.fold((0.0, 0.0), |(sum, total), (_, (load, weight))| {
        (sum + load * weight, total + weight)
    });
    let min_weight = match is_single {
        true => MIN_SINGLE_REPORT_WEIGHT,
        false => MIN_REPORT_WEIGHT,
    };
    (weight >= min_weight).then(|| Average {
        load_per_slot: sum / weight,
        weight,
    })
}
