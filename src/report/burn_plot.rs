//! Plot of the burn report: the share of bad requests by minute for each service.

use std::path::Path;

use plotters::prelude::*;

use super::burn_recorder::KEPT_MINUTES;
use super::burn_report::{BurnReport, add_minute};
use crate::generated::caller_messages::MinuteCount;

/// Width and height of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 500);

/// Writes the plot to an SVG file, with one line for each service over all organisations.
///
/// # Errors
///
/// The chart cannot be drawn or the file cannot be written; the message names the file and the cause.
pub fn write_plot(report: &BurnReport, file: &Path) -> Result<(), String> {
    let series = build_series(report);
    let highest = series.iter().flat_map(|line| &line.points).map(|point| point.1).fold(0.01, f64::max);
    draw_chart(&series, highest, file).map_err(|error| format!("{}: {error}", file.display()))
}

struct PlotSeries {
    service: String,
    /// Pairs of the minute, as a negative age, and the share of bad requests.
    points: Vec<(f64, f64)>,
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn build_series(report: &BurnReport) -> Vec<PlotSeries> {
    let mut services: Vec<&str> = report.lines.iter().map(|line| line.service.as_str()).collect();
    services.dedup();
    let mut series = Vec::with_capacity(services.len());
    for service in services {
        let minutes = report.lines.iter().filter(|line| line.service == service).flat_map(|line| &line.minutes);
        let mut sums: Vec<MinuteCount> = Vec::new();
        for minute in minutes {
            add_minute(&mut sums, minute);
        }
        let points =
            sums.iter().map(|sum| (-f64::from(sum.age_minutes), sum.bad as f64 / (sum.good + sum.bad).max(1) as f64));
        series.push(PlotSeries { service: service.to_owned(), points: points.collect() });
    }
    series
}

fn draw_chart(series: &[PlotSeries], highest: f64, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred minutes")]
    let oldest = -(KEPT_MINUTES as f64);
    let mut chart = ChartBuilder::on(&area)
        .caption("Share of bad requests by minute", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(oldest..0.0, 0.0..highest * 1.05)?;
    chart.configure_mesh().x_desc("minutes ago").y_desc("bad share").draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.clone(), &colour))?
            .label(&line.service)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
