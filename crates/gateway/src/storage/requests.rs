//! Handling of requests from other instances.

use jayreel_ledger::{
    ColdReport, CrashReport, EndpointCursor, EndpointLimit, LedgerRecord, MemberRequest,
    MemberResponse, MembershipState, ProgramKey, QuotaPurpose, QuotaRequest, Reply,
    Request, Reservation, SharedChanges, SharedConfiguration, SharedEndpoints,
    SuspectsVersion,
};

use crate::endpoint_view::EndpointUpdate;
use crate::log_fields::OrNone;

use super::node::{ConnectionKey, Effect, Node};

impl Node {
    /// Handles a request. Responses that confirm a write are sent once it is on disk, all
    /// others at once.
    pub(super) fn handle_request(
        &mut self,
        now_ms: u64,
        to: ConnectionKey,
        request: Request,
    ) -> Vec<Effect> {
        let Request {
            id,
            group_version,
            body,
        } = request;
        let reply = |body| Reply { id, body };
        let reply_now = |body| Effect::Reply {
            connection: to,
            reply: reply(body),
        };
        let rejection = self.reject(group_version, &body);
        if let Some(response) = rejection.or_else(|| self.reject_write(now_ms, &body)) {
            return vec![reply_now(response)];
        }
        match body {
            MemberRequest::Reserve(reservation) => {
                let (is_new, response) = self.reserve(now_ms, &reservation);
                let record = LedgerRecord::Reserved(reservation);
                self.append_and_reply(is_new, &[record], to, reply(response))
            }
            MemberRequest::Settle(settlement) => {
                let record = LedgerRecord::Settled(settlement);
                self.merge_and_reply(now_ms, &[record], to, reply(MemberResponse::Done))
            }
            MemberRequest::StoreTurn(turn) => {
                self.cache.insert(turn.clone());
                let record = LedgerRecord::Turn(turn);
                self.merge_and_reply(now_ms, &[record], to, reply(MemberResponse::Done))
            }
            MemberRequest::StoreRecords(records) => {
                let shared = records.into_iter().filter(LedgerRecord::is_shared);
                let shared: Vec<LedgerRecord> = shared.collect();
                self.merge_and_reply(now_ms, &shared, to, reply(MemberResponse::Done))
            }
            MemberRequest::AdoptGroup(group) => {
                let mut effects = self.adopt_group(now_ms, group);
                effects.push(reply_now(MemberResponse::Done));
                effects
            }
            MemberRequest::TakeQuota {
                configuration_version,
                quota_requests,
            } if self.is_voting() => {
                let (response, records) =
                    self.grant_quota(now_ms, configuration_version, &quota_requests);
                let mut effects = vec![reply_now(response)];
                if !records.is_empty() {
                    effects.extend(self.append(&records));
                }
                effects
            }
            MemberRequest::ReportLimits(limits) => {
                for limit in &limits {
                    self.report_limit(now_ms, limit);
                    self.report_cold(now_ms, limit, "report");
                }
                vec![reply_now(MemberResponse::Done)]
            }
            MemberRequest::ReportCrash(report) => {
                vec![reply_now(self.report_crash(now_ms, &report))]
            }
            MemberRequest::ClearSuspects(requests) => {
                for fingerprint in requests {
                    self.crash_suspects.clear(now_ms, fingerprint);
                }
                vec![reply_now(MemberResponse::Done)]
            }
            MemberRequest::RestoreSuspects(suspects) => {
                self.crash_suspects.restore(now_ms, &suspects);
                vec![reply_now(MemberResponse::Done)]
            }
            MemberRequest::RenewTurns(renewals) => {
                for renewal in &renewals {
                    self.state.renew_turn(now_ms, renewal);
                }
                vec![reply_now(MemberResponse::Done)]
            }
            MemberRequest::TakeSend(candidates)
                if group_version > self.group.version
                    && candidates.iter().any(|limit| limit.cold.is_some()) =>
            {
                // The group may have become larger, so that this share would be too large.
                vec![reply_now(MemberResponse::Unavailable)]
            }
            MemberRequest::TakeSend(candidates) if self.is_voting() => {
                for limit in &candidates {
                    self.report_cold(now_ms, limit, "token_request");
                }
                let shares = self.shares(now_ms);
                let grant = self.endpoint_limits.take(now_ms, &candidates, shares);
                vec![reply_now(MemberResponse::Send(grant))]
            }
            MemberRequest::Chain {
                turn,
                max_chain_turns,
                max_bytes,
            } => {
                let limits = (max_chain_turns, max_bytes);
                self.send_chain(now_ms, to, id, &turn, limits)
            }
            MemberRequest::CopyTurns(turns) => self.send_copies(now_ms, to, id, &turns),
            body => vec![reply_now(self.read(now_ms, body))],
        }
    }

    /// Returns the response to a write that does not fit into memory or onto the disk, and
    /// `None` to all others. Turns that may already run keep room when new ones are rejected.
    fn reject_write(
        &mut self,
        now_ms: u64,
        request: &MemberRequest,
    ) -> Option<MemberResponse> {
        let new_bytes = match request {
            MemberRequest::Reserve(_) => 0,
            MemberRequest::StoreTurn(turn) => turn.input.len() + turn.output.len(),
            MemberRequest::StoreRecords(records) => stored_bytes(records),
            _ => return None,
        };
        let queued_bytes = self.log.queued_bytes();
        let is_queue_full = queued_bytes > self.log.limits().queue_bytes;
        let queue_gate = &mut self.log.queue_gate;
        if queue_gate.rejects(now_ms, is_queue_full, queued_bytes as u64) {
            return Some(MemberResponse::Unavailable);
        }
        let has_room = match request {
            MemberRequest::Reserve(_) => self.log.has_room_for_new_turns(),
            _ => self.log.has_room(new_bytes as u64),
        };
        let used_bytes = self.log.total_bytes();
        let disk_gate = &mut self.log.disk_gate;
        let is_disk_full = disk_gate.rejects(now_ms, !has_room, used_bytes);
        is_disk_full.then_some(MemberResponse::StorageFull)
    }

    /// Merges a reservation. Returns whether it is new, and the response to send once it is on
    /// disk.
    fn reserve(
        &mut self,
        now_ms: u64,
        reservation: &Reservation,
    ) -> (bool, MemberResponse) {
        let is_new = self
            .state
            .merge(now_ms, &LedgerRecord::Reserved(reservation.clone()));
        let response = match self.is_voting() {
            true => MemberResponse::Charges(self.state.charges(&reservation.program)),
            false => MemberResponse::NotVoting,
        };
        (is_new, response)
    }

    /// Checks requests that depend on the group. Returns the response if the request cannot be
    /// handled, because sender and receiver know different versions of the group or this
    /// instance is not a member. Otherwise returns `None`.
    fn reject(
        &self,
        group_version: u64,
        request: &MemberRequest,
    ) -> Option<MemberResponse> {
        let needs_group = matches!(
            request,
            MemberRequest::Reserve(_)
                | MemberRequest::Charges(_)
                | MemberRequest::StoreTurn(_)
                | MemberRequest::Chain { .. }
                | MemberRequest::TakeQuota { .. }
                | MemberRequest::CopyPart { .. }
                | MemberRequest::CopyTurns(_)
        );
        match needs_group {
            false => None,
            true if group_version < self.group.version => {
                Some(MemberResponse::GroupSuperseded(self.group.clone()))
            }
            true if group_version > self.group.version => {
                Some(MemberResponse::Unavailable)
            }
            true if is_copy(request) => None,
            true if self.membership == MembershipState::Spare => {
                Some(MemberResponse::NotVoting)
            }
            true => None,
        }
    }

    /// Handles a request that writes nothing to disk.
    fn read(&mut self, now_ms: u64, request: MemberRequest) -> MemberResponse {
        match request {
            MemberRequest::Charges(program) if self.is_voting() => {
                MemberResponse::Charges(self.state.charges(&program))
            }
            MemberRequest::CopyPart { cursor } => self.share_part(&cursor),
            MemberRequest::Status => MemberResponse::Status {
                is_voting: self.is_voting(),
                group_version: self.group.version,
            },
            MemberRequest::Configuration { known_revision } => {
                self.share_configuration(now_ms, known_revision)
            }
            MemberRequest::Presence { instance } => {
                MemberResponse::Presence(self.presence.record_message(now_ms, &instance))
            }
            MemberRequest::Endpoints {
                known,
                known_suspects,
            } => self.share_endpoints(now_ms, known, known_suspects),
            _ => MemberResponse::NotVoting,
        }
    }

    /// Whether the instance held all records of this version of the group or of the previous
    /// one. A member that has just left still does, and can be copied from.
    pub(super) fn was_complete_recently(&self) -> bool {
        let version = self.state.complete_version();
        version.is_some_and(|version| version + 1 >= self.group.version)
    }

    /// Takes an entry instance's report about the limit of an endpoint.
    fn report_limit(&mut self, now_ms: u64, limit: &EndpointLimit) {
        if self.endpoint_limits.report(now_ms, limit) {
            let limit_per_s = limit.report.limit_per_s;
            log::info!(
                "event=endpoint_limit endpoint={} limit_per_s={} source=report",
                limit.endpoint,
                OrNone(limit_per_s),
            );
        }
    }

    /// Takes the cold time of an endpoint from a request of an entry instance.
    fn report_cold(&mut self, now_ms: u64, limit: &EndpointLimit, source: &str) {
        let Some(cold) = limit.cold else { return };
        let endpoint = &limit.endpoint;
        if self.endpoint_limits.report_cold(now_ms, endpoint, cold) {
            let ColdReport { left_ms, per_s, .. } = cold;
            log::info!(
                "event=endpoint_cold endpoint={endpoint} left_ms={left_ms} per_s={per_s} \
                 source={source}"
            );
        }
    }

    /// Takes the cold times of endpoints from the registry.
    pub(super) fn register_cold(&mut self, now_ms: u64) {
        for entry in self.endpoints.cold_endpoints(now_ms) {
            let Some(per_s) = self.cold_rates.get(&entry.service).copied() else {
                continue;
            };
            let limit = EndpointLimit {
                cold: Some(ColdReport {
                    left_ms: entry.cold_left_ms as i64,
                    per_s,
                    was_in_use: false,
                }),
                ..EndpointLimit::unlimited(&entry.id)
            };
            self.report_cold(now_ms, &limit, "registry");
        }
    }

    /// Counts a crash for the requests that were lost in it.
    fn report_crash(&mut self, now_ms: u64, report: &CrashReport) -> MemberResponse {
        for fingerprint in self.crash_suspects.report(now_ms, report) {
            log::warn!("event=request_given_up fingerprint={fingerprint}");
        }
        let reported = report.requests.iter().chain(&report.families);
        let crashes = reported.map(|suspect| self.crash_suspects.crashes(*suspect));
        MemberResponse::Crashes(crashes.collect())
    }

    /// Number of members among which the rates of customers and endpoints are divided.
    fn shares(&self, now_ms: u64) -> usize {
        match self.previous_shares {
            Some((until_ms, shares)) if now_ms < until_ms => shares,
            _ => self.group.members.len(),
        }
    }

    /// Grants quota for each entry of `quota_requests`. Returns the response and the records of the
    /// grants.
    fn grant_quota(
        &mut self,
        now_ms: u64,
        configuration_version: u64,
        quota_requests: &[QuotaRequest],
    ) -> (MemberResponse, Vec<LedgerRecord>) {
        let shares = self.shares(now_ms);
        let mut granted = Vec::new();
        let mut records = Vec::new();
        for quota_request in quota_requests {
            let customer = &quota_request.customer;
            self.rates.set_limit(
                now_ms,
                configuration_version,
                customer,
                quota_request.limit,
            );
            if self.is_budget_spent(quota_request) {
                granted.push(quota_request.requests);
                continue;
            }
            let purpose = self.quota_purpose(quota_request);
            let count = self.rates.take(
                now_ms,
                customer,
                quota_request.requests,
                shares,
                purpose,
            );
            granted.push(count);
            if count > 0 {
                let record = LedgerRecord::Granted {
                    at_ms: now_ms,
                    customer: customer.clone(),
                    count,
                };
                self.state.merge(now_ms, &record);
                records.push(record);
            }
        }
        (MemberResponse::Quota(granted), records)
    }

    /// Whether the turn does not fit into the budget of its program and so will not run. It is
    /// granted without taking a token: otherwise programs that keep sending turns after their
    /// budget is spent would use up the rate of their customer.
    fn is_budget_spent(&self, quota_request: &QuotaRequest) -> bool {
        let Some((program, budget)) =
            quota_request.program.as_deref().zip(quota_request.budget)
        else {
            return false;
        };
        let program = ProgramKey::new(&quota_request.customer, program);
        let used_tokens = self.state.used_tokens(&program);
        used_tokens + u64::from(budget.max_turn_tokens) > budget.budget_tokens
    }

    /// Corrects the purpose of a request if the group holds reservations of its program. The
    /// requests of a program arrive through many entry instances, most of which have not seen
    /// it before and take it for a new one.
    fn quota_purpose(&self, quota_request: &QuotaRequest) -> QuotaPurpose {
        let program = quota_request.program.as_deref();
        let program =
            program.map(|program| ProgramKey::new(&quota_request.customer, program));
        match program.is_some_and(|program| self.state.has_started(&program)) {
            true => QuotaPurpose::ContinueProgram,
            false => quota_request.quota_purpose,
        }
    }

    /// Endpoint changes after a cursor. `Unavailable` if the store has not been read recently,
    /// or could not be read shortly before.
    fn share_endpoints(
        &mut self,
        now_ms: u64,
        known: EndpointCursor,
        known_suspects: SuspectsVersion,
    ) -> MemberResponse {
        let update = self.endpoints.update_since(now_ms, known);
        MemberResponse::Endpoints(Box::new(SharedEndpoints {
            changes: update.and_then(encode_endpoint_update),
            limits: self.endpoint_limits.current(now_ms),
            suspects: self.crash_suspects.share(now_ms, known_suspects),
        }))
    }

    /// The configuration, if it is newer than `known_revision`, and its age. `Unavailable` if no
    /// read has confirmed it yet.
    fn share_configuration(&self, now_ms: u64, known_revision: u64) -> MemberResponse {
        match self.freshness.age_ms(now_ms) {
            Some(age_ms) => MemberResponse::Configuration(SharedConfiguration {
                revision: self.configuration_revision,
                age_ms,
                content: (self.configuration_revision > known_revision)
                    .then(|| self.configuration.clone()),
                evacuations: self.evacuations.share(now_ms),
            }),
            None => MemberResponse::Unavailable,
        }
    }

    /// Merges records, writes those that are new, and replies once all of them are on disk.
    fn merge_and_reply(
        &mut self,
        now_ms: u64,
        records: &[LedgerRecord],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let new_records: Vec<LedgerRecord> = records
            .iter()
            .filter(|record| self.state.merge(now_ms, record))
            .cloned()
            .collect();
        self.append_and_reply(!new_records.is_empty(), &new_records, to, reply)
    }
}

/// Whether the request copies records. An instance that is no member may be copied from.
fn is_copy(request: &MemberRequest) -> bool {
    matches!(
        request,
        MemberRequest::CopyPart { .. } | MemberRequest::CopyTurns(_)
    )
}

/// Bytes of the inputs and outputs of the turns among the records.
fn stored_bytes(records: &[LedgerRecord]) -> usize {
    let bytes = records.iter().map(|record| match record {
        LedgerRecord::Turn(turn) => turn.input.len() + turn.output.len(),
        _ => 0,
    });
    bytes.sum()
}

/// Encodes endpoint changes for an entry instance.
fn encode_endpoint_update(update: EndpointUpdate) -> Option<SharedChanges> {
    match postcard::to_stdvec(&update.changes) {
        Ok(content) => Some(SharedChanges {
            cursor: update.cursor,
            revision: update.revision,
            is_complete: update.is_complete,
            content: content.into(),
        }),
        Err(error) => {
            log::error!("event=endpoints_unwritable reason={error:?}");
            None
        }
    }
}
