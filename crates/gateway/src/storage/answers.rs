//! What an instance with a disk answers to others.

use jayreel_ledger::{
    Answer, Ask, EndpointCursor, Fact, ProgramKey, QuotaUse, QuotaWant, Reply, Request,
    Reservation, SharedConfiguration, SharedEndpoints, Standing,
};

use super::node::{ConnectionKey, Effect, Node};

/// Size of a part of a copy of all facts, in bytes.
const PART_BYTES: usize = 512 << 10;

impl Node {
    /// All facts in parts, for another instance.
    pub fn part(&self, cursor: u64) -> (Vec<Fact>, Option<u64>) {
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
            ask,
        } = request;
        let reply = |answer| Reply { id, answer };
        let at_once = |answer| Effect::Reply {
            connection: to,
            reply: reply(answer),
        };
        if let Some(answer) = self.refusal(group_version, &ask) {
            return vec![at_once(answer)];
        }
        match ask {
            Ask::Reserve(reservation) => {
                let (is_new, answer) = self.reserve(now_ms, &reservation);
                let fact = Fact::Reserved(reservation);
                self.append_and_reply(is_new, &[fact], to, reply(answer))
            }
            Ask::Settle(settlement) => {
                let fact = Fact::Settled(settlement);
                self.merge_and_reply(now_ms, &[fact], to, reply(Answer::Done))
            }
            Ask::KeepTurn(record) => {
                let fact = Fact::Turn(record);
                self.merge_and_reply(now_ms, &[fact], to, reply(Answer::Done))
            }
            Ask::KeepFacts(facts) => {
                let facts: Vec<Fact> =
                    facts.into_iter().filter(Fact::is_shared).collect();
                self.merge_and_reply(now_ms, &facts, to, reply(Answer::Done))
            }
            Ask::Adopt(group) => {
                let mut effects = self.learn_group(now_ms, group);
                effects.push(at_once(Answer::Done));
                effects
            }
            Ask::TakeQuota {
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
            ask => vec![at_once(self.look_up(now_ms, ask))],
        }
    }

    /// Merges a reservation. Returns whether it is new, and the program's charges.
    fn reserve(&mut self, now_ms: u64, reservation: &Reservation) -> (bool, Answer) {
        let is_new = self
            .book
            .merge(now_ms, &Fact::Reserved(reservation.clone()));
        let answer = match self.is_voting() {
            true => Answer::Charges(self.book.charges(&reservation.program)),
            false => Answer::NotVoting,
        };
        (is_new, answer)
    }

    /// Why a question that needs the group cannot be answered.
    fn refusal(&self, group_version: u64, ask: &Ask) -> Option<Answer> {
        let needs_group = matches!(
            ask,
            Ask::Reserve(_)
                | Ask::Charges(_)
                | Ask::KeepTurn(_)
                | Ask::Chain { .. }
                | Ask::TakeQuota { .. }
                | Ask::CopyPart { .. }
        );
        match needs_group {
            false => None,
            true if group_version < self.group.version => {
                Some(Answer::Closed(self.group.clone()))
            }
            true if group_version > self.group.version => Some(Answer::Unavailable),
            true if matches!(ask, Ask::CopyPart { .. }) => None,
            true if self.standing == Standing::Spare => Some(Answer::NotVoting),
            true => None,
        }
    }

    /// Answers a question that changes nothing on disk.
    fn look_up(&mut self, now_ms: u64, ask: Ask) -> Answer {
        match ask {
            Ask::Charges(program) if self.is_voting() => {
                Answer::Charges(self.book.charges(&program))
            }
            Ask::Chain { turn, most_turns } => {
                let chain = self.book.chain(now_ms, &turn, most_turns);
                match chain.turns.is_empty() && !self.is_voting() {
                    true => Answer::NotVoting,
                    false => Answer::Chain(chain.turns),
                }
            }
            Ask::CopyPart { cursor } => {
                let (facts, next) = self.part(cursor);
                Answer::Part {
                    facts,
                    next,
                    is_complete: self.is_voting() || self.was_complete(),
                }
            }
            Ask::Status => Answer::Status {
                is_voting: self.is_voting(),
                group_version: self.group.version,
            },
            Ask::Configuration { known_revision } => {
                self.share_configuration(now_ms, known_revision)
            }
            Ask::Presence { instance } => {
                Answer::Presence(self.presence.record_message(now_ms, &instance))
            }
            Ask::Endpoints { known } => self.share_endpoints(now_ms, known),
            _ => Answer::NotVoting,
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
        wants: &[QuotaWant],
    ) -> (Answer, Vec<Fact>) {
        let parts = match self.larger_parts {
            Some((until_ms, parts)) if now_ms < until_ms => parts,
            _ => self.group.members.len(),
        };
        let mut granted = Vec::new();
        let mut facts = Vec::new();
        for want in wants {
            let customer = &want.customer;
            self.rates.learn(now_ms, version, customer, want.limit);
            if self.is_budget_spent(want) {
                granted.push(want.requests);
                continue;
            }
            let quota_use = self.quota_use(want);
            let count =
                self.rates
                    .take(now_ms, customer, want.requests, parts, quota_use);
            granted.push(count);
            if count > 0 {
                let fact = Fact::Granted {
                    at_ms: now_ms,
                    customer: customer.clone(),
                    count,
                };
                self.book.merge(now_ms, &fact);
                facts.push(fact);
            }
        }
        (Answer::Quota(granted), facts)
    }

    /// Whether the turn will not run, because its program has used its budget. It needs no
    /// token: programs that go on asking would use up the rate of their customer.
    fn is_budget_spent(&self, want: &QuotaWant) -> bool {
        let Some((program, budget)) = want.program.as_deref().zip(want.budget) else {
            return false;
        };
        let program = ProgramKey::new(&want.customer, program);
        let total = self.book.used_tokens(&program) + u64::from(budget.most_tokens);
        total > budget.budget_tokens
    }

    /// The turns of a program come through many instances, of which most have not seen it
    /// before. Its reservations are known to the group.
    fn quota_use(&self, want: &QuotaWant) -> QuotaUse {
        let program = want.program.as_deref();
        let program = program.map(|program| ProgramKey::new(&want.customer, program));
        match program.is_some_and(|program| self.book.has_begun(&program)) {
            true => QuotaUse::GoOn,
            false => want.quota_use,
        }
    }

    fn share_endpoints(&mut self, now_ms: u64, known: EndpointCursor) -> Answer {
        let Some(news) = self.endpoints.update_since(now_ms, known) else {
            return Answer::Unavailable;
        };
        match postcard::to_stdvec(&news.changes) {
            Ok(content) => Answer::Endpoints(SharedEndpoints {
                cursor: news.cursor,
                revision: news.revision,
                is_complete: news.is_complete,
                content: content.into(),
            }),
            Err(error) => {
                log::error!("event=endpoints_unwritable reason={error:?}");
                Answer::Unavailable
            }
        }
    }

    fn share_configuration(&self, now_ms: u64, known_revision: u64) -> Answer {
        match self.freshness.age_ms(now_ms) {
            Some(age_ms) => Answer::Configuration(SharedConfiguration {
                revision: self.configuration_revision,
                age_ms,
                content: (self.configuration_revision > known_revision)
                    .then(|| self.configuration.clone()),
            }),
            None => Answer::Unavailable,
        }
    }

    fn merge_and_reply(
        &mut self,
        now_ms: u64,
        facts: &[Fact],
        to: ConnectionKey,
        reply: Reply,
    ) -> Vec<Effect> {
        let news: Vec<Fact> = facts
            .iter()
            .filter(|fact| self.book.merge(now_ms, fact))
            .cloned()
            .collect();
        self.append_and_reply(!news.is_empty(), &news, to, reply)
    }
}
