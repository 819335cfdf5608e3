//! Renders a study as text: figures of each policy, ratios of the product to the best baseline, and whether the
//! product meets its goals.

use std::fmt::Write as _;

use crate::experiment::measures::RunOutcome;
use crate::experiment::study::{POLICIES, PolicyRuns, StudyReport};

/// Figure that is reported for every run.
#[derive(Debug, Clone, Copy)]
pub struct StudyFigure {
    /// Name with unit. The prefix `cost` and the suffix `, s` also decide which baselines and which lower bound
    /// [`compute_ratio_to_best`] uses.
    pub name: &'static str,
    /// Whether a lower value is better.
    pub is_lower_better: bool,
    /// Reads the value of the run with the seed at this position.
    pub read: fn(&PolicyRuns, usize) -> f64,
}

const fn lower_is_better(name: &'static str, read: fn(&PolicyRuns, usize) -> f64) -> StudyFigure {
    StudyFigure { name, is_lower_better: true, read }
}

const fn higher_is_better(name: &'static str, read: fn(&PolicyRuns, usize) -> f64) -> StudyFigure {
    StudyFigure { name, is_lower_better: false, read }
}

/// All figures, in the order of the report. [`RunOutcome`] tells what each one means.
pub const FIGURES: [StudyFigure; 13] = [
    lower_is_better("trainer idle, s", |runs, seed_index| runs.outcomes[seed_index].idle_seconds),
    lower_is_better("staleness, s", |runs, seed_index| runs.outcomes[seed_index].staleness_seconds),
    higher_is_better("worst-served share", |runs, seed_index| runs.worst_shares[seed_index]),
    lower_is_better("cost, target h", |runs, seed_index| runs.outcomes[seed_index].cost),
    higher_is_better("work on cheap", |runs, seed_index| runs.outcomes[seed_index].cheap_share),
    lower_is_better("wasted tokens", |runs, seed_index| runs.outcomes[seed_index].wasted_share),
    higher_is_better("other domains' use", |runs, seed_index| runs.outcomes[seed_index].other_domain_use),
    lower_is_better("page p99, ms", |runs, seed_index| runs.outcomes[seed_index].page_p99_ms),
    lower_is_better("pages failed", |runs, seed_index| runs.outcomes[seed_index].page_failures),
    lower_is_better("prefill tokens", |runs, seed_index| runs.outcomes[seed_index].prefill_tokens),
    lower_is_better("tries/first tries", |runs, seed_index| runs.outcomes[seed_index].try_ratio),
    lower_is_better("cold overload", |runs, seed_index| runs.outcomes[seed_index].cold_overload),
    lower_is_better("routing work a request, us", |runs, seed_index| runs.outcomes[seed_index].decision_micros),
];

/// Mean and range of a figure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeedSpread {
    /// Arithmetic mean; 0 without values.
    pub mean: f64,
    /// Smallest value; `f64::MAX` without values.
    pub min: f64,
    /// Largest value; `f64::MIN` without values.
    pub max: f64,
}

impl SeedSpread {
    /// Spread of the values of all seeds.
    #[must_use]
    pub fn from_values(values: &[f64]) -> Self {
        let mean = values.iter().sum::<f64>() / (values.len().max(1) as f64);
        let min = values.iter().copied().fold(f64::MAX, f64::min);
        let max = values.iter().copied().fold(f64::MIN, f64::max);
        Self { mean, min, max }
    }
}

impl std::fmt::Display for SeedSpread {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.3} ({:.3}-{:.3})", self.mean, self.min, self.max)
    }
}

/// Text of the whole study: the figures of each user and script, then the goals.
#[must_use]
pub fn render_study(report: &StudyReport) -> String {
    let mut text = String::new();
    let seeds: Vec<String> = report.seeds.iter().map(ToString::to_string).collect();
    let _ = writeln!(text, "seeds: {}", seeds.join(" "));
    let _ = writeln!(text, "late or wrong usage reports: not covered by this tool");
    let mut groups: Vec<(&str, &str)> =
        report.runs.iter().map(|runs| (runs.user.as_str(), runs.script.as_str())).collect();
    groups.dedup();
    for (user, script) in groups {
        render_figures(&mut text, report, user, script);
    }
    render_goals(&mut text, report);
    text
}

fn render_figures(text: &mut String, report: &StudyReport, user: &str, script: &str) {
    let _ = writeln!(text, "\n== {user}, {script}: mean (least-most) over the seeds");
    let Some(product) = report.find(user, script, POLICIES[0].0) else { return };
    for figure in FIGURES {
        let _ = writeln!(text, "{}", figure.name);
        for (policy, _) in POLICIES {
            let Some(runs) = report.find(user, script, policy) else { continue };
            let values: Vec<f64> = (0..runs.outcomes.len()).map(|seed_index| (figure.read)(runs, seed_index)).collect();
            let _ = writeln!(text, "  {policy:<18} {}", SeedSpread::from_values(&values));
        }
        let ratios: Vec<f64> = (0..product.outcomes.len())
            .map(|seed_index| compute_ratio_to_best(report, user, script, figure, seed_index))
            .collect();
        let _ = writeln!(text, "  {:<18} {}", "ratio to best", SeedSpread::from_values(&ratios));
    }
}

/// Ratio of the product's figure to the best baseline's with the same seed. The cost is compared with `all-firm`
/// alone, and every other figure with the other baselines, since `all-firm` is the product's policy on firm targets
/// only. A figure below the floor counts as the floor: a ratio to an idle time of zero, for example, would say nothing.
#[must_use]
pub fn compute_ratio_to_best(
    report: &StudyReport,
    user: &str,
    script: &str,
    figure: StudyFigure,
    seed_index: usize,
) -> f64 {
    let is_cost = figure.name.starts_with("cost");
    let baselines = POLICIES.iter().skip(1).filter(|(name, _)| (*name == "all-firm") == is_cost);
    let values: Vec<f64> = baselines
        .filter_map(|(name, _)| report.find(user, script, name))
        .map(|runs| (figure.read)(runs, seed_index))
        .collect();
    let best = values.into_iter().reduce(if figure.is_lower_better { f64::min } else { f64::max }).unwrap_or(0.0);
    let product = report.find(user, script, POLICIES[0].0).map_or(0.0, |runs| (figure.read)(runs, seed_index));
    let floor = if figure.name.ends_with(", s") { 1.0 } else { 0.001 };
    product.max(floor) / best.max(floor)
}

struct GoalResult {
    name: String,
    values: Vec<f64>,
    is_met: bool,
}

fn render_goals(text: &mut String, report: &StudyReport) {
    let _ = writeln!(text, "\n== goals (product)");
    let mut users: Vec<&str> = report.runs.iter().map(|runs| runs.user.as_str()).collect();
    users.dedup();
    for user in users {
        for goal in evaluate_user_goals(report, user) {
            let state = if goal.is_met { "met" } else { "MISSED" };
            let _ = writeln!(text, "{user:<9} {state:<7} {}: {}", goal.name, SeedSpread::from_values(&goal.values));
        }
    }
}

fn evaluate_user_goals(report: &StudyReport, user: &str) -> Vec<GoalResult> {
    let mut goals = Vec::new();
    for script in ["flood", "domain-loss"] {
        goals.extend(evaluate_ratio_goal(report, user, script, 0, "trainer idle over best baseline <= 0.5", |mean| {
            mean <= 0.5
        }));
    }
    goals.extend(evaluate_value_goal(
        report,
        user,
        "flood",
        "worst-served share >= 0.9",
        |runs, seed_index| runs.worst_shares[seed_index],
        |mean| mean >= 0.9,
    ));
    goals.extend(evaluate_page_latency_goal(report, user));
    goals.extend(evaluate_cost_goals(report, user));
    goals.extend(evaluate_value_goal(
        report,
        user,
        "domain-return",
        "other domains' use >= 0.95",
        |runs, seed_index| runs.outcomes[seed_index].other_domain_use,
        |mean| mean >= 0.95,
    ));
    goals.extend(evaluate_value_goal(
        report,
        user,
        "domain-return",
        "tries/first tries <= 1.1",
        |runs, seed_index| runs.outcomes[seed_index].try_ratio,
        |mean| mean <= 1.1,
    ));
    goals.extend(evaluate_prefill_goals(report, user));
    goals
}

fn evaluate_goal(name: String, values: Vec<f64>, is_met: fn(f64) -> bool) -> GoalResult {
    let is_met = is_met(SeedSpread::from_values(&values).mean);
    GoalResult { name, values, is_met }
}

/// Goal for the ratio of the product to the best baseline; `figure_index` is a position in [`FIGURES`], where 0 is the
/// trainer idle time.
fn evaluate_ratio_goal(
    report: &StudyReport,
    user: &str,
    script: &str,
    figure_index: usize,
    name: &str,
    is_met: fn(f64) -> bool,
) -> Option<GoalResult> {
    let runs = report.find(user, script, POLICIES[0].0)?;
    let ratio = |seed_index| compute_ratio_to_best(report, user, script, FIGURES[figure_index], seed_index);
    Some(evaluate_goal(format!("{script}: {name}"), (0..runs.outcomes.len()).map(ratio).collect(), is_met))
}

fn evaluate_value_goal(
    report: &StudyReport,
    user: &str,
    script: &str,
    name: &str,
    read: fn(&PolicyRuns, usize) -> f64,
    is_met: fn(f64) -> bool,
) -> Option<GoalResult> {
    let runs = report.find(user, script, POLICIES[0].0)?;
    let values = (0..runs.outcomes.len()).map(|seed_index| read(runs, seed_index)).collect();
    Some(evaluate_goal(format!("{script}: {name}"), values, is_met))
}

/// Goal for the ratio of a figure of the first runs to the same figure of the second runs, seed by seed.
fn evaluate_pair_goal(
    pair: (&PolicyRuns, &PolicyRuns),
    name: &str,
    read: fn(&RunOutcome) -> f64,
    is_met: fn(f64) -> bool,
) -> GoalResult {
    let outcomes = pair.0.outcomes.iter().zip(&pair.1.outcomes);
    let values = outcomes.map(|(first, second)| read(first) / read(second).max(1e-9)).collect();
    evaluate_goal(name.to_owned(), values, is_met)
}

fn evaluate_page_latency_goal(report: &StudyReport, user: &str) -> Option<GoalResult> {
    let flood = report.find(user, "flood", POLICIES[0].0)?;
    let fault_free = report.find(user, "none", POLICIES[0].0)?;
    let name = "flood: page p99 over the calm one <= 1.2";
    Some(evaluate_pair_goal((flood, fault_free), name, |run| run.page_p99_ms, |mean| mean <= 1.2))
}

fn evaluate_cost_goals(report: &StudyReport, user: &str) -> Vec<GoalResult> {
    let mut goals = Vec::new();
    for script in ["none", "cheap-reclaim"] {
        let product = report.find(user, script, POLICIES[0].0);
        let all_firm = report.find(user, script, "all-firm");
        let Some((product, all_firm)) = product.zip(all_firm) else { continue };
        let name = format!("{script}: cost over all-firm <= 0.7");
        goals.push(evaluate_pair_goal((product, all_firm), &name, |run| run.cost, |mean| mean <= 0.7));
        let ratios = product
            .outcomes
            .iter()
            .zip(&all_firm.outcomes)
            .map(|(product, all_firm)| compute_step_delay_ratio(product, all_firm))
            .collect();
        goals.push(evaluate_goal(format!("{script}: latest step over all-firm <= 1.05"), ratios, |mean| mean <= 1.05));
    }
    goals
}

/// Largest ratio of the times at which training on the same step started in two runs, over the steps that both runs
/// reached; 0 without such a step.
fn compute_step_delay_ratio(first: &RunOutcome, second: &RunOutcome) -> f64 {
    let trainers = first.step_starts.iter().zip(&second.step_starts);
    let ratios =
        trainers.flat_map(|(first, second)| first.iter().zip(second).map(|(first, second)| first / second.max(1e-9)));
    ratios.fold(0.0, f64::max)
}

fn evaluate_prefill_goals(report: &StudyReport, user: &str) -> Vec<GoalResult> {
    let product = report.find(user, "none", POLICIES[0].0);
    let least_outstanding = report.find(user, "none", "least-outstanding");
    let Some(pair) = product.zip(least_outstanding) else { return Vec::new() };
    vec![
        evaluate_pair_goal(
            pair,
            "none: prefill over least outstanding <= 0.667",
            |run| run.prefill_tokens,
            |mean| mean <= 0.667,
        ),
        evaluate_pair_goal(
            pair,
            "none: page p99 over least outstanding <= 1.0",
            |run| run.page_p99_ms,
            |mean| mean <= 1.0,
        ),
    ]
}
