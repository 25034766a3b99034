//! Recent work by customer and by kind of request, and from it who is rejected first.

use std::collections::HashMap;

/// Time constant with which work is forgotten, in milliseconds: the duration of a burst, and
/// long enough for some tens of turns at one instance.
const DECAY_MS: f64 = 5_000.0;

/// Number of customers that are counted. If there are more, those with the least work are
/// forgotten.
const MAX_CUSTOMERS: usize = 1_024;

/// Number of kinds that are counted, with the same rule.
const MAX_KINDS: usize = 64;

/// Work, in units of the average turn, that is assumed to have been divided among the customers
/// in proportion to their weights. An instance sees few turns of each customer, and a customer
/// must not count as above its share because of a single one.
const PRIOR_TURNS: f64 = 8.0;

/// A customer is above its fair share if its work exceeds it by this factor.
const SHARE_TOLERANCE: f64 = 1.5;

/// Share of its programs of which each kind is certain, relative to the share that is admitted
/// of all. The less urgent kind would otherwise get nothing in a burst of the urgent one.
const MIN_KIND_SHARE: f64 = 0.35;

/// The customer and kind of a new program.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claimant<'a> {
    /// Name of the customer. Empty without one.
    pub customer: &'a str,
    /// Its weight relative to other customers. Above 0.
    pub weight: f64,
    /// The kind of request: the name of the route.
    pub kind: &'a str,
    /// Urgency of the kind. 0 is the most urgent.
    pub rank: u8,
}

/// An amount that decays with time.
#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    amount: f64,
    updated_ms: u64,
}

impl Decaying {
    fn at(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.amount * (-age_ms / DECAY_MS).exp()
    }

    fn add(&mut self, now_ms: u64, amount: f64) {
        self.amount = self.at(now_ms) + amount;
        self.updated_ms = now_ms;
    }
}

#[derive(Clone, Copy, Debug)]
struct CustomerWork {
    weight: f64,
    /// Tokens of the turns that were admitted.
    tokens: Decaying,
}

#[derive(Clone, Copy, Debug)]
struct KindDemand {
    rank: u8,
    /// New programs, admitted or not.
    programs: Decaying,
}

/// Work and demand of all customers and kinds at one service.
#[derive(Debug, Default)]
pub struct WorkCounters {
    /// At most [`MAX_CUSTOMERS`].
    customers: HashMap<String, CustomerWork>,
    /// At most [`MAX_KINDS`].
    kinds: HashMap<String, KindDemand>,
    /// Tokens and number of all admitted turns, for the average turn.
    tokens: Decaying,
    turns: Decaying,
}

impl WorkCounters {
    /// Counts a turn that was admitted.
    pub fn record_turn(&mut self, now_ms: u64, customer: &str, weight: f64, tokens: u32) {
        let tokens = f64::from(tokens.max(1));
        self.tokens.add(now_ms, tokens);
        self.turns.add(now_ms, 1.0);
        if let Some(work) = self.customers.get_mut(customer) {
            work.weight = usable_weight(weight);
            work.tokens.add(now_ms, tokens);
            return;
        }
        if self.customers.len() >= MAX_CUSTOMERS {
            forget_least(&mut self.customers, |work| work.tokens.at(now_ms));
        }
        let mut work = CustomerWork {
            weight: usable_weight(weight),
            tokens: Decaying::default(),
        };
        work.tokens.add(now_ms, tokens);
        self.customers.insert(customer.to_string(), work);
    }

    /// Counts a new program, before the decision about it.
    pub fn record_program(&mut self, now_ms: u64, claimant: &Claimant<'_>) {
        if !self.kinds.contains_key(claimant.kind) && self.kinds.len() >= MAX_KINDS {
            forget_least(&mut self.kinds, |kind| kind.programs.at(now_ms));
        }
        let kind = self.kinds.entry(claimant.kind.to_string());
        let kind = kind.or_insert(KindDemand {
            rank: claimant.rank,
            programs: Decaying::default(),
        });
        kind.rank = claimant.rank;
        kind.programs.add(now_ms, 1.0);
    }

    /// Share of a customer's new programs to admit if `share` of all are admitted. Below 1 only
    /// for a customer above its fair share.
    ///
    /// The fair shares are those of max-min fairness: a customer with less work than its weight
    /// allows leaves the rest to the others.
    pub fn customer_share(
        &self,
        now_ms: u64,
        claimant: &Claimant<'_>,
        share: f64,
    ) -> f64 {
        let turns = self.turns.at(now_ms);
        if share >= 1.0 || turns < f64::EPSILON {
            return 1.0;
        }
        let average_turn_tokens = self.tokens.at(now_ms) / turns;
        let prior_tokens = PRIOR_TURNS * average_turn_tokens;
        let total_weight: f64 = self.customers.values().map(|work| work.weight).sum();
        let is_known = self.customers.contains_key(claimant.customer);
        let own_weight = usable_weight(claimant.weight);
        let total_weight = total_weight + if is_known { 0.0 } else { own_weight };
        let prior_per_weight = prior_tokens / total_weight;
        let mut works: Vec<(f64, f64)> = self
            .customers
            .values()
            .map(|work| {
                let tokens = work.tokens.at(now_ms) + prior_per_weight * work.weight;
                (tokens / work.weight, work.weight)
            })
            .collect();
        let own = self.customers.get(claimant.customer);
        let own_tokens = own.map_or(0.0, |work| work.tokens.at(now_ms));
        let own_per_weight = own_tokens / own_weight + prior_per_weight;
        let level_per_weight = fair_level(&mut works, share);
        let bound_per_weight = SHARE_TOLERANCE * level_per_weight;
        match own_per_weight > bound_per_weight {
            true => (bound_per_weight / own_per_weight).powi(2),
            false => 1.0,
        }
    }

    /// Share of a kind's new programs to admit if `share` of all are admitted: the less urgent
    /// kinds make room first, but each keeps a minimum.
    pub fn kind_share(&self, now_ms: u64, claimant: &Claimant<'_>, share: f64) -> f64 {
        if share >= 1.0 {
            return 1.0;
        }
        let mut more_urgent = 0.0;
        let mut same = 0.0;
        let mut less_urgent = 0.0;
        for kind in self.kinds.values() {
            let programs = kind.programs.at(now_ms);
            match kind.rank.cmp(&claimant.rank) {
                std::cmp::Ordering::Less => more_urgent += programs,
                std::cmp::Ordering::Equal => same += programs,
                std::cmp::Ordering::Greater => less_urgent += programs,
            }
        }
        if same < f64::EPSILON {
            return share;
        }
        let min_share = MIN_KIND_SHARE * share;
        let room = share * (more_urgent + same + less_urgent);
        let reserved = min_share * less_urgent;
        // More urgent kinds take what they need beyond the minimum of the others.
        let for_more_urgent =
            more_urgent.min((room - reserved - min_share * same).max(0.0));
        ((room - reserved - for_more_urgent) / same).clamp(min_share, 1.0)
    }
}

fn usable_weight(weight: f64) -> f64 {
    match weight.is_finite() && weight > 0.0 {
        true => weight,
        false => 1.0,
    }
}

/// Level to which the work per weight of all customers must be cut so that `share` of the total is
/// left. Each entry has the work per weight and the weight.
fn fair_level(works: &mut [(f64, f64)], share: f64) -> f64 {
    works.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let total: f64 = works.iter().map(|(work, weight)| work * weight).sum();
    let mut room = share * total;
    let mut weight_left: f64 = works.iter().map(|(_, weight)| weight).sum();
    for (work, weight) in works.iter() {
        if work * weight_left >= room {
            break;
        }
        room -= work * weight;
        weight_left -= weight;
    }
    room / weight_left.max(f64::MIN_POSITIVE)
}

fn forget_least<V>(entries: &mut HashMap<String, V>, amount: impl Fn(&V) -> f64) {
    let least = entries
        .iter()
        .min_by(|(_, a), (_, b)| amount(a).total_cmp(&amount(b)))
        .map(|(name, _)| name.clone());
    if let Some(name) = least {
        entries.remove(&name);
    }
}
