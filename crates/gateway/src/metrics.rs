//! Metrics of an entry instance, exported in the Prometheus text format.

use std::cell::Cell;
use std::rc::Rc;

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

use crate::balance::PickReason;
use crate::edge::MemoryUsage;
use crate::retry::Outcome;

/// Histogram buckets for latencies, in seconds: from a plain service without load up to the
/// longest timeout.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.25, 0.5, 1.0, 2.0, 3.0, 6.0,
];

/// Metrics of one entry instance, and the number of its open connections and calls.
pub(crate) struct Metrics {
    registry: Registry,
    first_byte_s: HistogramVec,
    complete_s: HistogramVec,
    refusals: IntCounterVec,
    failures: IntCounterVec,
    limited_sends: IntCounterVec,
    placements: IntCounterVec,
    cold_sends: IntCounterVec,
    hedges: IntCounterVec,
    hedges_withheld: IntCounterVec,
    crashes: IntCounter,
    broken: IntGauge,
    evacuated_zones: IntGauge,
    programs: IntCounterVec,
    program_share: GaugeVec,
    queueing_turns: GaugeVec,
    memory_bytes: IntGaugeVec,
    memory_peak_bytes: IntGaugeVec,
    memory_limit_bytes: IntGaugeVec,
    memory_rejections: IntGaugeVec,
    cached_turn_bytes: IntGauge,
    open_connections: Rc<Cell<usize>>,
    open_calls: Rc<Cell<usize>>,
}

/// Guard that counts a connection or call as open until it is dropped.
pub(crate) struct OpenGuard(Rc<Cell<usize>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn open(count: &Rc<Cell<usize>>) -> OpenGuard {
    count.set(count.get() + 1);
    OpenGuard(Rc::clone(count))
}

fn histogram(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
    HistogramVec::new(options, labels).expect("the names of metrics are valid")
}

fn counter(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels)
        .expect("the names of metrics are valid")
}

fn gauge(name: &str, help: &str, labels: &[&str]) -> GaugeVec {
    GaugeVec::new(Opts::new(name, help), labels).expect("the names of metrics are valid")
}

fn int_gauge(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    IntGaugeVec::new(Opts::new(name, help), labels)
        .expect("the names of metrics are valid")
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Metrics {
        let first_byte_s = histogram(
            "jayreel_first_byte_seconds",
            "Time from the arrival of a request to the head of its answer",
            &["route", "customer"],
        );
        let complete_s = histogram(
            "jayreel_stream_seconds",
            "Time from the arrival of a streamed request to its end",
            &["route"],
        );
        let refusals = counter(
            "jayreel_refusals_total",
            "Requests answered by the instance itself, by reason",
            &["reason"],
        );
        let failures = counter(
            "jayreel_endpoint_failures_total",
            "Sends without a usable answer, by what became of them",
            &["outcome"],
        );
        let limited_sends = counter(
            "jayreel_limited_sends_total",
            "Requests for tokens of endpoints that limit the rate of requests, by outcome",
            &["outcome"],
        );
        let placements = counter(
            "jayreel_placements_total",
            "Endpoints chosen for sends, by the reason of the choice",
            &["reason"],
        );
        let cold_sends = counter(
            "jayreel_cold_sends_total",
            "Requests for tokens of cold endpoints, by outcome",
            &["outcome"],
        );
        let hedges = counter(
            "jayreel_hedges_total",
            "Second sends of slow requests, by what became of them",
            &["outcome"],
        );
        let hedges_withheld = counter(
            "jayreel_hedges_withheld_total",
            "Slow requests without a second send, by reason",
            &["reason"],
        );
        let crashes = IntCounter::new(
            "jayreel_endpoint_crashes_total",
            "Crashes of endpoints at which requests of this instance were lost",
        )
        .expect("the names of metrics are valid");
        let broken = IntGauge::new("jayreel_streams_broken", "Streams broken off so far")
            .expect("the names of metrics are valid");
        let evacuated_zones = IntGauge::new(
            "jayreel_evacuated_zones",
            "Availability zones that get no requests because the operator evacuated them",
        )
        .expect("the names of metrics are valid");
        let programs = counter(
            "jayreel_new_programs_total",
            "New programs where capacity is scarce, by route and decision",
            &["route", "decision"],
        );
        let program_share = gauge(
            "jayreel_new_program_share",
            "Share of new programs that is admitted, by service",
            &["service"],
        );
        let queueing_turns = gauge(
            "jayreel_queueing_turns",
            "Expected queueing time of a new turn relative to the time of a turn, by service",
            &["service"],
        );
        let memory_bytes = int_gauge(
            "jayreel_memory_bytes",
            "Memory that requests use, by purpose",
            &["purpose"],
        );
        let memory_peak_bytes = int_gauge(
            "jayreel_memory_peak_bytes",
            "Most memory that requests have used at the same time, by purpose",
            &["purpose"],
        );
        let memory_limit_bytes = int_gauge(
            "jayreel_memory_limit_bytes",
            "Most memory that requests may use, by purpose",
            &["purpose"],
        );
        let memory_rejections = int_gauge(
            "jayreel_memory_rejections",
            "Requests rejected so far because there was not enough memory, by purpose",
            &["purpose"],
        );
        let cached_turn_bytes = IntGauge::new(
            "jayreel_cached_turn_bytes",
            "Memory of the cache of finished turns",
        )
        .expect("the names of metrics are valid");
        let registry = Registry::new();
        let collectors: Vec<Box<dyn prometheus::core::Collector>> = vec![
            Box::new(first_byte_s.clone()),
            Box::new(complete_s.clone()),
            Box::new(refusals.clone()),
            Box::new(failures.clone()),
            Box::new(limited_sends.clone()),
            Box::new(placements.clone()),
            Box::new(cold_sends.clone()),
            Box::new(hedges.clone()),
            Box::new(hedges_withheld.clone()),
            Box::new(crashes.clone()),
            Box::new(broken.clone()),
            Box::new(evacuated_zones.clone()),
            Box::new(programs.clone()),
            Box::new(program_share.clone()),
            Box::new(queueing_turns.clone()),
            Box::new(memory_bytes.clone()),
            Box::new(memory_peak_bytes.clone()),
            Box::new(memory_limit_bytes.clone()),
            Box::new(memory_rejections.clone()),
            Box::new(cached_turn_bytes.clone()),
        ];
        for collector in collectors {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
        Metrics {
            registry,
            first_byte_s,
            complete_s,
            refusals,
            failures,
            limited_sends,
            placements,
            cold_sends,
            hedges,
            hedges_withheld,
            crashes,
            broken,
            evacuated_zones,
            programs,
            program_share,
            queueing_turns,
            memory_bytes,
            memory_peak_bytes,
            memory_limit_bytes,
            memory_rejections,
            cached_turn_bytes,
            open_connections: Rc::default(),
            open_calls: Rc::default(),
        }
    }

    /// Records the head of a response, `elapsed_ms` after the arrival of the request.
    pub(crate) fn record_response(&self, route: &str, customer: &str, elapsed_ms: u64) {
        let histogram = self.first_byte_s.with_label_values(&[route, customer]);
        histogram.observe(elapsed_ms as f64 / 1_000.0);
    }

    /// Records the end of a complete stream, `elapsed_ms` after the arrival of the request.
    pub(crate) fn record_stream(&self, route: &str, elapsed_ms: u64) {
        let histogram = self.complete_s.with_label_values(&[route]);
        histogram.observe(elapsed_ms as f64 / 1_000.0);
    }

    /// Counts a request that this instance refused itself. `reason` becomes a label.
    pub(crate) fn refused(&self, reason: &str) {
        self.refusals.with_label_values(&[reason]).inc();
    }

    /// Counts a send without a usable response. The label is the variant's name in lower case.
    pub(crate) fn endpoint_failed(&self, outcome: Outcome) {
        let outcome = format!("{outcome:?}").to_lowercase();
        self.failures.with_label_values(&[outcome.as_str()]).inc();
    }

    /// Counts a new program, and whether it was admitted.
    pub(crate) fn new_program(&self, route: &str, decision: &str) {
        self.programs.with_label_values(&[route, decision]).inc();
    }

    /// Records the share of new programs that a service admits, and its pressure if it is known.
    pub(crate) fn set_program_share(
        &self,
        service: &str,
        share: f64,
        queueing_turns: Option<f64>,
    ) {
        self.program_share.with_label_values(&[service]).set(share);
        let gauge = self.queueing_turns.with_label_values(&[service]);
        gauge.set(queueing_turns.unwrap_or(0.0));
    }

    /// Counts a request for a token of endpoints that limit the rate of requests.
    pub(crate) fn limited_send(&self, outcome: &str) {
        self.limited_sends.with_label_values(&[outcome]).inc();
    }

    /// Counts the choice of an endpoint for a send.
    pub(crate) fn placed(&self, reason: PickReason) {
        let reason = match reason {
            PickReason::Affinity => "affinity",
            PickReason::ExpectedTime => "expected_time",
            PickReason::Score => "score",
            PickReason::Overflow => "overflow",
        };
        self.placements.with_label_values(&[reason]).inc();
    }

    /// Counts a request for a token of a cold endpoint.
    pub(crate) fn cold_send(&self, outcome: &str) {
        self.cold_sends.with_label_values(&[outcome]).inc();
    }

    /// Counts a second send of a slow request as `sent`, and at its end as `won` or `wasted`.
    pub(crate) fn hedge(&self, outcome: &str) {
        self.hedges.with_label_values(&[outcome]).inc();
    }

    /// Counts a slow request that is not sent a second time.
    pub(crate) fn hedge_withheld(&self, reason: &str) {
        self.hedges_withheld.with_label_values(&[reason]).inc();
    }

    /// Counts a crash of an endpoint at which requests of this instance were lost.
    pub(crate) fn endpoint_crashed(&self) {
        self.crashes.inc();
    }

    /// Counts a stream that ended before it was complete.
    pub(crate) fn stream_interrupted(&self) {
        self.broken.inc();
    }

    /// Sets the number of evacuated availability zones.
    pub(crate) fn set_evacuated_zones(&self, zones: usize) {
        self.evacuated_zones.set(zones as i64);
    }

    /// Records the memory of one purpose.
    pub(crate) fn set_memory(&self, usage: MemoryUsage) {
        let values = [
            (&self.memory_bytes, usage.used_bytes),
            (&self.memory_peak_bytes, usage.peak_bytes),
            (&self.memory_limit_bytes, usage.max_bytes),
            (&self.memory_rejections, usage.rejected as usize),
        ];
        for (gauge, value) in values {
            gauge.with_label_values(&[usage.purpose]).set(value as i64);
        }
    }

    /// Records the memory of the cache of finished turns.
    pub(crate) fn set_cached_turns(&self, bytes: usize) {
        self.cached_turn_bytes.set(bytes as i64);
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub(crate) fn open_connection(&self) -> OpenGuard {
        open(&self.open_connections)
    }

    /// Counts a call as in progress until the guard is dropped.
    pub(crate) fn open_call(&self) -> OpenGuard {
        open(&self.open_calls)
    }

    /// Number of callers' connections that are open.
    pub(crate) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Number of calls in progress.
    pub(crate) fn open_calls(&self) -> usize {
        self.open_calls.get()
    }

    /// All metrics in the Prometheus text format. Empty if they can't be encoded.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => {
                log::warn!("event=metrics_unreadable reason={error:?}");
                String::new()
            }
        }
    }
}
