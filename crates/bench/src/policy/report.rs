//! Formats the measures of all runs as tables and lists in Markdown.

use std::collections::BTreeMap;
use std::fmt::Write;

use super::outcome::Measures;
use super::run::Job;
use super::scenario::{Scenario, Variant};

/// A run that succeeded, with its measures.
pub(crate) struct FinishedRun {
    pub(crate) job: Job,
    pub(crate) measures: Measures,
}

/// All runs of a deployment, scenario and variant. They differ in their seeds.
pub(crate) struct RunGroup<'a> {
    pub(crate) deployment: &'static str,
    pub(crate) scenario: Scenario,
    pub(crate) variant: Variant,
    pub(crate) runs: Vec<&'a Measures>,
}

impl RunGroup<'_> {
    /// Median of a measure over the runs.
    pub(crate) fn median(&self, of: impl Fn(&Measures) -> u64) -> u64 {
        let mut values: Vec<u64> = self.runs.iter().map(|run| of(run)).collect();
        values.sort_unstable();
        values[values.len() / 2]
    }

    /// Formats the median of a measure, with its lowest and highest value in parentheses.
    fn median_with_range(
        &self,
        of: impl Fn(&Measures) -> u64,
        format_value: impl Fn(u64) -> String,
    ) -> String {
        let values = || self.runs.iter().map(|run| of(run));
        let low = values().min().unwrap_or(0);
        let high = values().max().unwrap_or(0);
        format!(
            "{} ({}–{})",
            format_value(self.median(of)),
            format_value(low),
            format_value(high)
        )
    }
}

/// Groups the runs by deployment, scenario and variant, in this order.
pub(crate) fn group_runs(finished: &[FinishedRun]) -> Vec<RunGroup<'_>> {
    let mut groups: BTreeMap<_, Vec<&Measures>> = BTreeMap::new();
    for run in finished {
        let job = run.job;
        let key = (job.deployment.name, job.scenario, job.variant);
        groups.entry(key).or_default().push(&run.measures);
    }
    let group = |((deployment, scenario, variant), runs)| RunGroup {
        deployment,
        scenario,
        variant,
        runs,
    };
    groups.into_iter().map(group).collect()
}

fn seconds(ms: u64) -> String {
    format!("{:.2}", ms as f64 / 1_000.0)
}

fn ratio(permille: u64) -> String {
    format!("{:.2}", permille as f64 / 1_000.0)
}

fn thousands(tokens: u64) -> String {
    format!("{:.1}", tokens as f64 / 1_000.0)
}

/// Markdown table with the median, and for most measures the range, over the runs of a group.
pub(crate) fn table(finished: &[FinishedRun]) -> String {
    let mut out = String::from(
        "| deployment | scenario | variant | runs | busy | p50 s | p95 s | p99 s | \
         recomputed k tokens | recomputed part | held k tokens | worst served | \
         wrongful refusals | failed or cut |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for group in group_runs(finished) {
        let row = [
            group.deployment.to_string(),
            group.scenario.name().to_string(),
            group.variant.name().to_string(),
            group.runs.len().to_string(),
            ratio(group.median(|m| m.busy_permille)),
            group.median_with_range(|m| m.p50_ms, seconds),
            group.median_with_range(|m| m.p95_ms, seconds),
            group.median_with_range(|m| m.p99_ms, seconds),
            group.median_with_range(|m| m.recomputed_tokens, thousands),
            ratio(group.median(|m| m.recomputed_permille)),
            group.median_with_range(|m| m.leftover_cache_tokens, thousands),
            group.median_with_range(|m| m.worst_share_permille, ratio),
            group.median_with_range(
                |m| m.wrongful_refusals.values().sum(),
                |n| n.to_string(),
            ),
            group.median_with_range(|m| m.failed + m.cut, |n| n.to_string()),
        ];
        let _ = writeln!(out, "| {} |", row.join(" | "));
    }
    out
}

/// Markdown list with details of each group that are not in the table, such as refusals and
/// failures by error code, summed over the runs.
pub(crate) fn group_details(finished: &[FinishedRun]) -> String {
    let mut out = String::new();
    for group in group_runs(finished) {
        let wrongful_refusals =
            sum_by_code(group.runs.iter().map(|run| &run.wrongful_refusals));
        let failures = sum_by_code(group.runs.iter().map(|run| &run.failures));
        let cut: u64 = group.runs.iter().map(|run| run.cut).sum();
        let not_started: u64 = group.runs.iter().map(|run| run.not_started).sum();
        let programs: u64 = group.runs.iter().map(|run| run.programs).sum();
        let worst: Vec<&str> = group.runs.iter().map(|run| run.worst_customer).collect();
        let _ = writeln!(
            out,
            "- {} {} {}: programs {programs}; calls waiting in engines {} of the slots; \
             p95 without any wait {} s; median slowdown of short programs {}, of long ones \
             {}; wrongful {}; failed {}; cut {cut}; flood programs not started {not_started}; \
             worst served {}",
            group.deployment,
            group.scenario.name(),
            group.variant.name(),
            ratio(group.median(|m| m.queued_permille)),
            seconds(group.median(|m| m.ideal_p95_ms)),
            ratio(group.median(|m| m.slowdown_permille.0)),
            ratio(group.median(|m| m.slowdown_permille.1)),
            format_counts(&wrongful_refusals),
            format_counts(&failures),
            worst.join(" "),
        );
    }
    out
}

/// Adds up the counts of all runs for each error code.
fn sum_by_code<'a>(
    counts: impl Iterator<Item = &'a BTreeMap<String, u64>>,
) -> BTreeMap<String, u64> {
    let mut total: BTreeMap<String, u64> = BTreeMap::new();
    for (code, count) in counts.flatten() {
        *total.entry(code.clone()).or_default() += count;
    }
    total
}

/// Formats counts by error code as a comma-separated list.
fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    let items: Vec<String> = counts
        .iter()
        .map(|(code, count)| format!("{code} {count}"))
        .collect();
    match items.is_empty() {
        true => "none".to_string(),
        false => items.join(", "),
    }
}

/// Markdown list that compares the median measures of the product with the better baseline, and
/// with the goals.
pub(crate) fn compare_with_goals(finished: &[FinishedRun]) -> String {
    let run_groups = group_runs(finished);
    let mut out = String::new();
    let products = run_groups
        .iter()
        .filter(|group| group.variant == Variant::Product);
    for product in products {
        let baselines: Vec<&RunGroup<'_>> = run_groups
            .iter()
            .filter(|group| {
                group.deployment == product.deployment
                    && group.scenario == product.scenario
                    && group.variant != Variant::Product
            })
            .collect();
        let lowest = |of: fn(&Measures) -> u64| {
            baselines.iter().map(|group| group.median(of)).min()
        };
        let (Some(p95), Some(recomputed)) =
            (lowest(|m| m.p95_ms), lowest(|m| m.recomputed_permille))
        else {
            continue;
        };
        let change =
            |own: u64, other: u64| (own as f64 / other.max(1) as f64 - 1.0) * 100.0;
        let _ = writeln!(
            out,
            "- {} {}: p95 {:+.0}% (goal -30%), recomputed part {:+.0}% (goal -50%), \
             worst served {} (goal 0.90), wrongful refusals {} (goal 0)",
            product.deployment,
            product.scenario.name(),
            change(product.median(|m| m.p95_ms), p95),
            change(product.median(|m| m.recomputed_permille), recomputed),
            ratio(product.median(|m| m.worst_share_permille)),
            product.median(|m| m.wrongful_refusals.values().sum()),
        );
    }
    out
}
