//! The home weight that an instance may use, now and in the future.

/// A weight and the time from which on it may be used.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Step {
    weight_ppm: u32,
    from_ms: u64,
}

/// The home weight of this instance over time, until its validity ends.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(crate) struct HomeSchedule {
    /// Ordered by time and by weight. The last one is the weight last set.
    steps: Vec<Step>,
    /// The weight is 0 from this time on.
    valid_until_ms: u64,
    /// Whether the validity ended since the last renewal.
    expired: bool,
}

impl HomeSchedule {
    /// Sets the weight. A decrease takes effect at once. An increase takes effect at once
    /// up to `settled_ppm`, and `delay_ms` later beyond it.
    pub fn set(
        &mut self,
        now_ms: u64,
        weight_ppm: u32,
        settled_ppm: u32,
        valid_until_ms: u64,
        delay_ms: u64,
    ) {
        self.clear_if_expired(now_ms);
        self.drop_past_steps(now_ms);
        for step in &mut self.steps {
            step.weight_ppm = step.weight_ppm.min(weight_ppm);
        }
        self.steps.dedup_by_key(|step| step.weight_ppm);
        self.raise_to(now_ms, settled_ppm.min(weight_ppm));
        if self.target_ppm() < weight_ppm {
            let from_ms = now_ms + delay_ms;
            self.steps.push(Step {
                weight_ppm,
                from_ms,
            });
        }
        self.valid_until_ms = self.valid_until_ms.max(valid_until_ms);
    }

    /// Extends the validity, unless it has ended, in which case another instance may have
    /// reclaimed the weight. Returns false if it ended since the last renewal.
    pub fn renew(&mut self, now_ms: u64, valid_until_ms: u64) -> bool {
        self.clear_if_expired(now_ms);
        if !self.steps.is_empty() {
            self.valid_until_ms = self.valid_until_ms.max(valid_until_ms);
        }
        !std::mem::take(&mut self.expired)
    }

    /// The weight in effect at `at_ms`.
    pub fn weight_at(&self, at_ms: u64) -> u32 {
        if at_ms >= self.valid_until_ms {
            return 0;
        }
        self.steps
            .iter()
            .rev()
            .find(|step| step.from_ms <= at_ms)
            .map_or(0, |step| step.weight_ppm)
    }

    /// The time of the first change of the weight after `after_ms`, the end of the
    /// validity included.
    pub fn next_change_ms(&self, after_ms: u64) -> Option<u64> {
        self.steps
            .iter()
            .map(|step| step.from_ms)
            .chain([self.valid_until_ms])
            .filter(|&at_ms| at_ms > after_ms)
            .min()
    }

    /// The weight once all increases have taken effect.
    pub fn target_ppm(&self) -> u32 {
        self.steps.last().map_or(0, |step| step.weight_ppm)
    }

    /// Drops the weight if its validity has ended.
    pub fn clear_if_expired(&mut self, now_ms: u64) {
        if now_ms >= self.valid_until_ms && !self.steps.is_empty() {
            self.steps.clear();
            self.expired = true;
        }
    }

    /// Raises the weight in effect to at least `weight_ppm`.
    fn raise_to(&mut self, now_ms: u64, weight_ppm: u32) {
        let mut past = self.steps.iter().filter(|step| step.from_ms <= now_ms);
        let counts = past.any(|step| step.weight_ppm >= weight_ppm);
        if weight_ppm == 0 || counts {
            return;
        }
        self.steps.retain(|step| step.weight_ppm > weight_ppm);
        let step = Step {
            weight_ppm,
            from_ms: now_ms,
        };
        self.steps.insert(0, step);
    }

    /// Drops the steps before the one in effect.
    fn drop_past_steps(&mut self, now_ms: u64) {
        let past = self
            .steps
            .iter()
            .filter(|step| step.from_ms <= now_ms)
            .count();
        self.steps.drain(..past.saturating_sub(1));
    }
}
