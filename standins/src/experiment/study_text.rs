//! Text of a study: figures of each policy, ratios against the best baseline, and goals.

use std::fmt::Write as _;

use crate::experiment::measures::RunOutcome;
use crate::experiment::study::{POLICIES, PolicyRuns, StudyReport};

/// One figure of a run.
#[derive(Debug, Clone, Copy)]
pub struct FigureEntry {
    /// Name with unit.
    pub name: &'static str,
    /// Whether less is better.
    pub is_less_better: bool,
    /// Reads it.
    pub read: fn(&PolicyRuns, usize) -> f64,
}

const fn less(name: &'static str, read: fn(&PolicyRuns, usize) -> f64) -> FigureEntry {
    FigureEntry { name, is_less_better: true, read }
}

const fn more(name: &'static str, read: fn(&PolicyRuns, usize) -> f64) -> FigureEntry {
    FigureEntry { name, is_less_better: false, read }
}

/// All figures.
pub const FIGURES: [FigureEntry; 13] = [
    less("trainer idle, s", |runs, seed| runs.outcomes[seed].idle_seconds),
    less("staleness, s", |runs, seed| runs.outcomes[seed].staleness_seconds),
    more("worst-served share", |runs, seed| runs.worst_shares[seed]),
    less("cost, target h", |runs, seed| runs.outcomes[seed].cost),
    more("work on cheap", |runs, seed| runs.outcomes[seed].cheap_share),
    less("wasted tokens", |runs, seed| runs.outcomes[seed].wasted_share),
    more("other domains' use", |runs, seed| runs.outcomes[seed].other_domain_use),
    less("page p99, ms", |runs, seed| runs.outcomes[seed].page_p99_ms),
    less("pages failed", |runs, seed| runs.outcomes[seed].page_failures),
    less("prefill tokens", |runs, seed| runs.outcomes[seed].prefill_tokens),
    less("tries/first tries", |runs, seed| runs.outcomes[seed].try_ratio),
    less("cold overload", |runs, seed| runs.outcomes[seed].cold_overload),
    less("routing work a request, us", |runs, seed| runs.outcomes[seed].decision_micros),
];

/// Mean and extremes over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeedSpread {
    /// Mean.
    pub mean: f64,
    /// Smallest.
    pub least: f64,
    /// Largest.
    pub most: f64,
}

impl SeedSpread {
    /// Spread of values.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let mean = values.iter().sum::<f64>() / (values.len().max(1) as f64);
        let least = values.iter().copied().fold(f64::MAX, f64::min);
        let most = values.iter().copied().fold(f64::MIN, f64::max);
        Self { mean, least, most }
    }
}

impl std::fmt::Display for SeedSpread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} ({:.3}-{:.3})", self.mean, self.least, self.most)
    }
}

/// Text of the whole study.
#[must_use]
pub fn render(report: &StudyReport) -> String {
    let mut text = String::new();
    let seeds: Vec<String> = report.seeds.iter().map(ToString::to_string).collect();
    let _ = writeln!(text, "seeds: {}", seeds.join(" "));
    let _ = writeln!(text, "late or wrong usage reports: not covered by this tool");
    let mut groups: Vec<(&str, &str)> =
        report.runs.iter().map(|runs| (runs.user.as_str(), runs.script.as_str())).collect();
    groups.dedup();
    for (user, script) in groups {
        render_group(&mut text, report, user, script);
    }
    render_goals(&mut text, report);
    text
}

fn render_group(text: &mut String, report: &StudyReport, user: &str, script: &str) {
    let _ = writeln!(text, "\n== {user}, {script}: mean (least-most) over the seeds");
    let Some(product) = report.find(user, script, POLICIES[0].0) else { return };
    for figure in FIGURES {
        let _ = writeln!(text, "{}", figure.name);
        for (policy, _) in POLICIES {
            let Some(runs) = report.find(user, script, policy) else { continue };
            let values: Vec<f64> = (0..runs.outcomes.len()).map(|seed| (figure.read)(runs, seed)).collect();
            let _ = writeln!(text, "  {policy:<18} {}", SeedSpread::of(&values));
        }
        let ratios: Vec<f64> =
            (0..product.outcomes.len()).map(|seed| ratio_to_best(report, user, script, figure, seed)).collect();
        let _ = writeln!(text, "  {:<18} {}", "ratio to best", SeedSpread::of(&ratios));
    }
}

/// Product's figure over the best baseline's with the same seed. The run on firm targets only is a baseline for the
/// cost alone, since it has the product's policy. A figure below the floor counts as the floor: half a second of idle
/// time over none is no ratio.
#[must_use]
pub fn ratio_to_best(report: &StudyReport, user: &str, script: &str, figure: FigureEntry, seed: usize) -> f64 {
    let is_cost = figure.name.starts_with("cost");
    let baselines = POLICIES.iter().skip(1).filter(|(name, _)| (*name == "all-firm") == is_cost);
    let values: Vec<f64> = baselines
        .filter_map(|(name, _)| report.find(user, script, name))
        .map(|runs| (figure.read)(runs, seed))
        .collect();
    let best = values.into_iter().reduce(if figure.is_less_better { f64::min } else { f64::max }).unwrap_or(0.0);
    let own = report.find(user, script, POLICIES[0].0).map_or(0.0, |runs| (figure.read)(runs, seed));
    let floor = if figure.name.ends_with(", s") { 1.0 } else { 0.001 };
    own.max(floor) / best.max(floor)
}

struct GoalLine {
    name: String,
    values: Vec<f64>,
    is_met: bool,
}

fn render_goals(text: &mut String, report: &StudyReport) {
    let _ = writeln!(text, "\n== goals (product)");
    let mut users: Vec<&str> = report.runs.iter().map(|runs| runs.user.as_str()).collect();
    users.dedup();
    for user in users {
        for goal in user_goals(report, user) {
            let state = if goal.is_met { "met" } else { "MISSED" };
            let _ = writeln!(text, "{user:<9} {state:<7} {}: {}", goal.name, SeedSpread::of(&goal.values));
        }
    }
}

fn user_goals(report: &StudyReport, user: &str) -> Vec<GoalLine> {
    let mut goals = Vec::new();
    for script in ["flood", "domain-loss"] {
        goals.extend(ratio_goal(report, user, script, 0, "trainer idle over best baseline <= 0.5", |mean| mean <= 0.5));
    }
    goals.extend(value_goal(
        report,
        user,
        "flood",
        "worst-served share >= 0.9",
        |runs, seed| runs.worst_shares[seed],
        |mean| mean >= 0.9,
    ));
    goals.extend(calm_goal(report, user));
    goals.extend(cost_goals(report, user));
    goals.extend(value_goal(
        report,
        user,
        "domain-return",
        "other domains' use >= 0.95",
        |runs, seed| runs.outcomes[seed].other_domain_use,
        |mean| mean >= 0.95,
    ));
    goals.extend(value_goal(
        report,
        user,
        "domain-return",
        "tries/first tries <= 1.1",
        |runs, seed| runs.outcomes[seed].try_ratio,
        |mean| mean <= 1.1,
    ));
    goals.extend(prefill_goals(report, user));
    goals
}

fn finish_goal(name: String, values: Vec<f64>, is_met: fn(f64) -> bool) -> GoalLine {
    let is_met = is_met(SeedSpread::of(&values).mean);
    GoalLine { name, values, is_met }
}

fn ratio_goal(
    report: &StudyReport,
    user: &str,
    script: &str,
    figure: usize,
    name: &str,
    is_met: fn(f64) -> bool,
) -> Option<GoalLine> {
    let runs = report.find(user, script, POLICIES[0].0)?;
    let ratio = |seed| ratio_to_best(report, user, script, FIGURES[figure], seed);
    Some(finish_goal(format!("{script}: {name}"), (0..runs.outcomes.len()).map(ratio).collect(), is_met))
}

fn value_goal(
    report: &StudyReport,
    user: &str,
    script: &str,
    name: &str,
    read: fn(&PolicyRuns, usize) -> f64,
    is_met: fn(f64) -> bool,
) -> Option<GoalLine> {
    let runs = report.find(user, script, POLICIES[0].0)?;
    let values = (0..runs.outcomes.len()).map(|seed| read(runs, seed)).collect();
    Some(finish_goal(format!("{script}: {name}"), values, is_met))
}

fn pair_goal(
    pair: (&PolicyRuns, &PolicyRuns),
    name: &str,
    read: fn(&RunOutcome) -> f64,
    is_met: fn(f64) -> bool,
) -> GoalLine {
    let outcomes = pair.0.outcomes.iter().zip(&pair.1.outcomes);
    let values = outcomes.map(|(own, other)| read(own) / read(other).max(1e-9)).collect();
    finish_goal(name.to_owned(), values, is_met)
}

fn calm_goal(report: &StudyReport, user: &str) -> Option<GoalLine> {
    let flood = report.find(user, "flood", POLICIES[0].0)?;
    let calm = report.find(user, "none", POLICIES[0].0)?;
    let name = "flood: page p99 over the calm one <= 1.2";
    Some(pair_goal((flood, calm), name, |run| run.page_p99_ms, |mean| mean <= 1.2))
}

fn cost_goals(report: &StudyReport, user: &str) -> Vec<GoalLine> {
    let mut goals = Vec::new();
    for script in ["none", "cheap-reclaim"] {
        let own = report.find(user, script, POLICIES[0].0);
        let firm = report.find(user, script, "all-firm");
        let Some((own, firm)) = own.zip(firm) else { continue };
        let name = format!("{script}: cost over all-firm <= 0.7");
        goals.push(pair_goal((own, firm), &name, |run| run.cost, |mean| mean <= 0.7));
        let latest = own.outcomes.iter().zip(&firm.outcomes).map(|(own, firm)| latest_step(own, firm)).collect();
        goals.push(finish_goal(format!("{script}: latest step over all-firm <= 1.05"), latest, |mean| mean <= 1.05));
    }
    goals
}

/// Largest ratio of the times at which the same step was ready for its trainer.
fn latest_step(own: &RunOutcome, other: &RunOutcome) -> f64 {
    let pairs = own.step_starts.iter().zip(&other.step_starts);
    let ratios = pairs.flat_map(|(own, other)| own.iter().zip(other).map(|(own, other)| own / other.max(1e-9)));
    ratios.fold(0.0, f64::max)
}

fn prefill_goals(report: &StudyReport, user: &str) -> Vec<GoalLine> {
    let own = report.find(user, "none", POLICIES[0].0);
    let least = report.find(user, "none", "least-outstanding");
    let Some(pair) = own.zip(least) else { return Vec::new() };
    vec![
        pair_goal(
            pair,
            "none: prefill over least outstanding <= 0.667",
            |run| run.prefill_tokens,
            |mean| mean <= 0.667,
        ),
        pair_goal(pair, "none: page p99 over least outstanding <= 1.0", |run| run.page_p99_ms, |mean| mean <= 1.0),
    ]
}
