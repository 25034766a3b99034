//! Retention policies: how long engines keep the cache of a program that has no running
//! call.

use std::collections::BTreeMap;
use std::fmt::Debug;

use jayreel_model::ClassOfService;

/// Number of histogram buckets. Bucket `i` counts pauses from 2^(i-1) ms up to but not
/// including 2^i ms; the last one ends at about 70 minutes and also counts longer pauses.
const BUCKETS: usize = 23;

/// Minimum number of recorded pauses for the histogram to be used.
const MIN_SAMPLES: u64 = 20;

/// Number of recorded pauses at which all counts are halved, so that the histogram follows
/// changes in behavior.
const MAX_SAMPLES: u64 = 4_096;

/// Decides how long the cache of an idle program is kept. A pause is the time between the
/// end of a program's last running call and its next call.
pub trait RetentionPolicy: Debug + Send {
    /// Time to keep the cache of an idle program of the class. `None` keeps it until the
    /// program ends.
    fn keep_ms(&self, class: ClassOfService) -> Option<u64>;

    /// Records that a program made its next call after a pause.
    fn record_return(&mut self, class: ClassOfService, pause_ms: u64);

    /// Records that an idle program ended without another call.
    fn record_end(&mut self, class: ClassOfService);
}

/// Baseline: keeps the cache until the program ends.
#[derive(Clone, Copy, Debug)]
pub struct KeepUntilEnd;

impl RetentionPolicy for KeepUntilEnd {
    fn keep_ms(&self, _class: ClassOfService) -> Option<u64> {
        None
    }

    fn record_return(&mut self, _class: ClassOfService, _pause_ms: u64) {}

    fn record_end(&mut self, _class: ClassOfService) {}
}

/// Keeps the cache for the time with the lowest expected cost, given a histogram of the
/// pauses in programs of the same class. Costs are expressed as time of keeping the cache.
#[derive(Clone, Debug)]
pub struct ReturnHistogram {
    recompute_cost_ms: u64,
    classes: BTreeMap<ClassOfService, Pauses>,
}

impl ReturnHistogram {
    /// Creates a policy without samples. `recompute_cost_ms` is the cost of recomputing a
    /// cache, as the time of keeping it that costs the same.
    pub fn new(recompute_cost_ms: u64) -> ReturnHistogram {
        ReturnHistogram {
            recompute_cost_ms,
            classes: BTreeMap::new(),
        }
    }
}

impl RetentionPolicy for ReturnHistogram {
    /// With too few samples, the cache is kept until that has cost as much as recomputing
    /// it. This costs at most twice as much as the best choice in hindsight.
    fn keep_ms(&self, class: ClassOfService) -> Option<u64> {
        let pauses = self.classes.get(&class);
        let known = pauses.filter(|pauses| pauses.total() >= MIN_SAMPLES);
        Some(match known {
            Some(pauses) => pauses.best_keep_ms(self.recompute_cost_ms),
            None => self.recompute_cost_ms,
        })
    }

    fn record_return(&mut self, class: ClassOfService, pause_ms: u64) {
        let pauses = self.classes.entry(class).or_default();
        pauses.returned[bucket(pause_ms)] += 1;
        pauses.decay();
    }

    fn record_end(&mut self, class: ClassOfService) {
        let pauses = self.classes.entry(class).or_default();
        pauses.ended += 1;
        pauses.decay();
    }
}

/// Recorded pauses in the programs of one class.
#[derive(Clone, Debug, Default)]
struct Pauses {
    /// Number of pauses that ended with another call, by length.
    returned: [u64; BUCKETS],
    /// Number of pauses that ended with the end of the program.
    ended: u64,
}

impl Pauses {
    fn total(&self) -> u64 {
        self.returned.iter().sum::<u64>() + self.ended
    }

    fn decay(&mut self) {
        if self.total() >= MAX_SAMPLES {
            self.returned.iter_mut().for_each(|count| *count /= 2);
            self.ended /= 2;
        }
    }

    /// The upper limit of a bucket, or zero, that has the lowest expected cost as keep time.
    fn best_keep_ms(&self, recompute_cost_ms: u64) -> u64 {
        let limits = (0..BUCKETS).map(bucket_limit_ms);
        std::iter::once(0)
            .chain(limits)
            .min_by_key(|keep_ms| self.cost(*keep_ms, recompute_cost_ms))
            .unwrap_or(0)
    }

    /// Total cost of the recorded pauses if the cache had been kept for `keep_ms`: the time
    /// of keeping it, plus a recomputation if the program came back later than that.
    fn cost(&self, keep_ms: u64, recompute_cost_ms: u64) -> u64 {
        let returned = self.returned.iter().enumerate();
        let returned_cost: u64 = returned
            .map(|(bucket, count)| match bucket_limit_ms(bucket) <= keep_ms {
                true => count * bucket_limit_ms(bucket),
                false => count * (keep_ms + recompute_cost_ms),
            })
            .sum();
        returned_cost + self.ended * keep_ms
    }
}

/// Index of the bucket that counts a pause of this length.
fn bucket(pause_ms: u64) -> usize {
    let bits = (u64::BITS - pause_ms.leading_zeros()) as usize;
    bits.min(BUCKETS - 1)
}

/// Upper limit of a bucket, exclusive.
fn bucket_limit_ms(bucket: usize) -> u64 {
    1 << bucket
}
