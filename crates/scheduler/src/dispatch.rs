//! Dispatching of waiting calls to endpoints with free capacity.

use crate::call::{CallKey, CallState, Running, Slot, Target};
use crate::capacity::GroupCapacity;
use crate::cost;
use crate::effect::{Dispatch, Effect};
use crate::endpoint::EndpointKey;
use crate::event::TokenUsage;
use crate::group::GroupKey;
use crate::policy::{
    Candidate, CustomerId, Placement, PlacementRequest, QueuedCall, Rank,
};
use crate::scheduler::Scheduler;

/// Maximum number of calls that the placement policy may hold back in one search for the
/// next call to dispatch. Bounds the work when many calls wait for busy endpoints.
const MAX_HELD_BACK: usize = 64;

/// The next call to dispatch, and its endpoint.
#[derive(Clone, Copy, Debug)]
struct NextDispatch {
    call: CallKey,
    endpoint: EndpointKey,
    /// Lowest start tag among the customers whose calls could have been dispatched, see
    /// [`FairnessPolicy::charge`](crate::policy::FairnessPolicy::charge).
    lowest_tag: u64,
}

impl Scheduler {
    /// Dispatches waiting calls of all groups while endpoints have capacity.
    pub(crate) fn dispatch_waiting(&mut self, now_ms: u64, out: &mut Vec<Effect>) {
        let groups: Vec<GroupKey> = self.groups_by_name.values().copied().collect();
        for group in groups {
            while let Some(next) = self.next_dispatch(now_ms, group) {
                self.dispatch(now_ms, group, next, out);
            }
        }
    }

    /// Selects the next call to dispatch in a group. Skips customers that are over their
    /// rate limit and targets without free endpoints.
    fn next_dispatch(&mut self, now_ms: u64, group: GroupKey) -> Option<NextDispatch> {
        if self.groups[group].queue.len() == 0 {
            return None;
        }
        let capacity = self.group_capacity(now_ms, group);
        if !capacity.has_any() {
            return None;
        }
        let mut full_targets: Vec<Target> = Vec::new();
        let mut over_rate: Vec<CustomerId> = Vec::new();
        let mut held_back = 0;
        let mut lowest_tag = None;
        for call in self.calls_in_order(now_ms, group) {
            let customer = self.calls[call].customer;
            if full_targets.contains(&self.calls[call].target)
                || customer.is_some_and(|customer| over_rate.contains(&customer))
            {
                continue;
            }
            let (endpoints, candidates) = self.candidates(call, &capacity);
            if !candidates.iter().any(|candidate| candidate.has_capacity) {
                full_targets.push(self.calls[call].target.clone());
                continue;
            }
            let tag = self.tag(group, call);
            if let Placement::Candidate(index) =
                self.place(now_ms, group, call, &candidates)
            {
                if self.take_quota(now_ms, group, call) {
                    return Some(NextDispatch {
                        call,
                        endpoint: endpoints[index],
                        lowest_tag: lowest_tag.unwrap_or(tag),
                    });
                }
                over_rate.extend(customer);
                continue;
            }
            // Calls are in the order of their customers' tags, so the first one that is held
            // back has the lowest tag.
            lowest_tag.get_or_insert(tag);
            held_back += 1;
            if held_back >= MAX_HELD_BACK {
                break;
            }
        }
        None
    }

    /// Fairness tag of the call's flow.
    fn tag(&self, group: GroupKey, call: CallKey) -> u64 {
        let group = &self.groups[group];
        group.fairness.tag(group.flow(self.calls[call].customer))
    }

    /// Waiting calls of a group in the order in which they should run: by the fairness tag of
    /// the flow, then the flow's oldest call, then the rank within the flow.
    fn calls_in_order(&self, now_ms: u64, group: GroupKey) -> Vec<CallKey> {
        let group = &self.groups[group];
        let mut flows: Vec<CustomerId> = group.queue.flows().collect();
        let oldest = |flow| {
            let calls = group.queue.calls(flow).iter();
            calls.map(|call| self.calls[*call].sequence).min()
        };
        flows.sort_by_cached_key(|flow| (group.fairness.tag(*flow), oldest(*flow)));
        let mut ordered = Vec::new();
        for flow in flows {
            let mut calls = group.queue.calls(flow).to_vec();
            calls.sort_by_cached_key(|call| self.rank(now_ms, *call));
            ordered.extend(calls);
        }
        ordered
    }

    fn rank(&self, now_ms: u64, key: CallKey) -> Rank {
        self.order_policy.rank(&self.queued_call(now_ms, key))
    }

    fn queued_call(&self, now_ms: u64, key: CallKey) -> QueuedCall {
        let call = &self.calls[key];
        let root = call.program.map(|program| self.program_table.root(program));
        QueuedCall {
            class: call.class,
            attained_tokens: root
                .map_or(0, |root| root.attained_service / cost::TENTHS_PER_TOKEN),
            program_started_at_ms: root
                .map_or(call.waiting_since_ms, |root| root.started_at_ms),
            waited_ms: call.waited_ms(now_ms),
            sequence: call.sequence,
        }
    }

    /// The active endpoints that can serve a call. The endpoint of the last failed attempt
    /// is excluded if there is another one.
    fn candidates(
        &self,
        key: CallKey,
        capacity: &GroupCapacity,
    ) -> (Vec<EndpointKey>, Vec<Candidate>) {
        let call = &self.calls[key];
        let mut serving: Vec<_> = capacity
            .endpoints
            .iter()
            .filter(|entry| self.endpoints[entry.endpoint].serves(&call.target))
            .collect();
        let others = serving
            .iter()
            .any(|entry| Some(entry.endpoint) != call.avoid_endpoint);
        serving.retain(|entry| !others || Some(entry.endpoint) != call.avoid_endpoint);
        let candidate = |entry: &&crate::capacity::EndpointCapacity| {
            let endpoint = &self.endpoints[entry.endpoint];
            let zone = &endpoint.configuration.availability_zone;
            Candidate {
                has_capacity: entry.has_capacity,
                own_in_flight: endpoint.load.own_in_flight(),
                outstanding: entry.outstanding,
                slots: endpoint.slots(),
                same_zone: *zone == self.settings.availability_zone,
                cached_tokens: endpoint
                    .prefixes
                    .cached_tokens(&call.prefix_hashes, call.prompt_tokens),
            }
        };
        let candidates = serving.iter().map(candidate).collect();
        let endpoints = serving.iter().map(|entry| entry.endpoint).collect();
        (endpoints, candidates)
    }

    fn place(
        &mut self,
        now_ms: u64,
        group: GroupKey,
        key: CallKey,
        candidates: &[Candidate],
    ) -> Placement {
        let call = &self.calls[key];
        let group = &mut self.groups[group];
        let request = PlacementRequest {
            prompt_tokens: call.prompt_tokens,
            waited_ms: call.waited_ms(now_ms),
            mean_service_ms: group.service_ms.get().unwrap_or(0),
        };
        group.placement.place(&request, candidates, &mut self.rng)
    }

    fn dispatch(
        &mut self,
        now_ms: u64,
        group: GroupKey,
        next: NextDispatch,
        out: &mut Vec<Effect>,
    ) {
        let (key, endpoint_key) = (next.call, next.endpoint);
        let queued = self.queued_call(now_ms, key);
        let priority = self.order_policy.engine_priority(&queued);
        let estimated_cost = self.estimated_cost(group, key, endpoint_key);
        self.charge(group, key, estimated_cost, next.lowest_tag);
        let call = &mut self.calls[key];
        let endpoint = &mut self.endpoints[endpoint_key];
        endpoint.load.add(now_ms);
        endpoint
            .prefixes
            .record(&call.prefix_hashes, call.prompt_tokens);
        call.state = CallState::Running(Running {
            slot: Some(Slot {
                endpoint: endpoint_key,
                group,
                taken_at_ms: now_ms,
                estimated_cost,
            }),
            sent: false,
            response_started: false,
            cancelled: false,
        });
        if call.failed_attempts == 0 {
            self.retry_budget.record_call();
        }
        out.push(Effect::Dispatch(Dispatch {
            request_id: call.request_id,
            endpoint: endpoint.name.clone(),
            address: endpoint.configuration.address.clone(),
            decided_at_ms: now_ms,
            max_tokens: call.max_tokens,
            priority,
            class: call.class,
            repeatable: call.repeatable,
            cache_tag: call
                .program
                .map(|key| self.program_table.cache_tag(key).to_string()),
            response_headers: call.response_headers.clone(),
        }));
        self.record_cache_holder(key, endpoint_key);
    }

    /// Records that the endpoint will hold cache for the call's program. Drops a pending
    /// release of that cache.
    fn record_cache_holder(&mut self, key: CallKey, endpoint: EndpointKey) {
        let call = &self.calls[key];
        if let (Some(program), true) = (call.program, call.is_model_call()) {
            let prefix = call.prefix_hashes.last().copied();
            self.program_table.record_holder(program, endpoint, prefix);
            let tag = self.program_table.cache_tag(program);
            self.pending_releases.remove(endpoint, tag);
        }
    }

    /// Removes a call from its queue and charges its customer with the estimated cost.
    fn charge(
        &mut self,
        group: GroupKey,
        key: CallKey,
        estimated_cost: u64,
        lowest_tag: u64,
    ) {
        let group = &mut self.groups[group];
        let flow = group.flow(self.calls[key].customer);
        group.queue.remove(flow, key);
        let weight = self.customers.weight(flow);
        group
            .fairness
            .charge(flow, weight, estimated_cost, lowest_tag);
    }

    /// Estimated cost of a call at an endpoint, in tenths of weighted tokens. Uses the group's
    /// mean service time for plain services. For model calls, uses the mean number of
    /// generated tokens, at most the call's limit, or the limit until a mean is known.
    fn estimated_cost(
        &self,
        group: GroupKey,
        key: CallKey,
        endpoint: EndpointKey,
    ) -> u64 {
        let call = &self.calls[key];
        let group = &self.groups[group];
        if !call.is_model_call() {
            return cost::of_service_ms(group.service_ms.get().unwrap_or(0));
        }
        let limit = call.max_tokens.unwrap_or(u64::MAX);
        let prefixes = &self.endpoints[endpoint].prefixes;
        cost::of_usage(TokenUsage {
            prompt_tokens: call.prompt_tokens,
            cached_tokens: prefixes
                .cached_tokens(&call.prefix_hashes, call.prompt_tokens),
            generated_tokens: group.generated_tokens.get().unwrap_or(limit).min(limit),
        })
    }
}
