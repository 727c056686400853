//! Plots of goodput and latency over time.

use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};

use crate::failure::Failure;
use crate::load::{self, LoadPlan, Sample};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 600);

/// Draws good requests a second, and the 95th percentile of the first token, by second.
pub fn draw(path: &Path, plan: &LoadPlan, samples: &[Sample]) -> Result<(), Failure> {
    let seconds = plan.seconds.ceil() as usize;
    let mut good = vec![0.0; seconds];
    let mut firsts: Vec<Vec<f64>> = vec![Vec::new(); seconds];
    for sample in samples {
        let second = (sample.due.as_secs() as usize).min(seconds - 1);
        good[second] += f64::from(u8::from(load::is_good(plan, &sample.result)));
        firsts[second].extend(sample.result.first.map(|time| time.as_secs_f64() * 1e3));
    }
    let latency: Vec<f64> = firsts.into_iter().map(percentile).collect();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let failed = |error: &dyn std::error::Error| Failure::System(format!("plot: {error}"));
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    series(&upper, "good requests a second", &good, BLUE)?;
    series(&lower, "first token, 95th percentile, ms", &latency, RED)?;
    root.present().map_err(|error| failed(&error))
}

fn percentile(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let at = (values.len() * 95).div_ceil(100).max(1) - 1;
    values.get(at).copied().unwrap_or(0.0)
}

fn series(
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    values: &[f64],
    color: RGBColor,
) -> Result<(), Failure> {
    let failed = |error: &dyn std::error::Error| Failure::System(format!("plot: {error}"));
    let top = values.iter().copied().fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..values.len() as f64, 0.0..top)
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|error| failed(&error))?;
    let points = values.iter().enumerate().map(|(second, value)| (second as f64, *value));
    chart.draw_series(LineSeries::new(points, color)).map_err(|error| failed(&error))?;
    Ok(())
}
