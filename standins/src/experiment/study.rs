//! Runs every policy with every selected user, fault script and seed, and collects the results in a report.

use std::io;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use serde::{Deserialize, Serialize};

use crate::experiment::baseline_router::BaselineRule;
use crate::experiment::fault_script::{ALL_SCRIPTS, FLOOD_ORGANISATION, FaultScript};
use crate::experiment::measures::RunOutcome;
use crate::experiment::simulation::{PolicyKind, Simulation};
use crate::experiment::user_workload::{UserWorkload, solemend, tamarind};
use crate::experiment::{plots, study_text};

/// Selection of the runs, and where the results go.
#[derive(Debug, Clone)]
pub struct StudyOptions {
    /// Name of the user whose workload runs; `None` runs both users.
    pub user: Option<String>,
    /// Name of the fault script to run besides `none`, which always runs; `None` runs all scripts.
    pub script: Option<String>,
    /// Number of consecutive seeds, at least 1.
    pub seeds: u64,
    /// Lowest seed.
    pub first_seed: u64,
    /// Number of concurrent runs; 0 counts as 1.
    pub threads: usize,
    /// File to which the report is written as JSON; `None` writes none.
    pub json: Option<PathBuf>,
    /// Directory for the plots, created when missing; `None` draws none.
    pub plots: Option<PathBuf>,
}

/// Name and kind of each policy. The first one is the product's; the others are its baselines.
pub const POLICIES: [(&str, PolicyKind); 7] = [
    ("product", PolicyKind::Product),
    ("random", PolicyKind::Rule(BaselineRule::Random)),
    ("round-robin", PolicyKind::Rule(BaselineRule::RoundRobin)),
    ("least-outstanding", PolicyKind::Rule(BaselineRule::LeastOutstanding)),
    ("no-fairness", PolicyKind::NoFairness),
    ("equal-shares", PolicyKind::Rule(BaselineRule::EqualShares)),
    ("all-firm", PolicyKind::AllFirm),
];

/// Results of one policy with one user and one script.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PolicyRuns {
    /// Name of the user, see [`UserWorkload::name`].
    pub user: String,
    /// Name of the fault script, see [`FaultScript::name`].
    pub script: String,
    /// Name of the policy, one of [`POLICIES`].
    pub policy: String,
    /// One outcome for each seed, in the order of the seeds.
    pub outcomes: Vec<RunOutcome>,
    /// Tokens of the worst-served organisation divided by its weighted fair share, in the order of the seeds; empty
    /// without the product's runs under the script `none`, which give the demands.
    pub worst_shares: Vec<f64>,
}

/// Results of a study, which are also written as JSON.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StudyReport {
    /// Seeds that every combination of user, script and policy ran with.
    pub seeds: Vec<u64>,
    /// Results ordered by user, then script, then policy.
    pub runs: Vec<PolicyRuns>,
}

impl StudyReport {
    /// Results of one combination; `None` if it was not run.
    #[must_use]
    pub fn find(&self, user: &str, script: &str, policy: &str) -> Option<&PolicyRuns> {
        self.runs.iter().find(|runs| runs.user == user && runs.script == script && runs.policy == policy)
    }
}

/// Runs the study, prints its text to standard output and writes the files selected in the options.
///
/// # Errors
///
/// The user or the script is unknown, which is checked before the runs; or, after them, the directory for the plots
/// cannot be created, or the report or a plot cannot be written.
pub fn run_study(options: &StudyOptions) -> io::Result<()> {
    let users: Vec<UserWorkload> =
        [tamarind(), solemend()].into_iter().filter(|user| is_selected(options.user.as_deref(), user.name)).collect();
    let scripts: Vec<FaultScript> = ALL_SCRIPTS
        .into_iter()
        .filter(|script| *script == FaultScript::None || is_selected(options.script.as_deref(), script.name()))
        .collect();
    let is_known = |name: &String| ALL_SCRIPTS.iter().any(|script| script.name() == name);
    if users.is_empty() || !options.script.iter().all(is_known) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "unknown user or script"));
    }
    let seeds: Vec<u64> = (options.first_seed..options.first_seed + options.seeds).collect();
    let report = run_combinations(&users, &scripts, &seeds, options.threads);
    print!("{}", study_text::render_study(&report));
    if let Some(file) = &options.json {
        std::fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    }
    if let Some(directory) = &options.plots {
        std::fs::create_dir_all(directory)?;
        plots::write_plots(&report, directory).map_err(io::Error::other)?;
    }
    Ok(())
}

fn is_selected(selection: Option<&str>, name: &str) -> bool {
    selection.is_none_or(|selected| selected == name)
}

struct PlannedRun<'a> {
    user: &'a UserWorkload,
    script: FaultScript,
    policy_index: usize,
    seed: u64,
}

/// Runs every combination of user, script, policy and seed on up to `threads` threads; 0 counts as 1.
///
/// # Panics
///
/// `seeds` is empty.
#[must_use]
pub fn run_combinations(users: &[UserWorkload], scripts: &[FaultScript], seeds: &[u64], threads: usize) -> StudyReport {
    let mut plan = Vec::new();
    for user in users {
        for script in scripts {
            for policy_index in 0..POLICIES.len() {
                plan.extend(seeds.iter().map(|seed| PlannedRun { user, script: *script, policy_index, seed: *seed }));
            }
        }
    }
    let next_index = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunOutcome)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next_index.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = plan.get(index) else { break };
                    let simulation = Simulation::new(run.user, POLICIES[run.policy_index].1, run.script, run.seed);
                    let outcome = simulation.run();
                    if let Ok(mut results) = results.lock() {
                        results.push((index, outcome));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_unstable_by_key(|result| result.0);
    let outcomes: Vec<RunOutcome> = results.into_iter().map(|result| result.1).collect();
    collect_report(users, seeds, &plan, &outcomes)
}

fn collect_report(
    users: &[UserWorkload],
    seeds: &[u64],
    plan: &[PlannedRun<'_>],
    outcomes: &[RunOutcome],
) -> StudyReport {
    let mut runs = Vec::new();
    for (planned_runs, outcomes) in plan.chunks(seeds.len()).zip(outcomes.chunks(seeds.len())) {
        runs.push(PolicyRuns {
            user: planned_runs[0].user.name.to_owned(),
            script: planned_runs[0].script.name().to_owned(),
            policy: POLICIES[planned_runs[0].policy_index].0.to_owned(),
            outcomes: outcomes.to_vec(),
            worst_shares: Vec::new(),
        });
    }
    let mut report = StudyReport { seeds: seeds.to_vec(), runs };
    let shares: Vec<Vec<f64>> = report.runs.iter().map(|runs| compute_worst_shares(&report, users, runs)).collect();
    for (runs, shares) in report.runs.iter_mut().zip(shares) {
        runs.worst_shares = shares;
    }
    report
}

fn compute_worst_shares(report: &StudyReport, users: &[UserWorkload], runs: &PolicyRuns) -> Vec<f64> {
    let Some(user) = users.iter().find(|user| user.name == runs.user) else { return Vec::new() };
    let Some(fault_free) = report.find(&runs.user, FaultScript::None.name(), POLICIES[0].0) else { return Vec::new() };
    let weights: Vec<f64> = user.organisations.iter().map(|organisation| organisation.weight).collect();
    let is_flood = runs.script == FaultScript::Flood.name();
    let pairs = runs.outcomes.iter().zip(&fault_free.outcomes);
    pairs
        .map(|(run, fault_free)| compute_worst_share(&run.served_tokens, &fault_free.served_tokens, &weights, is_flood))
        .collect()
}

/// Smallest ratio of the tokens served to an organisation to its weighted fair share of all served tokens. `served`
/// and `fault_free` are [`RunOutcome::served_tokens`]: scoring tokens completed while faults are in force.
/// The demand of an organisation is what the product served it without faults with the same seed. A flooding
/// organisation has unlimited demand, and its own ratio is left out.
fn compute_worst_share(served: &[f64], fault_free: &[f64], weights: &[f64], is_flood: bool) -> f64 {
    let mut demands = fault_free.to_vec();
    if is_flood {
        demands[FLOOD_ORGANISATION] = f64::MAX;
    }
    let fair_shares = compute_fair_shares(served.iter().sum(), &demands, weights);
    let compared = (0..served.len()).filter(|index| !is_flood || *index != FLOOD_ORGANISATION);
    compared.map(|index| served[index] / fair_shares[index].max(1.0)).fold(f64::MAX, f64::min)
}

/// Weighted max-min fair shares of a capacity: none exceeds its demand, and what an organisation does not demand is
/// divided among the others by weight. `demands` and `weights` have one entry for each organisation; weights are
/// above 0.
#[must_use]
pub fn compute_fair_shares(capacity: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut unsatisfied: Vec<usize> = (0..demands.len()).collect();
    let mut remaining = capacity;
    while !unsatisfied.is_empty() {
        let total_weight: f64 = unsatisfied.iter().map(|index| weights[*index]).sum();
        let unit_share = remaining / total_weight;
        let satisfied: Vec<usize> =
            unsatisfied.iter().copied().filter(|index| demands[*index] <= unit_share * weights[*index]).collect();
        if satisfied.is_empty() {
            for index in unsatisfied {
                shares[index] = unit_share * weights[index];
            }
            break;
        }
        for index in &satisfied {
            shares[*index] = demands[*index];
            remaining -= demands[*index];
        }
        unsatisfied.retain(|index| !satisfied.contains(index));
    }
    shares
}
