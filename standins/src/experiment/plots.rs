//! Plots of a study: one chart for each user and figure, with a bar for each policy and script.

use std::path::Path;

use plotters::prelude::*;

use crate::experiment::study::{POLICIES, StudyReport};
use crate::experiment::study_text::{FIGURES, FigureEntry, SeedSpread};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 420);

/// Figures that are plotted, by position in [`FIGURES`].
const PLOTTED: [usize; 6] = [0, 2, 3, 6, 7, 9];

/// Writes the plots as SVG.
///
/// # Errors
///
/// A file cannot be written; the message says why.
pub fn write_plots(report: &StudyReport, directory: &Path) -> Result<(), String> {
    let mut users: Vec<&str> = report.runs.iter().map(|runs| runs.user.as_str()).collect();
    users.dedup();
    for user in users {
        for figure in PLOTTED.map(|position| FIGURES[position]) {
            let words: Vec<&str> = figure.name.split(|letter: char| !letter.is_alphanumeric()).collect();
            let file = directory.join(format!("{user}_{}.svg", words.join("_").to_lowercase()));
            draw(report, user, figure, &file).map_err(|error| format!("{}: {error}", file.display()))?;
        }
    }
    Ok(())
}

struct PlotBar {
    slot: f64,
    policy: usize,
    spread: SeedSpread,
}

fn bars(report: &StudyReport, user: &str, figure: FigureEntry, scripts: &[&str]) -> Vec<PlotBar> {
    let mut bars = Vec::new();
    for (group, script) in scripts.iter().enumerate() {
        for (policy, (name, _)) in POLICIES.iter().enumerate() {
            let Some(runs) = report.find(user, script, name) else { continue };
            let values: Vec<f64> = (0..runs.outcomes.len()).map(|seed| (figure.read)(runs, seed)).collect();
            let slot = group as f64 + 0.1 + policy as f64 * 0.8 / POLICIES.len() as f64;
            bars.push(PlotBar { slot, policy, spread: SeedSpread::of(&values) });
        }
    }
    bars
}

fn draw(report: &StudyReport, user: &str, figure: FigureEntry, file: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let mut scripts: Vec<&str> =
        report.runs.iter().filter(|runs| runs.user == user).map(|runs| runs.script.as_str()).collect();
    scripts.dedup();
    let bars = bars(report, user, figure, &scripts);
    let highest = bars.iter().map(|bar| bar.spread.most).fold(1e-6, f64::max);
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
    for (policy, (name, _)) in POLICIES.iter().enumerate() {
        let color = Palette99::pick(policy).mix(0.9);
        let own = bars.iter().filter(|bar| bar.policy == policy);
        let rectangles =
            own.map(|bar| Rectangle::new([(bar.slot, 0.0), (bar.slot + width, bar.spread.mean)], color.filled()));
        chart
            .draw_series(rectangles)?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    let middles = bars.iter().map(|bar| {
        let middle = bar.slot + width / 2.0;
        PathElement::new(vec![(middle, bar.spread.least), (middle, bar.spread.most)], BLACK)
    });
    chart.draw_series(middles)?;
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}
