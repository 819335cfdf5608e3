//! Runs of all policies over scripts and seeds, and their comparison.

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

/// What to run.
#[derive(Debug, Clone)]
pub struct StudyOptions {
    /// User; both when absent.
    pub user: Option<String>,
    /// Script besides `none`; all when absent.
    pub script: Option<String>,
    /// Number of seeds.
    pub seeds: u64,
    /// First seed.
    pub first_seed: u64,
    /// Runs at one time.
    pub threads: usize,
    /// File for the JSON report.
    pub json: Option<PathBuf>,
    /// Directory for the plots.
    pub plots: Option<PathBuf>,
}

/// Name and kind of each policy; the first one is the product's.
pub const POLICIES: [(&str, PolicyKind); 7] = [
    ("product", PolicyKind::Product),
    ("random", PolicyKind::Rule(BaselineRule::Random)),
    ("round-robin", PolicyKind::Rule(BaselineRule::RoundRobin)),
    ("least-outstanding", PolicyKind::Rule(BaselineRule::LeastOutstanding)),
    ("no-fairness", PolicyKind::NoFairness),
    ("equal-shares", PolicyKind::Rule(BaselineRule::EqualShares)),
    ("all-firm", PolicyKind::AllFirm),
];

/// Results of one policy under one script, one for each seed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PolicyRuns {
    /// User.
    pub user: String,
    /// Script.
    pub script: String,
    /// Policy.
    pub policy: String,
    /// Results in the order of the seeds.
    pub outcomes: Vec<RunOutcome>,
    /// Share of its weighted fair share that the worst-served organisation got, in the order of the seeds.
    pub worst_shares: Vec<f64>,
}

/// All results.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StudyReport {
    /// Seeds.
    pub seeds: Vec<u64>,
    /// Results.
    pub runs: Vec<PolicyRuns>,
}

impl StudyReport {
    /// Results of one policy.
    #[must_use]
    pub fn find(&self, user: &str, script: &str, policy: &str) -> Option<&PolicyRuns> {
        self.runs.iter().find(|runs| runs.user == user && runs.script == script && runs.policy == policy)
    }
}

/// Runs the study, prints it and writes the files asked for.
///
/// # Errors
///
/// A name is unknown, or a file cannot be written.
pub fn run_study(options: &StudyOptions) -> io::Result<()> {
    let users: Vec<UserWorkload> =
        [tamarind(), solemend()].into_iter().filter(|user| is_wanted(options.user.as_deref(), user.name)).collect();
    let scripts: Vec<FaultScript> = ALL_SCRIPTS
        .into_iter()
        .filter(|script| *script == FaultScript::None || is_wanted(options.script.as_deref(), script.name()))
        .collect();
    let is_known = |name: &String| ALL_SCRIPTS.iter().any(|script| script.name() == name);
    if users.is_empty() || !options.script.iter().all(is_known) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "unknown user or script"));
    }
    let seeds: Vec<u64> = (options.first_seed..options.first_seed + options.seeds).collect();
    let report = run_all(&users, &scripts, &seeds, options.threads);
    print!("{}", study_text::render(&report));
    if let Some(file) = &options.json {
        std::fs::write(file, serde_json::to_vec_pretty(&report)?)?;
    }
    if let Some(directory) = &options.plots {
        std::fs::create_dir_all(directory)?;
        plots::write_plots(&report, directory).map_err(io::Error::other)?;
    }
    Ok(())
}

fn is_wanted(name: Option<&str>, candidate: &str) -> bool {
    name.is_none_or(|name| name == candidate)
}

struct PlannedRun<'a> {
    user: &'a UserWorkload,
    script: FaultScript,
    policy: usize,
    seed: u64,
}

/// Runs every combination on a few threads.
#[must_use]
pub fn run_all(users: &[UserWorkload], scripts: &[FaultScript], seeds: &[u64], threads: usize) -> StudyReport {
    let mut plan = Vec::new();
    for user in users {
        for script in scripts {
            for policy in 0..POLICIES.len() {
                plan.extend(seeds.iter().map(|seed| PlannedRun { user, script: *script, policy, seed: *seed }));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunOutcome)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = plan.get(index) else { break };
                    let simulation = Simulation::new(run.user, POLICIES[run.policy].1, run.script, run.seed);
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
    collect(users, seeds, &plan, &outcomes)
}

fn collect(users: &[UserWorkload], seeds: &[u64], plan: &[PlannedRun<'_>], outcomes: &[RunOutcome]) -> StudyReport {
    let mut runs = Vec::new();
    for (chunk, results) in plan.chunks(seeds.len()).zip(outcomes.chunks(seeds.len())) {
        runs.push(PolicyRuns {
            user: chunk[0].user.name.to_owned(),
            script: chunk[0].script.name().to_owned(),
            policy: POLICIES[chunk[0].policy].0.to_owned(),
            outcomes: results.to_vec(),
            worst_shares: Vec::new(),
        });
    }
    let mut report = StudyReport { seeds: seeds.to_vec(), runs };
    let shares: Vec<Vec<f64>> = report.runs.iter().map(|runs| worst_shares(&report, users, runs)).collect();
    for (runs, shares) in report.runs.iter_mut().zip(shares) {
        runs.worst_shares = shares;
    }
    report
}

fn worst_shares(report: &StudyReport, users: &[UserWorkload], runs: &PolicyRuns) -> Vec<f64> {
    let Some(user) = users.iter().find(|user| user.name == runs.user) else { return Vec::new() };
    let Some(calm) = report.find(&runs.user, FaultScript::None.name(), POLICIES[0].0) else { return Vec::new() };
    let weights: Vec<f64> = user.organisations.iter().map(|entry| entry.weight).collect();
    let is_flood = runs.script == FaultScript::Flood.name();
    let pairs = runs.outcomes.iter().zip(&calm.outcomes);
    pairs.map(|(run, calm)| worst_share(&run.served_tokens, &calm.served_tokens, &weights, is_flood)).collect()
}

/// Smallest share of its weighted fair share that an organisation got. An organisation wants what it got of the
/// product in a calm run; a flooding one wants everything, and is not judged.
fn worst_share(served: &[f64], calm: &[f64], weights: &[f64], is_flood: bool) -> f64 {
    let mut demands = calm.to_vec();
    if is_flood {
        demands[FLOOD_ORGANISATION] = f64::MAX;
    }
    let fair = fair_shares(served.iter().sum(), &demands, weights);
    let judged = (0..served.len()).filter(|index| !is_flood || *index != FLOOD_ORGANISATION);
    judged.map(|index| served[index] / fair[index].max(1.0)).fold(f64::MAX, f64::min)
}

/// Weighted max-min fair shares of a capacity.
#[must_use]
pub fn fair_shares(capacity: f64, demands: &[f64], weights: &[f64]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    while !open.is_empty() {
        let weight: f64 = open.iter().map(|index| weights[*index]).sum();
        let level = left / weight;
        let full: Vec<usize> =
            open.iter().copied().filter(|index| demands[*index] <= level * weights[*index]).collect();
        if full.is_empty() {
            for index in open {
                shares[index] = level * weights[index];
            }
            break;
        }
        for index in &full {
            shares[*index] = demands[*index];
            left -= demands[*index];
        }
        open.retain(|index| !full.contains(index));
    }
    shares
}
