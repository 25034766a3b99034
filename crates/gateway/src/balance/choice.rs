//! The choice of an endpoint for one send.

use jayreel_hedging::EndpointState;
use jayreel_placement::{
    AffinityKey, Candidates, HeldHistory, Overflow, choose_similar, object_bonus,
    program_bonus,
};

use super::{Balancer, Endpoint, EndpointKey, Pick, ServicePlacement};
use crate::home_regions::Target;

/// Score penalty for an endpoint in another availability zone, in units of load per slot.
/// Traffic between zones is expensive.
const REMOTE_ZONE_PENALTY: f64 = 0.7;

/// Score bonus, in units of load per slot, for the endpoint that has the program's earlier
/// turns in its cache, where programs are not assigned to endpoints.
const AFFINITY_BONUS: f64 = 0.10;

/// Difference between expected times below which the choice is random, in times of a typical
/// request. In the model of `tests/placement.rs` 0.3 instead of 0.1 raises the 95th percentile,
/// since slow endpoints are chosen more often.
const SIMILAR_TIME: f64 = 0.1;

/// Score penalty for an engine whose memory does not hold a request. Larger than any load, so that
/// all others come first, and lower than the penalty for a paused endpoint.
const MEMORY_PENALTY: f64 = 100.0;

/// What is known about a request when an endpoint is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The endpoints that may run it.
    pub target: Target<'a>,
    /// Identifier of the endpoint that ran the program's last turn from this instance.
    pub last_endpoint: Option<&'a str>,
    /// The endpoint that ran the turn which the request continues, and so holds its whole history.
    /// `None` if another instance sent that turn.
    pub previous_turn: Option<EndpointKey>,
    /// The program of the request.
    pub program: Option<AffinityKey>,
    /// The object that it is about, if endpoints that have handled it recently are faster. Comes
    /// before the program.
    pub object: Option<AffinityKey>,
    /// What it takes in the memory of an engine. `None` without a bound.
    pub memory: Option<MemoryBound>,
    /// Identifiers of endpoints that are left out.
    pub tried: &'a [String],
    /// Random number from 0 up to, but not including, 1, for the choice among endpoints with
    /// similar expected times. `None` for the best one.
    pub random: Option<f64>,
}

impl<'a> PickRequest<'a> {
    /// A request without a program.
    pub fn new(target: impl Into<Target<'a>>, tried: &'a [String]) -> PickRequest<'a> {
        PickRequest {
            target: target.into(),
            last_endpoint: None,
            previous_turn: None,
            program: None,
            object: None,
            memory: None,
            tried,
            random: None,
        }
    }
}

/// The tokens of a request, and those that the memory of one engine holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemoryBound {
    /// Of the prompt and to be generated.
    pub tokens: u32,
    /// Of all requests at one engine.
    pub capacity_tokens: u32,
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickReason {
    /// It ran the last turn of the program, or it is a candidate for the program or the object.
    Affinity,
    /// It is among those in the own availability zone that are expected to complete the request
    /// first.
    ExpectedTime,
    /// It has the lowest score in the own availability zone.
    Score,
    /// It is in another availability zone, whatever else speaks for it.
    Overflow,
}

impl Balancer {
    /// Chooses the endpoint of a service with the lowest score. `affinity` is the identifier of
    /// the endpoint that ran the program's last turn; endpoints in `tried` are left out.
    ///
    /// An endpoint that failed recently is chosen only if there is no other. One that has reached
    /// its limit is not chosen.
    pub fn pick<'a>(
        &self,
        now_ms: u64,
        target: impl Into<Target<'a>>,
        affinity: Option<&'a str>,
        tried: &'a [String],
    ) -> Option<Pick> {
        let request = PickRequest {
            last_endpoint: affinity,
            ..PickRequest::new(target, tried)
        };
        self.choose(now_ms, &request)
    }

    /// Like `choose`, for a request without a program, but all endpoints that may be chosen, the
    /// best first. Ends with the first one that needs no token.
    pub fn candidates<'a>(
        &self,
        now_ms: u64,
        target: impl Into<Target<'a>>,
        affinity: Option<&'a str>,
        tried: &'a [String],
    ) -> Vec<Pick> {
        let request = PickRequest {
            last_endpoint: affinity,
            ..PickRequest::new(target, tried)
        };
        self.choices(now_ms, &request)
    }

    /// Chooses the endpoint for a request: the one with the lowest score, or at random one of those
    /// with similar expected times.
    pub fn choose(&self, now_ms: u64, request: &PickRequest<'_>) -> Option<Pick> {
        let scored = self.scored(now_ms, request);
        let random = request
            .random
            .filter(|_| self.timed(request.target.service).is_some());
        let best = match random {
            None => scored.iter().min_by(|a, b| a.score.total_cmp(&b.score)),
            Some(random) => {
                let scores = scored.iter().map(|scored| scored.score);
                let chosen = choose_similar(scores, SIMILAR_TIME, random);
                chosen.and_then(|index| scored.get(index))
            }
        };
        best.map(|best| self.picked(now_ms, best))
    }

    /// Like `choose`, but all endpoints that may be chosen, the best first. Ends with the first one
    /// that needs no token.
    pub fn choices(&self, now_ms: u64, request: &PickRequest<'_>) -> Vec<Pick> {
        let mut scored = self.scored(now_ms, request);
        scored.sort_by(|a, b| a.score.total_cmp(&b.score));
        let needing = scored
            .iter()
            .take_while(|scored| scored.endpoint.limit.needs_token(now_ms))
            .count();
        let scored = scored.iter().take(needing + 1);
        scored.map(|scored| self.picked(now_ms, scored)).collect()
    }

    /// All endpoints of a service that may be chosen, with what decides whether a request that was
    /// sent to those in `tried` may be hedged there.
    pub fn hedge_candidates<'a>(
        &self,
        now_ms: u64,
        target: impl Into<Target<'a>>,
        tried: &[String],
    ) -> Vec<(Pick, EndpointState<'_>)> {
        let scored = self.scored(now_ms, &PickRequest::new(target, &[]));
        let candidate = |scored: &Scored<'_>| {
            let endpoint = &self.endpoints[scored.key];
            let pick = self.picked(now_ms, scored);
            let state = EndpointState {
                zone: &endpoint.entry.availability_zone,
                score: scored.score,
                load_per_slot: endpoint.load(now_ms),
                slowness: endpoint.slowness_at(now_ms),
                error_rate: endpoint.error_rate_at(now_ms),
                is_paused: endpoint.paused_until_ms > now_ms || endpoint.is_suspended,
                needs_token: pick.needs_token,
                is_tried: tried.contains(&pick.id),
            };
            (pick, state)
        };
        scored.iter().map(candidate).collect()
    }

    /// The state of a service whose endpoints are ranked by expected time.
    pub(super) fn timed(&self, service: &str) -> Option<&ServicePlacement> {
        let placement = self.placements.get(service);
        placement.filter(|placement| placement.is_timed)
    }

    /// The endpoints that a request prefers. The candidates for its key are computed over all
    /// endpoints of the own zone that accept requests, whatever this instance knows about them, so
    /// that they are the same at each instance of the zone. During an overflow there are as many in
    /// other zones.
    fn affinity(&self, request: &PickRequest<'_>, overflow: Overflow) -> Affinity {
        let last = request.last_endpoint;
        let program = request.program.filter(|_| self.has_program_affinity);
        let key = request.object.or(program);
        let candidates = |is_remote: bool| {
            let endpoints = self.endpoints.iter().filter(move |(_, endpoint)| {
                endpoint.accepts(request.target, &self.zones)
                    && self.is_remote(endpoint) == is_remote
            });
            let hashes = endpoints.map(|(key, endpoint)| (key, endpoint.hash));
            key.map(|key| Candidates::new(key, hashes))
        };
        Affinity {
            last: last.and_then(|id| self.by_id.get(id).copied()),
            previous_turn: request.previous_turn,
            is_object: request.object.is_some(),
            candidates: candidates(false),
            remote_candidates: match overflow.is_active() {
                true => candidates(true),
                false => None,
            },
        }
    }

    /// The endpoints that may be chosen, with their scores.
    pub(super) fn scored<'a>(
        &'a self,
        now_ms: u64,
        request: &PickRequest<'_>,
    ) -> Vec<Scored<'a>> {
        let placement = self.placements.get(request.target.service);
        let timed = placement.filter(|placement| placement.is_timed);
        let is_timed = timed.is_some();
        let is_bounded = self.has_program_affinity || is_timed;
        let memory = request.memory.filter(|_| is_bounded);
        let request_tokens = placement.map_or(0.0, |placement| placement.request_tokens);
        let usable = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.accepts(request.target, &self.zones)
                && !request.tried.contains(&endpoint.entry.id)
                && endpoint.limit.wait_ms(now_ms) == 0
        });
        let draw = self.zones.draw();
        let scored = usable.map(|(key, endpoint)| {
            let has_room = memory
                .is_none_or(|memory| endpoint.has_room(now_ms, memory, request_tokens));
            let memory_penalty = if has_room { 0.0 } else { MEMORY_PENALTY };
            let zone = &endpoint.entry.availability_zone;
            let return_penalty = self.zones.penalty(now_ms, zone, draw);
            Scored {
                key,
                endpoint,
                score: endpoint.score(now_ms, timed) + memory_penalty + return_penalty,
                is_remote: self.is_remote(endpoint),
                is_preferred: false,
            }
        });
        let mut scored: Vec<Scored<'a>> = scored.collect();
        let overflow = self.overflow(request, &scored);
        let affinity = self.affinity(request, overflow);
        let remote_cost = match is_timed {
            true => overflow.cost(REMOTE_ZONE_PENALTY),
            false => REMOTE_ZONE_PENALTY,
        };
        for scored in &mut scored {
            let bonus = affinity.bonus(scored.key, scored.is_remote);
            scored.is_preferred = bonus > 0.0;
            scored.score += if scored.is_remote { remote_cost } else { 0.0 };
            scored.score -= bonus;
        }
        scored
    }

    /// Decides whether requests of a service go to other zones, from the scores without the cost of
    /// crossing and without affinity. A retry, which leaves out endpoints, changes no state.
    fn overflow(&self, request: &PickRequest<'_>, scored: &[Scored<'_>]) -> Overflow {
        let placement = self.placements.get(request.target.service);
        let best = |is_remote: bool| {
            let zone = scored.iter().filter(|one| one.is_remote == is_remote);
            zone.map(|one| one.score).min_by(f64::total_cmp)
        };
        let mut overflow =
            placement.map_or_else(Overflow::default, |one| one.overflow.get());
        overflow.update(best(false), best(true), REMOTE_ZONE_PENALTY);
        if let Some(placement) = placement.filter(|_| request.tried.is_empty()) {
            placement.overflow.set(overflow);
        }
        overflow
    }

    fn picked(&self, now_ms: u64, scored: &Scored<'_>) -> Pick {
        let endpoint = scored.endpoint;
        let is_timed = self.timed(&endpoint.entry.service).is_some();
        Pick {
            key: scored.key,
            id: endpoint.entry.id.clone(),
            address: endpoint.entry.address,
            is_remote: scored.is_remote,
            needs_token: endpoint.limit.needs_token(now_ms),
            reason: match scored.is_remote {
                true => PickReason::Overflow,
                false if scored.is_preferred => PickReason::Affinity,
                false if is_timed => PickReason::ExpectedTime,
                false => PickReason::Score,
            },
            is_cold: endpoint.limit.is_cold(now_ms),
        }
    }
}

/// An endpoint that may be chosen.
pub(super) struct Scored<'a> {
    pub(super) key: EndpointKey,
    endpoint: &'a Endpoint,
    /// Lower is better.
    pub(super) score: f64,
    is_remote: bool,
    /// The request prefers it to others with a slightly lower score.
    is_preferred: bool,
}

/// The endpoints that a request prefers.
struct Affinity {
    /// The one that ran the last turn of the program.
    last: Option<EndpointKey>,
    /// The one that ran the turn which the request continues.
    previous_turn: Option<EndpointKey>,
    /// The key is an object.
    is_object: bool,
    /// The candidates for the key. `None` if the request is not assigned to endpoints.
    candidates: Option<Candidates<EndpointKey>>,
    /// The candidates in other zones. `None` if no requests go there.
    remote_candidates: Option<Candidates<EndpointKey>>,
}

impl Affinity {
    /// By how much the score of an endpoint is lowered. A remote endpoint gets little while there
    /// is no overflow, so that a program returns to the own zone.
    fn bonus(&self, key: EndpointKey, is_remote: bool) -> f64 {
        let is_last = self.last == Some(key);
        let Some(candidates) = &self.candidates else {
            return if is_last { AFFINITY_BONUS } else { 0.0 };
        };
        let candidates = match is_remote {
            true => self.remote_candidates.as_ref(),
            false => Some(candidates),
        };
        let position = candidates.and_then(|candidates| candidates.position(key));
        if self.is_object {
            return object_bonus(position);
        }
        let history = match self.previous_turn == Some(key) {
            true if candidates.is_some() => HeldHistory::Whole,
            false if !is_last => HeldHistory::Unknown,
            _ => HeldHistory::Part,
        };
        program_bonus(history, position)
    }
}
