//! SVG plots of goodput and latency over time.

use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};

use crate::failure::Failure;
use crate::load::{self, LoadPlan, Sample};

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 600);

/// Draws goodput and the 95th percentile of the time to first token for each second of the load.
pub fn draw(path: &Path, plan: &LoadPlan, samples: &[Sample]) -> Result<(), Failure> {
    let seconds = plan.seconds.ceil() as usize;
    let mut goodput = vec![0.0; seconds];
    let mut latencies: Vec<Vec<f64>> = vec![Vec::new(); seconds];
    for sample in samples {
        let second = (sample.due.as_secs() as usize).min(seconds - 1);
        goodput[second] += f64::from(u8::from(load::meets_targets(plan, &sample.result)));
        latencies[second].extend(sample.result.ttft.map(|time| time.as_secs_f64() * 1e3));
    }
    let p95_latency: Vec<f64> = latencies.into_iter().map(p95).collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let plot_failure =
        |error: &dyn std::error::Error| Failure::System(format!("cannot draw the plot: {error}"));
    root.fill(&WHITE).map_err(|error| plot_failure(&error))?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    draw_series(&upper, "goodput, requests per second", &goodput, BLUE)?;
    draw_series(&lower, "time to first token, 95th percentile, ms", &p95_latency, RED)?;
    root.present().map_err(|error| plot_failure(&error))
}

/// Returns the 95th percentile, or 0 without values.
fn p95(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() * 95).div_ceil(100).max(1) - 1;
    values.get(index).copied().unwrap_or(0.0)
}

/// Draws one value per second as a line.
fn draw_series(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    values: &[f64],
    color: RGBColor,
) -> Result<(), Failure> {
    let plot_failure =
        |error: &dyn std::error::Error| Failure::System(format!("cannot draw the plot: {error}"));
    let y_max = values.iter().copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..values.len() as f64, 0.0..y_max)
        .map_err(|error| plot_failure(&error))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|error| plot_failure(&error))?;
    let points = values.iter().enumerate().map(|(second, value)| (second as f64, *value));
    chart.draw_series(LineSeries::new(points, color)).map_err(|error| plot_failure(&error))?;
    Ok(())
}
