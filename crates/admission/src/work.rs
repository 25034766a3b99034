//! Recent work by customer and by kind of request, and from it who is rejected first.

use std::cmp::Ordering;
use std::collections::HashMap;

/// Time constant with which work is forgotten, in milliseconds: the duration of a burst, and
/// long enough for some tens of turns at one instance.
const DECAY_MS: f64 = 5_000.0;

/// Number of customers that are counted. If there are more, those with the least work are
/// forgotten.
const MAX_CUSTOMERS: usize = 1_024;

/// Number of kinds that are counted, with the same rule.
const MAX_KINDS: usize = 64;

/// Part of the whole demand that fair shares add up to. With more, a customer with a third of the
/// demand of twelve customers is hardly above its fair share.
const FAIR_PART: f64 = 0.5;

/// A customer is above its fair share if its demand exceeds it by this factor, and by a part of a
/// program. Customers with the same demand per weight are never above it.
const SHARE_TOLERANCE: f64 = 2.0;

/// Number of programs by which each customer may exceed its fair share in addition. An instance
/// sees few programs of each customer.
const TOLERATED_PROGRAMS: f64 = 0.5;

/// Exponent of the part that a customer above its fair share keeps, once `FULL_CUT` of all programs
/// are rejected; proportionally less before. Its demand lasts while it is rejected, so that cutting
/// it just to its share leaves most of the rejections to the others: with an exponent of 3, others
/// lost more programs in the model of `tests/model`.
const EXCESS_EXPONENT: f64 = 6.0;

/// Part of all programs that must be rejected for a full cut of the customers above their share.
const FULL_CUT: f64 = 0.3;

/// Part of the programs of each kind that is always admitted, relative to the share of all
/// programs. The less urgent kind would otherwise get nothing in a burst of the urgent one.
const MIN_KIND_SHARE: f64 = 0.4;

/// Part of the programs of a kind that is always admitted while a less urgent kind can make room.
/// Engines run urgent turns first, so many of them end in time even under high pressure.
const MIN_URGENT_SHARE: f64 = 0.4;

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
        self.amount = (self.at(now_ms) + amount).max(0.0);
        self.updated_ms = now_ms;
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct CustomerWork {
    weight: f64,
    /// Tokens of the turns that were admitted, and of the programs that were rejected.
    demand_tokens: Decaying,
}

#[derive(Clone, Debug, Default)]
struct KindWork {
    name: String,
    /// Two customers may have different ranks on the same route. They are then of two kinds.
    rank: u8,
    /// New programs, admitted or not. Retries don't count.
    programs: Decaying,
    /// New programs that were admitted.
    admitted: Decaying,
    /// Tokens of the turns that were admitted.
    tokens: Decaying,
}

impl KindWork {
    fn is_of(&self, claimant: &Claimant<'_>) -> bool {
        self.rank == claimant.rank && self.name == claimant.kind
    }

    /// Expected tokens of all turns of one program.
    fn program_tokens(&self, now_ms: u64) -> f64 {
        let programs = self.admitted.at(now_ms).max(1.0);
        (self.tokens.at(now_ms) / programs).max(1.0)
    }
}

/// Which part of the new programs of one customer and kind is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shares {
    /// Part that the customer keeps. Below 1 if it is above its fair share.
    pub of_customer: f64,
    /// Part that the kind keeps of what its customers keep.
    pub of_kind: f64,
}

impl Shares {
    /// Everything is admitted.
    pub const ALL: Shares = Shares {
        of_customer: 1.0,
        of_kind: 1.0,
    };
}

/// Recent work and demand of all customers and kinds at one service.
#[derive(Debug, Default)]
pub struct WorkCounters {
    /// At most [`MAX_CUSTOMERS`].
    customers: HashMap<String, CustomerWork>,
    /// At most [`MAX_KINDS`].
    kinds: Vec<KindWork>,
}

impl WorkCounters {
    /// Counts a turn that was admitted.
    pub fn record_turn(&mut self, now_ms: u64, claimant: &Claimant<'_>, tokens: u32) {
        let tokens = f64::from(tokens.max(1));
        self.add_demand(now_ms, claimant, tokens);
        self.kind(now_ms, claimant).tokens.add(now_ms, tokens);
    }

    /// Counts a new program at its first attempt.
    pub fn record_program(&mut self, now_ms: u64, claimant: &Claimant<'_>) {
        self.kind(now_ms, claimant).programs.add(now_ms, 1.0);
    }

    /// Counts a new program that was admitted. `was_rejected` if that was not its first attempt:
    /// its demand was counted then.
    pub fn record_admission(
        &mut self,
        now_ms: u64,
        claimant: &Claimant<'_>,
        was_rejected: bool,
    ) {
        let kind = self.kind(now_ms, claimant);
        kind.admitted.add(now_ms, 1.0);
        if was_rejected {
            let tokens = kind.program_tokens(now_ms);
            self.add_demand(now_ms, claimant, -tokens);
        }
    }

    /// Counts the demand of a program that was rejected at its first attempt.
    pub fn record_rejection(&mut self, now_ms: u64, claimant: &Claimant<'_>) {
        let tokens = self.kind(now_ms, claimant).program_tokens(now_ms);
        self.add_demand(now_ms, claimant, tokens);
    }

    /// Which part of a customer's new programs of one kind is admitted, if `share` of all are.
    ///
    /// First, customers above their fair share are cut. Fair shares are those of max-min fairness
    /// with weights: what a customer leaves unused goes to the others. What must still be rejected
    /// comes from the less urgent kinds first.
    pub fn shares(&self, now_ms: u64, claimant: &Claimant<'_>, share: f64) -> Shares {
        if share >= 1.0 {
            return Shares::ALL;
        }
        let (of_customer, remaining_share) = self.cut_customers(now_ms, claimant, share);
        Shares {
            of_customer,
            of_kind: self.kind_share(now_ms, claimant, remaining_share),
        }
    }

    /// The part that a customer keeps, and the share that must then be admitted of what all
    /// customers keep.
    fn cut_customers(
        &self,
        now_ms: u64,
        claimant: &Claimant<'_>,
        share: f64,
    ) -> (f64, f64) {
        let tokens: f64 = self.kinds.iter().map(|kind| kind.tokens.at(now_ms)).sum();
        let admitted: f64 = self.kinds.iter().map(|kind| kind.admitted.at(now_ms)).sum();
        let tolerated_tokens = TOLERATED_PROGRAMS * tokens / admitted.max(1.0);
        let demand = |work: &CustomerWork| work.demand_tokens.at(now_ms);
        let total: f64 = self.customers.values().map(demand).sum();
        let level = self.fair_level(now_ms, FAIR_PART * total);
        let bound = |work: &CustomerWork| {
            SHARE_TOLERANCE * level * work.weight + tolerated_tokens
        };
        let excess = |work: &CustomerWork| (demand(work) - bound(work)).max(0.0);
        let total_excess: f64 = self.customers.values().map(excess).sum();
        let own = self.customers.get(claimant.customer);
        let own_excess = own.map_or(0.0, |own| excess(own) / demand(own).max(1.0));
        let exponent = EXCESS_EXPONENT * ((1.0 - share) / FULL_CUT).min(1.0);
        let kept = (1.0 - own_excess).powf(exponent);
        let to_reject = (1.0 - share) * total;
        match total_excess >= to_reject {
            true => (kept, 1.0),
            false => (kept, share * total / (total - total_excess)),
        }
    }

    /// Tokens per weight to which demands must be cut for their sum to be `room_tokens`.
    fn fair_level(&self, now_ms: u64, room_tokens: f64) -> f64 {
        let mut demands: Vec<(f64, f64)> = self
            .customers
            .values()
            .map(|work| (work.demand_tokens.at(now_ms) / work.weight, work.weight))
            .collect();
        demands.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let mut room_tokens = room_tokens;
        let mut weight_left: f64 = demands.iter().map(|(_, weight)| weight).sum();
        for (per_weight, weight) in demands {
            if per_weight * weight_left >= room_tokens {
                break;
            }
            room_tokens -= per_weight * weight;
            weight_left -= weight;
        }
        match weight_left > 0.0 {
            true => room_tokens.max(0.0) / weight_left,
            false => 0.0,
        }
    }

    /// The part that a kind keeps if `share` of the work of all kinds is admitted: the less urgent
    /// kinds make room first, but each keeps a minimum.
    fn kind_share(&self, now_ms: u64, claimant: &Claimant<'_>, share: f64) -> f64 {
        if share >= 1.0 {
            return 1.0;
        }
        let (mut more_urgent, mut same, mut less_urgent) = (0.0, 0.0, 0.0);
        for kind in &self.kinds {
            let work = kind.programs.at(now_ms) * kind.program_tokens(now_ms);
            match kind.rank.cmp(&claimant.rank) {
                Ordering::Less => more_urgent += work,
                Ordering::Equal => same += work,
                Ordering::Greater => less_urgent += work,
            }
        }
        if same < f64::EPSILON {
            return share;
        }
        let min_share = MIN_KIND_SHARE * share;
        let room = share * (more_urgent + same + less_urgent);
        let reserved = min_share * less_urgent;
        let for_more_urgent =
            more_urgent.min((room - reserved - min_share * same).max(0.0));
        let for_same = (room - reserved - for_more_urgent) / same;
        match less_urgent > 0.0 {
            true => for_same.clamp(MIN_URGENT_SHARE, 1.0),
            false => for_same.clamp(min_share, 1.0),
        }
    }

    fn add_demand(&mut self, now_ms: u64, claimant: &Claimant<'_>, tokens: f64) {
        let is_known = self.customers.contains_key(claimant.customer);
        if !is_known && self.customers.len() >= MAX_CUSTOMERS {
            forget_least(&mut self.customers, |work| work.demand_tokens.at(now_ms));
        }
        let work = entry(&mut self.customers, claimant.customer);
        work.weight = match claimant.weight.is_finite() && claimant.weight > 0.0 {
            true => claimant.weight,
            false => 1.0,
        };
        work.demand_tokens.add(now_ms, tokens);
    }

    fn kind(&mut self, now_ms: u64, claimant: &Claimant<'_>) -> &mut KindWork {
        let known = self.kinds.iter().position(|kind| kind.is_of(claimant));
        let index = known.unwrap_or_else(|| {
            if self.kinds.len() >= MAX_KINDS {
                let work = |kind: &KindWork| kind.programs.at(now_ms);
                let least = (0..self.kinds.len()).min_by(|a, b| {
                    work(&self.kinds[*a]).total_cmp(&work(&self.kinds[*b]))
                });
                least.map(|index| self.kinds.swap_remove(index));
            }
            self.kinds.push(KindWork {
                name: claimant.kind.to_string(),
                rank: claimant.rank,
                ..KindWork::default()
            });
            self.kinds.len() - 1
        });
        &mut self.kinds[index]
    }
}

/// The entry of a name, without a copy of the name if it exists.
fn entry<'a, V: Default>(entries: &'a mut HashMap<String, V>, name: &str) -> &'a mut V {
    if !entries.contains_key(name) {
        entries.insert(name.to_string(), V::default());
    }
    entries.get_mut(name).expect("it was inserted")
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
