//! The time at which an endpoint is expected to complete a request.

/// Share of a request's time that it takes whatever the load. The rest is assumed to grow with the
/// load also below the number of slots, which spreads requests over idle endpoints.
const BASE_TIME: f64 = 0.5;

/// Advantage of the endpoint that ran the turn which a request continues, in times of a typical
/// request.
///
/// Reading a history again takes about 10 ms in which an engine serves no other request, so it
/// delays those that run and wait there as well. In the model of `tests/placement.rs` of the
/// gateway, bonuses of 0.9, 1.2 and 1.5 for the first candidate leave 0.64, 0.74 and 0.77 of the
/// histories cached at a utilization of 0.75, with a 95th percentile of 420, 432 and 464 ms.
const WHOLE_HISTORY_BONUS: f64 = 1.3;

/// Advantage of the endpoint that ran an earlier turn. The later ones, through other instances,
/// rather ran at a candidate.
const PART_OF_HISTORY_BONUS: f64 = 0.1;

/// Advantage of the candidates for a program. Lower than that of the endpoint that certainly holds the
/// history. That of the second one is small, since each endpoint that reads the history takes
/// memory from those of other programs: 0.5 instead of 0.2 left 0.05 less of them cached.
const PROGRAM_BONUSES: [f64; crate::CANDIDATES] = [1.2, 0.2];

/// Advantage of the candidates for an object. An endpoint that holds it does half of the work, which
/// helps all requests there. In the model 0.9, 1.4 and 2.0 for the first candidate let 0.40, 0.64 and
/// 0.86 of the requests meet an endpoint that holds their object, at a load that the endpoints could
/// not serve otherwise.
const OBJECT_BONUSES: [f64; crate::CANDIDATES] = [1.5, 0.2];

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

/// What this instance knows about the history of a program at one endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeldHistory {
    /// The endpoint ran the turn that the request continues.
    Whole,
    /// The endpoint ran an earlier turn.
    Part,
    /// The endpoint ran no turn from this instance.
    Unknown,
}

/// By how much earlier than at others an endpoint may be expected to complete a turn of a program
/// before it loses the turn to them, in times of a typical request. This bounds the load of the
/// preferred endpoint, as in consistent hashing with bounded loads.
///
/// `candidate` is its position among the candidates for the program.
pub fn program_bonus(history: HeldHistory, candidate: Option<usize>) -> f64 {
    let of_history = match history {
        HeldHistory::Whole => WHOLE_HISTORY_BONUS,
        HeldHistory::Part => PART_OF_HISTORY_BONUS,
        HeldHistory::Unknown => 0.0,
    };
    of_history.max(candidate_bonus(PROGRAM_BONUSES, candidate))
}

/// Like `program_bonus`, for a request on an object.
pub fn object_bonus(candidate: Option<usize>) -> f64 {
    candidate_bonus(OBJECT_BONUSES, candidate)
}

fn candidate_bonus(bonuses: [f64; crate::CANDIDATES], candidate: Option<usize>) -> f64 {
    let bonus = candidate.and_then(|position| bonuses.get(position).copied());
    bonus.unwrap_or(0.0)
}
