//! Plan of a weight release for the targets of one service.
//!
//! Targets stage the wanted version a few at a time, since the weight store limits reads; the number adapts to its
//! refusals. When all targets that answer have staged it, or after [`STAGE_LIMIT`], they switch all together. Targets
//! that come later, were restarted or failed are staged and switched by themselves.

use crate::generated::engine_messages::EngineLoad;
use crate::prelude::*;

/// Longest time that staged targets wait for the others.
pub const STAGE_LIMIT: Duration = Duration::from_mins(3);

/// Stagings at one time at first.
const FIRST_STAGINGS: usize = 4;

/// Most stagings at one time.
const STAGING_LIMIT: usize = 256;

/// Most switches at one time. A switch takes a thread while it lasts.
const SWITCH_LIMIT: usize = 128;

/// Failures after which the others do not wait for a target.
const PATIENT_FAILURES: u32 = 3;

/// Pause after the first failure; it doubles for each further one.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after a failure.
const FAILURE_PAUSE_LIMIT: Duration = Duration::from_secs(15);

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Load the version beside the present one.
    Stage,
    /// Use the staged version.
    Switch,
}

/// Order to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightAction {
    /// Target.
    pub target: TargetId,
    /// Order.
    pub order: RolloutCommand,
    /// Version.
    pub version: WeightVersion,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out.
    Done,
    /// Refused because the target does not have what the order needs, or has seen a newer owner.
    Conflict,
    /// Not carried out, or not known to be.
    Failed,
}

/// A target that does not run the wanted version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BehindTarget {
    /// Target.
    pub target: TargetId,
    /// Version that it runs, when known.
    pub version: Option<WeightVersion>,
}

#[derive(Debug, Clone)]
struct TargetPlan {
    target: TargetId,
    version: Option<WeightVersion>,
    staged: Option<WeightVersion>,
    in_flight: Option<RolloutCommand>,
    failures: u32,
    not_before: BootTime,
    /// End of the last order.
    ordered_at: BootTime,
}

/// Plan for the targets of one service.
#[derive(Debug, Clone)]
pub struct WeightPlan {
    wanted: WeightVersion,
    wanted_since: BootTime,
    is_switching: bool,
    stagings: usize,
    /// Sorted by target.
    targets: Vec<TargetPlan>,
}

impl WeightPlan {
    /// Plan without targets.
    #[must_use]
    pub fn new() -> Self {
        Self {
            wanted: 0,
            wanted_since: BootTime::ZERO,
            is_switching: false,
            stagings: FIRST_STAGINGS,
            targets: Vec::new(),
        }
    }

    /// Sets the wanted version; it only increases.
    pub fn set_wanted(&mut self, version: WeightVersion, now: BootTime) {
        if version > self.wanted {
            self.wanted = version;
            self.wanted_since = now;
            self.is_switching = false;
        }
    }

    /// Sets the targets of the service.
    pub fn set_targets(&mut self, targets: &[TargetId]) {
        self.targets.retain(|plan| targets.contains(&plan.target));
        for target in targets {
            if let Err(position) = self.find(target) {
                let plan = TargetPlan {
                    target: target.clone(),
                    version: None,
                    staged: None,
                    in_flight: None,
                    failures: 0,
                    not_before: BootTime::ZERO,
                    ordered_at: BootTime::ZERO,
                };
                self.targets.insert(position, plan);
            }
        }
    }

    /// Takes a load report. Reports lag: one from before the end of the last order says nothing about it.
    pub fn take_load(&mut self, target: &str, load: &EngineLoad, now: BootTime) {
        let Ok(position) = self.find(target) else { return };
        let plan = &mut self.targets[position];
        let reported_at = now.saturating_sub(Duration::from_millis(load.age_ms));
        if plan.in_flight.is_none() && reported_at >= plan.ordered_at {
            plan.version = Some(load.weight_version);
            plan.staged = load.staged_version;
        }
    }

    /// Orders to give now.
    pub fn next_actions(&mut self, now: BootTime) -> Vec<WeightAction> {
        if self.wanted == 0 {
            return Vec::new();
        }
        if !self.is_switching && self.may_switch(now) {
            self.is_switching = true;
        }
        let mut staging = self.count_in_flight(RolloutCommand::Stage);
        let mut switching = self.count_in_flight(RolloutCommand::Switch);
        let mut actions = Vec::new();
        for plan in &mut self.targets {
            if plan.in_flight.is_some() || plan.not_before > now || plan.is_current(self.wanted) {
                continue;
            }
            let order = if plan.staged == Some(self.wanted) { RolloutCommand::Switch } else { RolloutCommand::Stage };
            let is_free = match order {
                RolloutCommand::Stage => staging < self.stagings,
                RolloutCommand::Switch => self.is_switching && switching < SWITCH_LIMIT,
            };
            if !is_free {
                continue;
            }
            match order {
                RolloutCommand::Stage => staging += 1,
                RolloutCommand::Switch => switching += 1,
            }
            plan.in_flight = Some(order);
            actions.push(WeightAction { target: plan.target.clone(), order, version: self.wanted });
        }
        actions
    }

    /// Whether the switch may begin: no target that answers is without the wanted version, or time is up.
    fn may_switch(&self, now: BootTime) -> bool {
        let is_ready = |plan: &TargetPlan| {
            plan.is_current(self.wanted) || plan.staged == Some(self.wanted) || plan.failures >= PATIENT_FAILURES
        };
        self.targets.iter().all(is_ready) || now.saturating_sub(self.wanted_since) >= STAGE_LIMIT
    }

    /// Takes the outcome of an order.
    pub fn take_outcome(&mut self, action: &WeightAction, outcome: OrderOutcome, now: BootTime) {
        if action.order == RolloutCommand::Stage {
            self.adapt_stagings(outcome);
        }
        let Ok(position) = self.find(&action.target) else { return };
        let plan = &mut self.targets[position];
        plan.in_flight = None;
        plan.ordered_at = now;
        if outcome == OrderOutcome::Done {
            plan.failures = 0;
            match action.order {
                RolloutCommand::Stage => plan.staged = Some(action.version),
                RolloutCommand::Switch => plan.version = Some(action.version),
            }
            return;
        }
        if outcome == OrderOutcome::Conflict && action.order == RolloutCommand::Switch {
            plan.staged = None;
        }
        let pause = FAILURE_PAUSE.saturating_mul(2_u32.saturating_pow(plan.failures)).min(FAILURE_PAUSE_LIMIT);
        plan.not_before = now + pause;
        plan.failures += 1;
    }

    /// Additive increase, multiplicative decrease: the weight store's limit is not known to the hosts.
    fn adapt_stagings(&mut self, outcome: OrderOutcome) {
        self.stagings = match outcome {
            OrderOutcome::Done => (self.stagings + 1).min(STAGING_LIMIT),
            OrderOutcome::Conflict => self.stagings,
            OrderOutcome::Failed => (self.stagings / 2).max(1),
        };
    }

    /// Targets that do not run the wanted version.
    #[must_use]
    pub fn behind(&self) -> Vec<BehindTarget> {
        let behind = self.targets.iter().filter(|plan| !plan.is_current(self.wanted));
        behind.map(|plan| BehindTarget { target: plan.target.clone(), version: plan.version }).collect()
    }

    fn count_in_flight(&self, order: RolloutCommand) -> usize {
        self.targets.iter().filter(|plan| plan.in_flight == Some(order)).count()
    }

    fn find(&self, target: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|plan| plan.target.as_str().cmp(target))
    }
}

impl Default for WeightPlan {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetPlan {
    fn is_current(&self, wanted: WeightVersion) -> bool {
        self.version.is_some_and(|version| version >= wanted)
    }
}
