//! What this instance knows of one engine: its last report and the orders that were sent to
//! it.

use std::collections::BTreeMap;

use jayreel_model::{EngineModels, EngineOrder};

/// After this time without a response an order counts as ended. Longer than all timeouts of
/// one request together with its wait for a thread.
const ORDER_RESPONSE_TIMEOUT_MS: u64 = 30_000;

/// Delay before an order that had no effect is sent again. It doubles with each attempt up to
/// [`MAX_RETRY_DELAY_MS`], so that failing loads do not use up the rate of the store that holds
/// the model weights.
const INITIAL_RETRY_DELAY_MS: u64 = 5_000;

/// Maximum delay between two attempts to send the same order.
const MAX_RETRY_DELAY_MS: u64 = 60_000;

/// The outcome of an order to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine accepted the order. It may still be loading.
    Accepted,
    /// The engine refused the order, or it is unknown whether it accepted it.
    Failed,
    /// The engine refused the order because it has seen a higher fencing number.
    Superseded,
}

/// What an engine reported to have loaded.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    /// When the report was requested.
    pub(crate) sent_at_ms: u64,
    /// When the report arrived at the reducer.
    pub(crate) received_at_ms: u64,
    pub(crate) models: EngineModels,
}

/// The last order that this process sent to an engine.
#[derive(Clone, Debug)]
struct SentOrder {
    /// Store revision of the endpoint record that the order follows from.
    fencing: u64,
    order: EngineOrder,
    sent_at_ms: u64,
    /// When the response or the failure of the request arrived.
    responded_at_ms: Option<u64>,
}

/// Backoff of an order that was sent and is still needed.
#[derive(Clone, Copy, Debug)]
struct RetryState {
    delay_ms: u64,
    /// Earliest time of the next attempt.
    next_at_ms: u64,
}

/// State of one engine. Kept for all engines that report, including those that another
/// instance is responsible for, so that any instance can continue its work.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineState {
    pub(crate) report: Option<Report>,
    /// The last order that this process sent.
    sent: Option<SentOrder>,
    /// No order follows from endpoint records up to this revision, because the engine has
    /// seen a higher fencing number.
    highest_superseded_revision: u64,
    /// Backoff of the orders that were sent and are still needed.
    retries: BTreeMap<EngineOrder, RetryState>,
    /// When each needed unload became needed. Calls that were dispatched up to that time
    /// may use what it unloads.
    pub(crate) unload_since_ms: BTreeMap<EngineOrder, u64>,
}

impl EngineState {
    /// Stores a report unless one that was requested later is known.
    pub(crate) fn record_report(&mut self, report: Report) {
        let known = self.report.as_ref().map(|known| known.sent_at_ms);
        if known.is_none_or(|known| known <= report.sent_at_ms) {
            self.report = Some(report);
        }
    }

    /// Records an order that is sent at `now_ms`, and doubles the delay before its next
    /// attempt.
    pub(crate) fn record_sent(&mut self, now_ms: u64, fencing: u64, order: &EngineOrder) {
        let retry = self.retries.entry(order.clone()).or_insert(RetryState {
            delay_ms: INITIAL_RETRY_DELAY_MS / 2,
            next_at_ms: 0,
        });
        retry.delay_ms = (retry.delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        retry.next_at_ms = now_ms + retry.delay_ms;
        self.sent = Some(SentOrder {
            fencing,
            order: order.clone(),
            sent_at_ms: now_ms,
            responded_at_ms: None,
        });
    }

    /// Records the response to the order with this fencing number.
    pub(crate) fn record_response(
        &mut self,
        now_ms: u64,
        fencing: u64,
        response: OrderAnswer,
    ) {
        match &mut self.sent {
            Some(sent) if sent.fencing == fencing => sent.responded_at_ms = Some(now_ms),
            _ => {}
        }
        if response == OrderAnswer::Superseded {
            self.highest_superseded_revision =
                self.highest_superseded_revision.max(fencing);
        }
    }

    /// Whether the engine refuses orders with this endpoint revision as fencing number.
    pub(crate) fn is_superseded(&self, revision: u64) -> bool {
        revision <= self.highest_superseded_revision
    }

    /// Whether the effect of the last order is still unknown: it has no response yet, or no
    /// report was requested since the response.
    pub(crate) fn is_outcome_unknown(&self, now_ms: u64) -> bool {
        let Some(sent) = &self.sent else {
            return false;
        };
        let end_ms = match sent.responded_at_ms {
            Some(at_ms) => at_ms,
            None if now_ms < sent.sent_at_ms + ORDER_RESPONSE_TIMEOUT_MS => return true,
            None => sent.sent_at_ms + ORDER_RESPONSE_TIMEOUT_MS,
        };
        let seen_at_ms = self.report.as_ref().map(|report| report.sent_at_ms);
        seen_at_ms.is_none_or(|at_ms| at_ms <= end_ms)
    }

    /// Whether the engine is loading or was just ordered to load. A report that arrived
    /// `valid_ms` ago or earlier is ignored, so that an engine that died during a load does
    /// not delay the loads of others.
    pub(crate) fn is_loading(&self, now_ms: u64, valid_ms: u64) -> bool {
        let sent = self.sent.as_ref();
        let is_ordered = sent.is_some_and(|sent| {
            sent.order.is_load()
                && now_ms < sent.sent_at_ms + ORDER_RESPONSE_TIMEOUT_MS
                && self.is_outcome_unknown(now_ms)
        });
        let is_reported = self.report.as_ref().is_some_and(|report| {
            report.models.is_loading() && now_ms < report.received_at_ms + valid_ms
        });
        is_ordered || is_reported
    }

    /// Whether the order was not sent yet, or its delay since the last attempt has passed.
    pub(crate) fn is_retry_due(&self, now_ms: u64, order: &EngineOrder) -> bool {
        let retry = self.retries.get(order);
        retry.is_none_or(|retry| now_ms >= retry.next_at_ms)
    }

    /// The last order that was sent with this endpoint revision, if the engine reports an
    /// order with a lower fencing number as its last one. That order arrived late, so the
    /// newer one must be sent again to arrive last.
    pub(crate) fn overtaken_order(&self, revision: u64) -> Option<EngineOrder> {
        let sent = self.sent.as_ref()?;
        let report = self.report.as_ref()?;
        // Engines that do not report the fencing number of their last order report 0.
        let last_fencing = report.models.fencing;
        let is_overtaken =
            sent.fencing == revision && (1..sent.fencing).contains(&last_fencing);
        is_overtaken.then(|| sent.order.clone())
    }

    /// Drops the state of orders that are no longer needed, and records when unloads became
    /// needed.
    pub(crate) fn update_needed(&mut self, now_ms: u64, needed: &[EngineOrder]) {
        self.retries.retain(|order, _| needed.contains(order));
        self.unload_since_ms
            .retain(|order, _| needed.contains(order));
        for order in needed.iter().filter(|order| !order.is_load()) {
            self.unload_since_ms.entry(order.clone()).or_insert(now_ms);
        }
    }
}
