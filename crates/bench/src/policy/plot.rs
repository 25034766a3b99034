//! Draws the p95 program latencies as a bar chart in SVG.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

use super::report::{FinishedRun, RunGroup, group_runs};
use super::scenario::Variant;

/// Width and height of the chart in pixels.
const SIZE_PX: (u32, u32) = (1_100, 500);
/// Width of a bar on the x axis, where each group of bars has the width 1.
const BAR_WIDTH: f64 = 0.25;

fn color(variant: Variant) -> RGBColor {
    match variant {
        Variant::RoundRobin => RGBColor(160, 160, 160),
        Variant::FewestOutstanding => RGBColor(90, 130, 190),
        Variant::Product => RGBColor(200, 90, 40),
    }
}

/// Draws a group of bars for each deployment and scenario, with one bar for each variant.
///
/// # Errors
///
/// If the file cannot be written.
pub(crate) fn draw(finished: &[FinishedRun], path: &Path) -> eyre::Result<()> {
    let run_groups = group_runs(finished);
    let mut labels: Vec<String> = run_groups.iter().map(group_label).collect();
    labels.dedup();
    let highest_ms = run_groups
        .iter()
        .map(|group| group.median(|m| m.p95_ms))
        .max();
    let top_s = highest_ms.unwrap_or(1_000) as f64 / 1_000.0 * 1.3;
    let drawing_error = |error: &dyn std::fmt::Display| eyre!("cannot draw: {error}");
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| drawing_error(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "p95 program latency, median of the seeds",
            ("sans-serif", 20),
        )
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..labels.len() as f64, 0.0..top_s)
        .map_err(|error| drawing_error(&error))?;
    let label = |x: &f64| {
        let is_group_center = (x.fract() - 0.5).abs() < 0.01;
        let name = labels.get(*x as usize).filter(|_| is_group_center);
        name.cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(labels.len() * 2 + 1)
        .x_label_formatter(&label)
        .y_desc("seconds")
        .draw()
        .map_err(|error| drawing_error(&error))?;
    for (index, variant) in Variant::ALL.into_iter().enumerate() {
        let style = color(variant).filled();
        let variant_groups = run_groups.iter().filter(|group| group.variant == variant);
        let bars = variant_groups.map(|group| {
            let position = labels.iter().position(|name| *name == group_label(group));
            let left = position.unwrap_or(0) as f64 + 0.12 + BAR_WIDTH * index as f64;
            let height = group.median(|m| m.p95_ms) as f64 / 1_000.0;
            Rectangle::new([(left, 0.0), (left + BAR_WIDTH, height)], style)
        });
        chart
            .draw_series(bars)
            .map_err(|error| drawing_error(&error))?
            .label(variant.name())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()
        .map_err(|error| drawing_error(&error))?;
    area.present().map_err(|error| drawing_error(&error))
}

fn group_label(group: &RunGroup<'_>) -> String {
    format!("{} {}", group.deployment, group.scenario.name())
}
