//! Which endpoint a hedged request goes to.

use std::collections::HashMap;

/// Requests per slot above which endpoints count as loaded. With half of the slots free a further
/// request does not wait, even if other instances send some at the same time.
const MAX_LOAD_PER_SLOT: f64 = 0.5;

/// Time to first byte above which an endpoint is slow, relative to the average of its service.
const MAX_SLOWNESS: f64 = 1.5;

/// Share of failed requests above which an endpoint has failed lately. A single failure counts for
/// about 12 seconds, as the share decays with a time constant of five.
const MAX_ERROR_RATE: f64 = 0.05;

/// What the instance knows about one endpoint of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointState<'a> {
    /// Its availability zone.
    pub zone: &'a str,
    /// Order of preference; lower is better.
    pub score: f64,
    /// Requests, running and waiting, per slot.
    pub load_per_slot: f64,
    /// Time to first byte, relative to the average of the service.
    pub slowness: f64,
    /// Share of requests that failed lately, from 0 to 1.
    pub error_rate: f64,
    /// It gets requests only if there is no other, because of failures.
    pub is_paused: bool,
    /// It limits the rate of requests, or is cold.
    pub needs_token: bool,
    /// The request was sent there.
    pub is_tried: bool,
}

impl EndpointState<'_> {
    /// Whether it has failed lately or is slow.
    fn is_troubled(&self) -> bool {
        self.is_paused || self.error_rate > MAX_ERROR_RATE || self.slowness > MAX_SLOWNESS
    }
}

/// Why a request that is slow is not sent a second time. The label is a value of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withheld {
    /// The request has been sent to as many endpoints as it may be.
    Attempts,
    /// The customer has no token of its rate limit in the buffer.
    Quota,
    /// The share of hedged requests is used up.
    Budget,
    /// Less time is left than nearly all responses take.
    Deadline,
    /// All other endpoints set a limit or are cold.
    Limited,
    /// Endpoints are loaded.
    Loaded,
    /// There is no other endpoint.
    NoEndpoint,
    /// A planned stop has begun.
    Stopping,
    /// The request may crash endpoints.
    Suspect,
    /// All other endpoints have failed lately or are slow, or are in a zone where most are.
    Troubled,
}

impl Withheld {
    /// Value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            Withheld::Attempts => "attempts",
            Withheld::Quota => "quota",
            Withheld::Budget => "budget",
            Withheld::Deadline => "deadline",
            Withheld::Limited => "limited",
            Withheld::Loaded => "loaded",
            Withheld::NoEndpoint => "no_endpoint",
            Withheld::Stopping => "stopping",
            Withheld::Suspect => "suspect",
            Withheld::Troubled => "troubled",
        }
    }
}

/// Chooses the endpoint for a hedged request among all endpoints of a service. Returns its index.
///
/// Zones in which most endpoints are in trouble are left out: the request may be slow because of what
/// they share, such as the link to the zone.
///
/// # Errors
///
/// Why there is none.
pub fn choose_endpoint(endpoints: &[EndpointState<'_>]) -> Result<usize, Withheld> {
    let load: f64 = endpoints.iter().map(|one| one.load_per_slot).sum();
    if load > MAX_LOAD_PER_SLOT * endpoints.len() as f64 {
        return Err(Withheld::Loaded);
    }
    // Number of endpoints, and of those in trouble.
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    for endpoint in endpoints {
        let (total, troubled) = zones.entry(endpoint.zone).or_default();
        *total += 1;
        *troubled += usize::from(endpoint.is_troubled());
    }
    let is_zone_troubled = |zone: &str| {
        let (total, troubled) = zones.get(zone).copied().unwrap_or_default();
        2 * troubled > total
    };
    let mut withheld = Withheld::NoEndpoint;
    let mut best: Option<(usize, f64)> = None;
    for (index, endpoint) in endpoints.iter().enumerate() {
        match endpoint {
            one if one.is_tried => {}
            one if one.needs_token => withheld = Withheld::Limited,
            one if one.is_troubled() || is_zone_troubled(one.zone) => {
                withheld = Withheld::Troubled;
            }
            one if one.load_per_slot > MAX_LOAD_PER_SLOT => withheld = Withheld::Loaded,
            one if best.is_some_and(|(_, score)| score <= one.score) => {}
            one => best = Some((index, one.score)),
        }
    }
    best.map(|(index, _)| index).ok_or(withheld)
}
