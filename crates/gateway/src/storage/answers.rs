//! What an instance with a disk answers to others.

use jayreel_ledger::{
    EndpointCursor, LedgerRecord, MemberRequest, MemberResponse, MembershipState,
    ProgramKey, QuotaPurpose, QuotaRequest, Reply, Request, Reservation,
    SharedConfiguration, SharedEndpoints,
};

use super::node::{ConnectionKey, Effect, Node};

/// Size of a part of a copy of all facts, in bytes.
const PART_BYTES: usize = 512 << 10;

impl Node {
    /// All facts in parts, for another instance.
    pub fn part(&self, cursor: u64) -> (Vec<LedgerRecord>, Option<u64>) {
        self.book.part(cursor, PART_BYTES)
    }

    pub(super) fn answer(
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
        let at_once = |body| Effect::Reply {
            connection: to,
            reply: reply(body),
        };
        if let Some(answer) = self.refusal(group_version, &body) {
            return vec![at_once(answer)];
        }
        match body {
            MemberRequest::Reserve(reservation) => {
                let (is_new, answer) = self.reserve(now_ms, &reservation);
                let fact = LedgerRecord::Reserved(reservation);
                self.append_and_reply(is_new, &[fact], to, reply(answer))
            }
            MemberRequest::Settle(settlement) => {
                let fact = LedgerRecord::Settled(settlement);
                self.merge_and_reply(now_ms, &[fact], to, reply(MemberResponse::Done))
            }
            MemberRequest::StoreTurn(record) => {
                let fact = LedgerRecord::Turn(record);
                self.merge_and_reply(now_ms, &[fact], to, reply(MemberResponse::Done))
            }
            MemberRequest::StoreRecords(facts) => {
                let facts: Vec<LedgerRecord> =
                    facts.into_iter().filter(LedgerRecord::is_shared).collect();
                self.merge_and_reply(now_ms, &facts, to, reply(MemberResponse::Done))
            }
            MemberRequest::AdoptGroup(group) => {
                let mut effects = self.learn_group(now_ms, group);
                effects.push(at_once(MemberResponse::Done));
                effects
            }
            MemberRequest::TakeQuota {
                configuration_version,
                wants,
            } if self.is_voting() => {
                let (answer, facts) = self.grant(now_ms, configuration_version, &wants);
                let mut effects = vec![at_once(answer)];
                if !facts.is_empty() {
                    effects.extend(self.append(&facts));
                }
                effects
            }
            body => vec![at_once(self.look_up(now_ms, body))],
        }
    }

    /// Merges a reservation. Returns whether it is new, and the program's charges.
    fn reserve(
        &mut self,
        now_ms: u64,
        reservation: &Reservation,
    ) -> (bool, MemberResponse) {
        let is_new = self
            .book
            .merge(now_ms, &LedgerRecord::Reserved(reservation.clone()));
        let answer = match self.is_voting() {
            true => MemberResponse::Charges(self.book.charges(&reservation.program)),
            false => MemberResponse::NotVoting,
        };
        (is_new, answer)
    }

    /// Why a question that needs the group cannot be answered.
    fn refusal(&self, group_version: u64, ask: &MemberRequest) -> Option<MemberResponse> {
        let needs_group = matches!(
            ask,
            MemberRequest::Reserve(_)
                | MemberRequest::Charges(_)
                | MemberRequest::StoreTurn(_)
                | MemberRequest::Chain { .. }
                | MemberRequest::TakeQuota { .. }
                | MemberRequest::CopyPart { .. }
        );
        match needs_group {
            false => None,
            true if group_version < self.group.version => {
                Some(MemberResponse::GroupSuperseded(self.group.clone()))
            }
            true if group_version > self.group.version => {
                Some(MemberResponse::Unavailable)
            }
            true if matches!(ask, MemberRequest::CopyPart { .. }) => None,
            true if self.standing == MembershipState::Spare => {
                Some(MemberResponse::NotVoting)
            }
            true => None,
        }
    }

    /// Answers a question that changes nothing on disk.
    fn look_up(&mut self, now_ms: u64, ask: MemberRequest) -> MemberResponse {
        match ask {
            MemberRequest::Charges(program) if self.is_voting() => {
                MemberResponse::Charges(self.book.charges(&program))
            }
            MemberRequest::Chain {
                turn,
                max_chain_turns,
            } => {
                let chain = self.book.chain(now_ms, &turn, max_chain_turns);
                match chain.turns.is_empty() && !self.is_voting() {
                    true => MemberResponse::NotVoting,
                    false => MemberResponse::Chain(chain.turns),
                }
            }
            MemberRequest::CopyPart { cursor } => {
                let (records, next) = self.part(cursor);
                MemberResponse::Part {
                    records,
                    next,
                    is_complete: self.is_voting() || self.was_complete(),
                }
            }
            MemberRequest::Status => MemberResponse::Status {
                is_voting: self.is_voting(),
                group_version: self.group.version,
            },
            MemberRequest::Configuration { known_revision } => {
                self.share_configuration(now_ms, known_revision)
            }
            MemberRequest::Presence { instance } => {
                MemberResponse::Presence(self.presence.hear(now_ms, &instance))
            }
            MemberRequest::Endpoints { known } => self.share_endpoints(now_ms, known),
            _ => MemberResponse::NotVoting,
        }
    }

    /// A member that left still holds all facts of the group before.
    fn was_complete(&self) -> bool {
        let version = self.book.complete_version();
        version.is_some_and(|version| version + 1 >= self.group.version)
    }

    fn grant(
        &mut self,
        now_ms: u64,
        version: u64,
        wants: &[QuotaRequest],
    ) -> (MemberResponse, Vec<LedgerRecord>) {
        let parts = match self.larger_parts {
            Some((until_ms, parts)) if now_ms < until_ms => parts,
            _ => self.group.members.len(),
        };
        let mut granted = Vec::new();
        let mut facts = Vec::new();
        for want in wants {
            let customer = &want.customer;
            self.rates.set_limit(now_ms, version, customer, want.limit);
            if self.is_budget_spent(want) {
                granted.push(want.requests);
                continue;
            }
            let quota_purpose = self.quota_purpose(want);
            let count =
                self.rates
                    .take(now_ms, customer, want.requests, parts, quota_purpose);
            granted.push(count);
            if count > 0 {
                let fact = LedgerRecord::Granted {
                    at_ms: now_ms,
                    customer: customer.clone(),
                    count,
                };
                self.book.merge(now_ms, &fact);
                facts.push(fact);
            }
        }
        (MemberResponse::Quota(granted), facts)
    }

    /// Whether the turn will not run, because its program has used its budget. It needs no
    /// token: programs that go on asking would use up the rate of their customer.
    fn is_budget_spent(&self, want: &QuotaRequest) -> bool {
        let Some((program, budget)) = want.program.as_deref().zip(want.budget) else {
            return false;
        };
        let program = ProgramKey::new(&want.customer, program);
        let total = self.book.used_tokens(&program) + u64::from(budget.max_turn_tokens);
        total > budget.budget_tokens
    }

    /// The turns of a program come through many instances, of which most have not seen it
    /// before. Its reservations are known to the group.
    fn quota_purpose(&self, want: &QuotaRequest) -> QuotaPurpose {
        let program = want.program.as_deref();
        let program = program.map(|program| ProgramKey::new(&want.customer, program));
        match program.is_some_and(|program| self.book.has_started(&program)) {
            true => QuotaPurpose::ContinueProgram,
            false => want.quota_purpose,
        }
    }

    fn share_endpoints(&mut self, now_ms: u64, known: EndpointCursor) -> MemberResponse {
        let Some(news) = self.endpoints.news_since(now_ms, known) else {
            return MemberResponse::Unavailable;
        };
        match postcard::to_stdvec(&news.changes) {
            Ok(content) => MemberResponse::Endpoints(SharedEndpoints {
                cursor: news.cursor,
                revision: news.revision,
                is_complete: news.is_complete,
                content: content.into(),
            }),
            Err(error) => {
                log::error!("event=endpoints_unwritable reason={error:?}");
                MemberResponse::Unavailable
            }
        }
    }

    fn share_configuration(&self, now_ms: u64, known_revision: u64) -> MemberResponse {
        match self.freshness.age_ms(now_ms) {
            Some(age_ms) => MemberResponse::Configuration(SharedConfiguration {
                revision: self.configuration_revision,
                age_ms,
                content: (self.configuration_revision > known_revision)
                    .then(|| self.configuration.clone()),
            }),
            None => MemberResponse::Unavailable,
        }
    }

    fn merge_and_reply(
        &mut self,
        now_ms: u64,
        facts: &[LedgerRecord],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let news: Vec<LedgerRecord> = facts
            .iter()
            .filter(|fact| self.book.merge(now_ms, fact))
            .cloned()
            .collect();
        self.append_and_reply(!news.is_empty(), &news, to, reply)
    }
}
