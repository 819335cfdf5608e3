//! Plan of a weight release for the targets of one service.
//!
//! Targets stage the desired version a few at a time, since the weight store limits reads; the number of concurrent
//! stagings adapts to failed stagings. The targets switch together as soon as all of them have staged the version,
//! except those that failed `SKIP_AFTER_FAILURES` times, or after [`STAGING_WAIT_TIMEOUT`]. From then on, each other
//! target, whether new, restarted or failed before, switches as soon as it has staged the version.

use crate::generated::engine_messages::EngineLoad;
use crate::prelude::*;

/// Longest time that staged targets wait for the others, from the time at which the version became the desired one.
pub const STAGING_WAIT_TIMEOUT: Duration = Duration::from_mins(3);

/// Limit of concurrent stagings before the first outcome.
const INITIAL_STAGING_LIMIT: usize = 4;

/// Upper bound of the limit of concurrent stagings.
const MAX_STAGING_LIMIT: usize = 256;

/// Most concurrent switches; each uses a thread of this host until the target answers.
const MAX_SWITCHES: usize = 128;

/// Successive failures of a target after which the others no longer wait for it.
const SKIP_AFTER_FAILURES: u32 = 3;

/// Backoff of a target after its first failure; each further failure doubles it up to [`MAX_FAILURE_BACKOFF`].
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);

const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(15);

/// What a target is ordered to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Load the version while the target keeps serving the current one.
    Stage,
    /// Serve the version that is staged.
    Switch,
}

/// One order to one target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// Target that gets the order, at the address that the configuration has when the order is sent.
    pub target: TargetId,
    /// [`RolloutCommand::Switch`] only for a version that the target is known to have staged.
    pub command: RolloutCommand,
    /// Weight version to stage or to switch to.
    pub version: WeightVersion,
}

/// How an order ended, as far as the host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target carried the order out.
    Done,
    /// The target refused the order because it lacks the staged version, or has seen the epoch of a newer owner.
    Conflict,
    /// The order was not sent, was refused for another reason, or got no answer in time; it may still take effect.
    Failed,
}

/// A target that runs an older version than the desired one, or a version that is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutdatedTarget {
    /// Id as in the configuration.
    pub target: TargetId,
    /// Version that the target runs; `None` before its first load report.
    pub version: Option<WeightVersion>,
}

/// State of one target in the release.
#[derive(Debug, Clone)]
struct TargetPlan {
    target: TargetId,
    version: Option<WeightVersion>,
    staged: Option<WeightVersion>,
    in_flight: Option<RolloutCommand>,
    failures: u32,
    next_order_at: BootTime,
    /// When the last order ended; load reports from before that time are ignored.
    last_order_ended_at: BootTime,
}

/// Plans the release of a version on all targets of one service.
#[derive(Debug, Clone)]
pub struct WeightPlan {
    desired: WeightVersion,
    desired_since: BootTime,
    is_switching: bool,
    /// Limit of concurrent stagings; adapts to the outcomes.
    staging_limit: usize,
    /// Sorted by target.
    targets: Vec<TargetPlan>,
}

impl WeightPlan {
    /// Creates a plan without targets and without a desired version.
    #[must_use]
    pub fn new() -> Self {
        Self {
            desired: 0,
            desired_since: BootTime::ZERO,
            is_switching: false,
            staging_limit: INITIAL_STAGING_LIMIT,
            targets: Vec::new(),
        }
    }

    /// Sets the desired version; a version that is not newer is ignored.
    pub fn set_desired(&mut self, version: WeightVersion, now: BootTime) {
        if version > self.desired {
            self.desired = version;
            self.desired_since = now;
            self.is_switching = false;
        }
    }

    /// Replaces the list of targets; those that stay keep their state.
    pub fn set_targets(&mut self, targets: &[TargetId]) {
        self.targets.retain(|plan| targets.contains(&plan.target));
        for target in targets {
            if let Err(position) = self.find_target(target) {
                let plan = TargetPlan {
                    target: target.clone(),
                    version: None,
                    staged: None,
                    in_flight: None,
                    failures: 0,
                    next_order_at: BootTime::ZERO,
                    last_order_ended_at: BootTime::ZERO,
                };
                self.targets.insert(position, plan);
            }
        }
    }

    /// Records a load report of a target. A report is ignored while an order is in flight, and when it was made before
    /// the last order ended, since it does not show the effect of that order.
    pub fn record_load(&mut self, target: &str, load: &EngineLoad, now: BootTime) {
        let Ok(position) = self.find_target(target) else { return };
        let plan = &mut self.targets[position];
        let reported_at = now.saturating_sub(Duration::from_millis(load.age_ms));
        if plan.in_flight.is_none() && reported_at >= plan.last_order_ended_at {
            plan.version = Some(load.weight_version);
            plan.staged = load.staged_version;
        }
    }

    /// Returns the orders to send now and counts them as in flight, until [`WeightPlan::record_outcome`].
    pub fn next_orders(&mut self, now: BootTime) -> Vec<WeightOrder> {
        if self.desired == 0 {
            return Vec::new();
        }
        if !self.is_switching && self.can_switch(now) {
            self.is_switching = true;
        }
        let mut staging = self.count_in_flight(RolloutCommand::Stage);
        let mut switching = self.count_in_flight(RolloutCommand::Switch);
        let mut orders = Vec::new();
        for plan in &mut self.targets {
            if plan.in_flight.is_some() || plan.next_order_at > now || plan.is_current(self.desired) {
                continue;
            }
            let command =
                if plan.staged == Some(self.desired) { RolloutCommand::Switch } else { RolloutCommand::Stage };
            let has_capacity = match command {
                RolloutCommand::Stage => staging < self.staging_limit,
                RolloutCommand::Switch => self.is_switching && switching < MAX_SWITCHES,
            };
            if !has_capacity {
                continue;
            }
            match command {
                RolloutCommand::Stage => staging += 1,
                RolloutCommand::Switch => switching += 1,
            }
            plan.in_flight = Some(command);
            orders.push(WeightOrder { target: plan.target.clone(), command, version: self.desired });
        }
        orders
    }

    /// Whether the switch can begin: each target has staged the desired version, runs it, or failed
    /// [`SKIP_AFTER_FAILURES`] times; or [`STAGING_WAIT_TIMEOUT`] has passed.
    fn can_switch(&self, now: BootTime) -> bool {
        let is_ready = |plan: &TargetPlan| {
            plan.is_current(self.desired) || plan.staged == Some(self.desired) || plan.failures >= SKIP_AFTER_FAILURES
        };
        self.targets.iter().all(is_ready) || now.saturating_sub(self.desired_since) >= STAGING_WAIT_TIMEOUT
    }

    /// Records how an order ended; a target whose order did not succeed gets no order during its backoff.
    pub fn record_outcome(&mut self, order: &WeightOrder, outcome: OrderOutcome, now: BootTime) {
        if order.command == RolloutCommand::Stage {
            self.adapt_staging_limit(outcome);
        }
        let Ok(position) = self.find_target(&order.target) else { return };
        let plan = &mut self.targets[position];
        plan.in_flight = None;
        plan.last_order_ended_at = now;
        if outcome == OrderOutcome::Done {
            plan.failures = 0;
            match order.command {
                RolloutCommand::Stage => plan.staged = Some(order.version),
                RolloutCommand::Switch => plan.version = Some(order.version),
            }
            return;
        }
        if outcome == OrderOutcome::Conflict && order.command == RolloutCommand::Switch {
            plan.staged = None;
        }
        let backoff = FAILURE_BACKOFF.saturating_mul(2_u32.saturating_pow(plan.failures)).min(MAX_FAILURE_BACKOFF);
        plan.next_order_at = now + backoff;
        plan.failures += 1;
    }

    /// Adapts the limit of concurrent stagings by additive increase and multiplicative decrease, since hosts do not
    /// know the limit of the weight store.
    fn adapt_staging_limit(&mut self, outcome: OrderOutcome) {
        self.staging_limit = match outcome {
            OrderOutcome::Done => (self.staging_limit + 1).min(MAX_STAGING_LIMIT),
            OrderOutcome::Conflict => self.staging_limit,
            OrderOutcome::Failed => (self.staging_limit / 2).max(1),
        };
    }

    /// Targets that run an older version than the desired one or an unknown version, sorted by id.
    #[must_use]
    pub fn outdated_targets(&self) -> Vec<OutdatedTarget> {
        let outdated_targets = self.targets.iter().filter(|plan| !plan.is_current(self.desired));
        outdated_targets.map(|plan| OutdatedTarget { target: plan.target.clone(), version: plan.version }).collect()
    }

    fn count_in_flight(&self, command: RolloutCommand) -> usize {
        self.targets.iter().filter(|plan| plan.in_flight == Some(command)).count()
    }

    fn find_target(&self, target: &str) -> Result<usize, usize> {
        self.targets.binary_search_by(|plan| plan.target.as_str().cmp(target))
    }
}

impl Default for WeightPlan {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetPlan {
    fn is_current(&self, desired: WeightVersion) -> bool {
        self.version.is_some_and(|version| version >= desired)
    }
}
