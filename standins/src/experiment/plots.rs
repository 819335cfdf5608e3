//! Plots of a study: one chart for each user and plotted figure, with a bar for each policy and script.

use std::path::Path;

use plotters::prelude::*;

use crate::experiment::study::{POLICIES, StudyReport};
use crate::experiment::study_text::{FIGURES, SeedSpread, StudyFigure};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 420);

/// Positions in [`FIGURES`] of the figures that are plotted: trainer idle time, worst-served share, cost, use of other
/// domains, page latency and prefill tokens.
const PLOTTED_FIGURES: [usize; 6] = [0, 2, 3, 6, 7, 9];

/// Writes one SVG file for each user and plotted figure into `directory`, which must exist.
///
/// # Errors
///
/// A chart cannot be drawn or its file cannot be written; the message contains the path of the file and the cause.
pub fn write_plots(report: &StudyReport, directory: &Path) -> Result<(), String> {
    let mut users: Vec<&str> = report.runs.iter().map(|runs| runs.user.as_str()).collect();
    users.dedup();
    for user in users {
        for figure in PLOTTED_FIGURES.map(|position| FIGURES[position]) {
            let words: Vec<&str> = figure.name.split(|letter: char| !letter.is_alphanumeric()).collect();
            let file = directory.join(format!("{user}_{}.svg", words.join("_").to_lowercase()));
            draw_chart(report, user, figure, &file).map_err(|error| format!("{}: {error}", file.display()))?;
        }
    }
    Ok(())
}

struct PlotBar {
    /// Left edge on an axis with one unit for each script.
    left: f64,
    policy_index: usize,
    /// The mean is the height of the bar; a line over it spans the range.
    spread: SeedSpread,
}

fn make_bars(report: &StudyReport, user: &str, figure: StudyFigure, scripts: &[&str]) -> Vec<PlotBar> {
    let mut bars = Vec::new();
    for (script_index, script) in scripts.iter().enumerate() {
        for (policy_index, (name, _)) in POLICIES.iter().enumerate() {
            let Some(runs) = report.find(user, script, name) else { continue };
            let values: Vec<f64> = (0..runs.outcomes.len()).map(|seed_index| (figure.read)(runs, seed_index)).collect();
            let left = script_index as f64 + 0.1 + policy_index as f64 * 0.8 / POLICIES.len() as f64;
            bars.push(PlotBar { left, policy_index, spread: SeedSpread::from_values(&values) });
        }
    }
    bars
}

fn draw_chart(
    report: &StudyReport,
    user: &str,
    figure: StudyFigure,
    file: &Path,
) -> Result<(), Box<dyn std::error::Error>> {
    let mut scripts: Vec<&str> =
        report.runs.iter().filter(|runs| runs.user == user).map(|runs| runs.script.as_str()).collect();
    scripts.dedup();
    let bars = make_bars(report, user, figure, &scripts);
    let highest = bars.iter().map(|bar| bar.spread.max).fold(1e-6, f64::max);
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{user}: {}", figure.name), ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..scripts.len() as f64, 0.0..highest * 1.15)?;
    let label = |position: &f64| scripts.get(*position as usize).map(ToString::to_string).unwrap_or_default();
    chart.configure_mesh().disable_x_mesh().x_labels(scripts.len()).x_label_formatter(&label).draw()?;
    let width = 0.7 / POLICIES.len() as f64;
    for (policy_index, (name, _)) in POLICIES.iter().enumerate() {
        let color = Palette99::pick(policy_index).mix(0.9);
        let policy_bars = bars.iter().filter(|bar| bar.policy_index == policy_index);
        let rectangles = policy_bars
            .map(|bar| Rectangle::new([(bar.left, 0.0), (bar.left + width, bar.spread.mean)], color.filled()));
        chart
            .draw_series(rectangles)?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    let range_lines = bars.iter().map(|bar| {
        let middle = bar.left + width / 2.0;
        PathElement::new(vec![(middle, bar.spread.min), (middle, bar.spread.max)], BLACK)
    });
    chart.draw_series(range_lines)?;
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
