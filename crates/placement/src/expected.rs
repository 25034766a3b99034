//! The time at which an endpoint is expected to complete a request.

/// Share of a request's time that it takes whatever the load. The rest is assumed to grow with the
/// load also below the number of slots, which spreads requests over idle endpoints.
const BASE_TIME: f64 = 0.5;

/// Advantage of the endpoint that ran the last turn of the program from this instance, in times of
/// a typical request.
///
/// Reading a history again takes about 10 ms in which an engine serves no other request. Six run
/// there at a time, so it costs them 60 ms together, a quarter of the time of a turn, and as much
/// again for those that wait.
const LAST_ENDPOINT_BONUS: f64 = 0.5;

/// Advantage of the candidates for a key. Lower than that of the last endpoint, which certainly
/// holds the history. The second candidate is chosen once the first one has about two requests
/// more than it.
const CANDIDATE_BONUSES: [f64; crate::CANDIDATES] = [0.35, 0.15];

/// The load of an endpoint per slot with one more request.
pub fn load_per_slot(requests: f64, slots: u32) -> f64 {
    (requests + 1.0) / f64::from(slots.max(1))
}

/// The time in which an endpoint is expected to complete a request, where 1 is the time of a
/// typical request at a typical endpoint.
///
/// `load_per_slot` includes the request itself. `relative_time` is the time of one request there,
/// the current work factor included.
pub fn expected_time(load_per_slot: f64, relative_time: f64) -> f64 {
    (load_per_slot + BASE_TIME) * relative_time
}

/// By how much earlier than at others an endpoint may be expected to complete a request before it
/// loses the request to them, in times of a typical request. This bounds the load of the preferred
/// endpoint, as in consistent hashing with bounded loads.
///
/// `candidate` is its position among the candidates for the key.
pub fn affinity_bonus(is_last_endpoint: bool, candidate: Option<usize>) -> f64 {
    let of_candidate =
        candidate.and_then(|position| CANDIDATE_BONUSES.get(position).copied());
    match is_last_endpoint {
        true => LAST_ENDPOINT_BONUS,
        false => of_candidate.unwrap_or(0.0),
    }
}
