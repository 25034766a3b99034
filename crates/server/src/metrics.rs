//! Prometheus metrics of calls and programs, by customer and class of service.

use std::collections::BTreeSet;
use std::sync::{PoisonError, RwLock};

use jayreel_model::{ClassOfService, RefusalReason};
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, IntGauge, Opts, Registry};

/// Label value for customers that are unknown or exceed [`MAX_CUSTOMER_LABELS`]. It is not a
/// valid customer name, so it cannot clash with one.
const OTHER_CUSTOMERS: &str = "(other)";
/// Maximum number of customers with their own label value. Each adds up to 4 histograms for
/// each class.
const MAX_CUSTOMER_LABELS: usize = 1_000;
/// Histogram bucket bounds for the waiting time and the time to the first token, in seconds.
const CALL_START_BUCKETS_S: [f64; 12] = [
    0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.36, 0.75, 1.5, 5.0, 15.0, 30.0,
];
/// Histogram bucket bounds for the duration of a call, in seconds.
const CALL_BUCKETS_S: [f64; 12] = [
    0.01, 0.05, 0.2, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 180.0, 600.0,
];
/// Histogram bucket bounds for the duration of a program, in seconds.
const PROGRAM_BUCKETS_S: [f64; 12] = [
    0.1, 0.5, 2.0, 5.0, 15.0, 30.0, 60.0, 180.0, 600.0, 1_800.0, 3_600.0, 10_800.0,
];

/// The metrics of one instance.
///
/// Customer names may come from outside. To bound the number of time series, only customers
/// of the configuration have their own label value, and all others share one.
#[derive(Debug)]
pub struct Metrics {
    customers: RwLock<BTreeSet<String>>,
    waiting_s: HistogramVec,
    first_token_s: HistogramVec,
    call_s: HistogramVec,
    program_s: HistogramVec,
    refusals: IntCounterVec,
    running_calls: IntGauge,
    waiting_calls: IntGauge,
}

impl Metrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    ///
    /// If the registry rejects a metric, for example because its name is already registered.
    pub fn new(registry: &Registry) -> Result<Metrics, prometheus::Error> {
        let metrics = Metrics {
            customers: RwLock::new(BTreeSet::new()),
            waiting_s: histogram(
                "jayreel_call_waiting_seconds",
                "Time that a call waits before it is dispatched",
                &CALL_START_BUCKETS_S,
            )?,
            first_token_s: histogram(
                "jayreel_call_first_token_seconds",
                "Time from the arrival of a call to the first byte of its answer",
                &CALL_START_BUCKETS_S,
            )?,
            call_s: histogram(
                "jayreel_call_seconds",
                "Time from the arrival of a call to the end of its answer",
                &CALL_BUCKETS_S,
            )?,
            program_s: histogram(
                "jayreel_program_seconds",
                "Time from the first call of a program to its end",
                &PROGRAM_BUCKETS_S,
            )?,
            refusals: IntCounterVec::new(
                Opts::new("jayreel_refusals_total", "Calls that were refused"),
                &["reason", "customer"],
            )?,
            running_calls: IntGauge::new("jayreel_running_calls", "Calls at endpoints")?,
            waiting_calls: IntGauge::new("jayreel_waiting_calls", "Calls in queues")?,
        };
        registry.register(Box::new(metrics.waiting_s.clone()))?;
        registry.register(Box::new(metrics.first_token_s.clone()))?;
        registry.register(Box::new(metrics.call_s.clone()))?;
        registry.register(Box::new(metrics.program_s.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.running_calls.clone()))?;
        registry.register(Box::new(metrics.waiting_calls.clone()))?;
        Ok(metrics)
    }

    /// Sets the customers that have their own label value. Removes the time series of
    /// customers that are no longer configured.
    pub fn set_customers<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let new: BTreeSet<String> = names
            .into_iter()
            .take(MAX_CUSTOMER_LABELS)
            .map(str::to_string)
            .collect();
        let mut customers = self
            .customers
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for removed in customers.difference(&new) {
            self.remove_customer(removed);
        }
        *customers = new;
    }

    /// Records the time from the arrival of a call to its dispatch.
    pub fn observe_waiting(&self, customer: &str, class: ClassOfService, ms: u64) {
        self.observe(&self.waiting_s, customer, class, ms);
    }

    /// Records the time from the arrival of a call to the first byte of its response.
    pub fn observe_first_token(&self, customer: &str, class: ClassOfService, ms: u64) {
        self.observe(&self.first_token_s, customer, class, ms);
    }

    /// Records the time from the arrival of a call to the end of its response.
    pub fn observe_call(&self, customer: &str, class: ClassOfService, ms: u64) {
        self.observe(&self.call_s, customer, class, ms);
    }

    /// Records the time from the first call of a program to its end.
    pub fn observe_program(&self, customer: &str, class: ClassOfService, ms: u64) {
        self.observe(&self.program_s, customer, class, ms);
    }

    /// Counts a refused call. `customer` is `None` if no valid key identified it.
    pub fn count_refusal(&self, reason: RefusalReason, customer: Option<&str>) {
        self.with_label(customer.unwrap_or(OTHER_CUSTOMERS), |label| {
            self.refusals
                .with_label_values(&[reason.code(), label])
                .inc();
        });
    }

    /// Sets the number of calls that have been dispatched to an endpoint and have not ended.
    pub fn set_running_calls(&self, count: usize) {
        self.running_calls.set(count.try_into().unwrap_or(i64::MAX));
    }

    /// Sets the number of calls that have arrived and are not at an endpoint.
    pub fn set_waiting_calls(&self, count: usize) {
        self.waiting_calls.set(count.try_into().unwrap_or(i64::MAX));
    }

    fn observe(
        &self,
        histogram: &HistogramVec,
        customer: &str,
        class: ClassOfService,
        ms: u64,
    ) {
        self.with_label(customer, |label| {
            histogram
                .with_label_values(&[label, class_label(class)])
                .observe(ms as f64 / 1_000.0);
        });
    }

    /// Calls `record` with the label value of the customer. Holds the read lock meanwhile,
    /// so that a concurrent [`Metrics::set_customers`] cannot remove the customer first and
    /// leave the series that `record` creates behind.
    fn with_label(&self, customer: &str, record: impl FnOnce(&str)) {
        let customers = self
            .customers
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        match customers.contains(customer) {
            true => record(customer),
            false => record(OTHER_CUSTOMERS),
        }
    }

    /// Removes all time series with the label value of the customer.
    fn remove_customer(&self, customer: &str) {
        let by_class = [
            &self.waiting_s,
            &self.first_token_s,
            &self.call_s,
            &self.program_s,
        ];
        let classes = [
            ClassOfService::Interactive,
            ClassOfService::Standard,
            ClassOfService::Batch,
        ];
        for (histogram, class) in by_class
            .into_iter()
            .flat_map(|histogram| classes.map(|class| (histogram, class)))
        {
            let _ = histogram.remove_label_values(&[customer, class_label(class)]);
        }
        for reason in ALL_REASONS {
            let _ = self
                .refusals
                .remove_label_values(&[reason.code(), customer]);
        }
    }
}

/// All values of the `reason` label, for removing the counters of a customer.
const ALL_REASONS: [RefusalReason; 17] = [
    RefusalReason::BudgetExhausted,
    RefusalReason::CallerGone,
    RefusalReason::BodyTooLarge,
    RefusalReason::EndpointFailed,
    RefusalReason::EndpointTimeout,
    RefusalReason::HistoryMismatch,
    RefusalReason::InvalidKey,
    RefusalReason::InvalidRequest,
    RefusalReason::NotAllowed,
    RefusalReason::NotFound,
    RefusalReason::NotReady,
    RefusalReason::Overloaded,
    RefusalReason::OwnerUnavailable,
    RefusalReason::RateExceeded,
    RefusalReason::RequestTimeout,
    RefusalReason::StoreUnavailable,
    RefusalReason::WrongTurn,
];

fn class_label(class: ClassOfService) -> &'static str {
    match class {
        ClassOfService::Interactive => "interactive",
        ClassOfService::Standard => "standard",
        ClassOfService::Batch => "batch",
    }
}

/// Creates a histogram by customer and class. The bounds of `buckets` are in seconds.
fn histogram(
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<HistogramVec, prometheus::Error> {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    HistogramVec::new(options, &["customer", "class"])
}
