//! What one entry instance knows about the rate limit of one endpoint.
//!
//! An endpoint names its limit in responses, and members tell of responses that other instances
//! got. Responses overtake each other: the limit in the newest one counts, and a response
//! without a limit lifts it only if its request was sent after the limit was last named.
//!
//! An endpoint that is cold after its start is limited too, to the rate of its service. The end
//! of the cold time comes from the registry, from responses and from members; the latest counts.

use jayreel_ledger::{
    COLD_END_TOLERANCE_MS, COLD_PAUSE_MS, ColdReport, LimitReport, MAX_COLD_MS, RAMP_MS,
    limit_lifetime_ms,
};

/// How long an endpoint that a member listed counts as limited, in milliseconds: a few intervals
/// at which the list is requested.
const LISTED_LIFETIME_MS: u64 = 1_000;

/// Shortest time between two reports of an unchanged limit to the members, in milliseconds.
/// Reports of other instances count.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// The rate limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitView {
    /// Requests per second that it accepts from all entry instances together. `None` if it set no
    /// limit.
    limit_per_s: Option<f64>,
    /// When the response came that said so. For a response without a limit, when its request was
    /// sent.
    heard_ms: u64,
    /// When the newest response came that the members know.
    reported_ms: u64,
    /// Until this time tokens are needed whatever `limit_per_s` is: a member still listed it.
    listed_until_ms: u64,
    /// Until this time no member has a token.
    exhausted_until_ms: u64,
    /// Requests per second that the endpoint may get from all entry instances together while it is
    /// cold. 0 if its service has no such limit.
    cold_per_s: f64,
    /// The latest known end of a cold time. `None` if the endpoint has not been cold.
    cold_until_ms: Option<u64>,
    /// When the members last knew of the cold time.
    cold_reported_ms: u64,
    /// When a response last said that the endpoint is cold while it was used without tokens.
    surprised_ms: Option<u64>,
}

impl LimitView {
    /// The view of an endpoint of which nothing is known except the rate of its service.
    pub(crate) fn new(cold_per_s: f64) -> LimitView {
        LimitView {
            cold_per_s,
            ..LimitView::default()
        }
    }

    /// Takes the rate of the endpoint's service. 0 for none.
    pub(crate) fn set_cold_rate(&mut self, cold_per_s: f64) {
        self.cold_per_s = cold_per_s;
    }

    /// Takes a cold time that ends at `until_ms`. Returns whether that is news: it ends later than
    /// was known.
    pub(crate) fn extend_cold(&mut self, until_ms: u64) -> bool {
        let known_ms = self.cold_until_ms;
        let is_news =
            known_ms.is_none_or(|known_ms| until_ms > known_ms + COLD_END_TOLERANCE_MS);
        if is_news {
            self.cold_until_ms = Some(until_ms);
        }
        is_news
    }

    /// Takes the cold time that a response named. Returns whether the members should be told.
    pub(crate) fn hear_cold(&mut self, now_ms: u64, left_ms: u64) -> bool {
        let needed_token = self.needs_token(now_ms);
        let is_news = left_ms > 0 && self.extend_cold(now_ms + left_ms);
        if is_news && !needed_token {
            self.surprised_ms = Some(now_ms);
        }
        let is_due = now_ms >= self.cold_reported_ms + REPORT_INTERVAL_MS;
        let is_reported = self.cold_per_s > 0.0 && left_ms > 0 && (is_news || is_due);
        if is_reported {
            self.cold_reported_ms = now_ms;
        }
        is_reported
    }

    /// Takes the cold time that a member listed in the response to a request that was sent at
    /// `requested_ms`.
    pub(crate) fn learn_cold(&mut self, requested_ms: u64, report: ColdReport) {
        self.cold_reported_ms = self.cold_reported_ms.max(requested_ms);
        let left_ms = report.left_ms.min(MAX_COLD_MS as i64);
        self.extend_cold(requested_ms.saturating_add_signed(left_ms));
    }

    /// Whether the endpoint is limited because it is cold, or was until a moment ago.
    pub(crate) fn is_cold(&self, now_ms: u64) -> bool {
        let until_ms = self.cold_until_ms.filter(|_| self.cold_per_s > 0.0);
        until_ms.is_some_and(|until_ms| now_ms < until_ms + RAMP_MS)
    }

    /// The cold time, for the members. `None` if the endpoint is not limited because of it.
    pub(crate) fn cold_report(&self, now_ms: u64) -> Option<ColdReport> {
        let until_ms = self.cold_until_ms.filter(|_| self.is_cold(now_ms))?;
        let surprised_ms = self.surprised_ms;
        Some(ColdReport {
            left_ms: until_ms as i64 - now_ms as i64,
            per_s: self.cold_per_s,
            was_in_use: surprised_ms
                .is_some_and(|surprised_ms| now_ms < surprised_ms + COLD_PAUSE_MS),
        })
    }

    /// Takes what a response says, whose request was sent at `sent_ms`. Returns whether the
    /// members should be told.
    pub(crate) fn hear(
        &mut self,
        now_ms: u64,
        sent_ms: u64,
        limit_per_s: Option<f64>,
    ) -> bool {
        let known = self.current(now_ms);
        match limit_per_s {
            Some(_) => {
                let is_due = now_ms >= self.reported_ms + REPORT_INTERVAL_MS;
                self.limit_per_s = limit_per_s;
                self.heard_ms = now_ms;
                let is_news = is_due || known != limit_per_s;
                if is_news {
                    self.reported_ms = now_ms;
                }
                is_news
            }
            None if known.is_some() && sent_ms > self.heard_ms => {
                self.limit_per_s = None;
                self.heard_ms = sent_ms;
                self.reported_ms = now_ms;
                true
            }
            None => false,
        }
    }

    /// Takes what a member listed in the response to a request that was sent at `requested_ms`.
    pub(crate) fn learn(&mut self, requested_ms: u64, report: LimitReport) {
        self.listed_until_ms = requested_ms + LISTED_LIFETIME_MS;
        let heard_ms = requested_ms.saturating_sub(report.age_ms);
        self.reported_ms = self.reported_ms.max(heard_ms);
        if heard_ms > self.heard_ms {
            self.limit_per_s = report.limit_per_s;
            self.heard_ms = heard_ms;
        }
    }

    /// Records that no member has a token for `wait_ms`.
    pub(crate) fn exhaust(&mut self, now_ms: u64, wait_ms: u64) {
        self.exhausted_until_ms = now_ms + wait_ms;
    }

    /// The limit that the newest response named, unless that was too long ago.
    fn current(&self, now_ms: u64) -> Option<f64> {
        self.limit_per_s.filter(|limit_per_s| {
            now_ms < self.heard_ms + limit_lifetime_ms(*limit_per_s)
        })
    }

    /// Whether a request to the endpoint needs a token.
    pub(crate) fn needs_token(&self, now_ms: u64) -> bool {
        now_ms < self.listed_until_ms
            || self.current(now_ms).is_some()
            || self.is_cold(now_ms)
    }

    /// How long there will be no token, in milliseconds. 0 if there may be one now.
    pub(crate) fn wait_ms(&self, now_ms: u64) -> u64 {
        match self.needs_token(now_ms) {
            true => self.exhausted_until_ms.saturating_sub(now_ms),
            false => 0,
        }
    }

    /// What the newest response said, for the members.
    pub(crate) fn report(&self, now_ms: u64) -> LimitReport {
        LimitReport {
            limit_per_s: self.limit_per_s,
            age_ms: now_ms.saturating_sub(self.heard_ms),
        }
    }
}
