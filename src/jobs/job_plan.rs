//! Which item of a batch job starts next, and on which target.
//!
//! Load pattern: a step is handed in as one burst of items whose lengths differ by a factor of ten, several steps
//! share the engines, and the trainer waits for the slowest of its groups. The longest items start first, items of
//! one group meet on the engine that already read their prompt, and no engine gets more than it has slots, so that
//! what waits can still be placed elsewhere. Short items need not start at once: they follow in waves on the connections
//! and slots of those before them, while the long ones run on emptier engines. Of engines that are about equally busy,
//! one with an idle connection comes first, since a new connection costs the engine a handshake.

use std::net::SocketAddr;

use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::target_load::{LoadTable, cold_start_quota};
use crate::jobs::job_record::JobSpec;
use crate::prelude::*;

/// Wait before an item that a target refused is tried again.
const REFUSED_WAIT: Duration = Duration::from_millis(60);

/// Wait before an item that failed at a target is tried again.
const FAILED_WAIT: Duration = Duration::from_millis(200);

/// Requests by which an engine that knows a group's prompt may be ahead of the least loaded one.
const AFFINITY_MARGIN: u32 = 4;

/// An item is short when the longest of its job is expected to have this many times its length. Hints are off by a
/// factor of two often, by one of four hardly ever.
const SHORT_RATIO: u32 = 4;

/// Waves in which short items run: with a tenth of the time of the longest item each, they end long before it.
const SHORT_WAVES: usize = 3;

/// Time from the start of a job after which its short items no longer wait for each other.
const WAVE_LIMIT: Duration = Duration::from_secs(2);

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// Its whole output is there.
    Complete,
    /// The target did not run it.
    Refused,
    /// The target has a version of the weights that the job does not allow, or another target is at its address.
    Misdirected,
    /// The connection broke or fell silent; the run can be resumed elsewhere.
    Broken,
    /// The target is much slower than the others, which have room; the run is resumed there.
    Slow,
    /// The target reported that the run failed.
    Failed,
    /// The target reported that the item can never be done.
    Impossible,
}

impl RunOutcome {
    /// Name in metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Impossible => "impossible",
        }
    }
}

/// State of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemState {
    /// Not running; may start from this time on.
    Waiting(BootTime),
    /// Running on a target.
    Running(TargetId),
    /// Ended, not listed yet.
    Finished,
    /// Listed.
    Listed,
}

#[derive(Debug)]
struct PlanItem {
    group: usize,
    is_short: bool,
    state: ItemState,
    failures: u32,
    has_run: bool,
}

#[derive(Debug, Default)]
struct PlanGroup {
    /// Target that read the group's prompt last.
    target: Option<TargetId>,
}

/// Start of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// Position of the item in the job.
    pub item: usize,
    /// Target.
    pub target: TargetEntry,
    /// Whether the item is started for the first time.
    pub is_first: bool,
}

/// Idle connections by target address, one entry for each, sorted.
#[derive(Debug, Default)]
pub struct IdleConnections(Vec<SocketAddr>);

impl IdleConnections {
    /// List of connections whose addresses are sorted.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(addresses)
    }

    fn count(&self, address: SocketAddr) -> usize {
        let first = self.0.partition_point(|known| *known < address);
        self.0[first..].iter().take_while(|known| **known == address).count()
    }
}

/// What the plan needs to know of the installation.
#[derive(Debug)]
pub struct PlacementContext<'a> {
    /// View.
    pub view: &'a FleetView,
    /// Service that runs the items.
    pub service: &'a str,
    /// Requests a second that a cold target bears.
    pub cold_rate: f64,
    /// Own host.
    pub host: &'a str,
    /// Own failure domain.
    pub domain: &'a str,
    /// Live hosts.
    pub hosts: &'a [&'a str],
    /// Idle connections that runs can use.
    pub idle: &'a IdleConnections,
    /// Time.
    pub now: BootTime,
}

/// Plan of one job.
#[derive(Debug)]
pub struct ItemScheduler {
    model: String,
    least_version: WeightVersion,
    attempts: u32,
    items: Vec<PlanItem>,
    groups: Vec<PlanGroup>,
    /// Items, longest first.
    order: Vec<usize>,
    /// Short items that may run at one time.
    short_limit: usize,
    /// When the first item could start.
    started_at: Option<BootTime>,
}

impl ItemScheduler {
    /// Plan of a job whose items all wait; an item may fail `attempts` times.
    #[must_use]
    pub fn new(spec: &JobSpec, attempts: u32) -> Self {
        let mut names: Vec<&str> = spec.items.iter().map(|item| item.group.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let group_of = |name: &str| names.binary_search(&name).unwrap_or_default();
        let longest = spec.items.iter().map(|item| item.expected_tokens).max().unwrap_or_default();
        let items: Vec<PlanItem> = spec
            .items
            .iter()
            .map(|item| PlanItem {
                group: group_of(&item.group),
                is_short: item.expected_tokens.saturating_mul(SHORT_RATIO) <= longest,
                state: ItemState::Waiting(BootTime::ZERO),
                failures: 0,
                has_run: false,
            })
            .collect();
        let mut order: Vec<usize> = (0..items.len()).collect();
        order.sort_by_key(|item| std::cmp::Reverse(spec.items[*item].expected_tokens));
        Self {
            model: spec.model.clone(),
            least_version: spec.least_version,
            attempts: attempts.max(1),
            groups: names.iter().map(|_| PlanGroup::default()).collect(),
            short_limit: items.iter().filter(|item| item.is_short).count().div_ceil(SHORT_WAVES),
            started_at: None,
            items,
            order,
        }
    }

    /// State of an item.
    #[must_use]
    pub fn state(&self, item: usize) -> &ItemState {
        &self.items[item].state
    }

    /// Whether an item waits to be started.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.items.iter().any(|item| matches!(item.state, ItemState::Waiting(_)))
    }

    /// Groups of which all items are listed once `items` are.
    #[must_use]
    pub fn listed_groups(&self, items: &[usize]) -> u32 {
        let mut is_open = vec![false; self.groups.len()];
        for (position, item) in self.items.iter().enumerate() {
            if item.state != ItemState::Listed && !items.contains(&position) {
                is_open[item.group] = true;
            }
        }
        u32::try_from(is_open.iter().filter(|is_open| !**is_open).count()).unwrap_or(u32::MAX)
    }

    /// Marks an item as listed.
    pub fn set_listed(&mut self, item: usize) {
        self.items[item].state = ItemState::Listed;
    }

    /// Marks an item as ended, such as one that is given up.
    pub fn set_finished(&mut self, item: usize) {
        self.items[item].state = ItemState::Finished;
    }

    /// Runs to start now. They count as running from now on, also in `loads`, so that later choices see them.
    ///
    /// The targets are looked at once for all of them: with thousands of targets, a look for each start would take
    /// longer than the runs.
    pub fn next_starts(&mut self, loads: &mut LoadTable, context: &PlacementContext<'_>) -> Vec<StartOrder> {
        let mut candidates = self.list_candidates(loads, context);
        let mut starts = Vec::new();
        while let Some(item) = self.next_item(context.now) {
            let group = self.items[item].group;
            let Some(position) = pick_candidate(&mut candidates, self.groups[group].target.as_deref(), loads, context)
            else {
                break;
            };
            let candidate = &mut candidates[position];
            candidate.used += 1;
            candidate.idle = candidate.idle.saturating_sub(1);
            let target = candidate.target;
            self.groups[group].target = Some(target.id.clone());
            self.items[item].state = ItemState::Running(target.id.clone());
            loads.start(&target.id, true, candidate.is_cold, context.now);
            let is_first = !std::mem::replace(&mut self.items[item].has_run, true);
            starts.push(StartOrder { item, target: target.clone(), is_first });
        }
        starts
    }

    /// Longest item that may start now.
    fn next_item(&mut self, now: BootTime) -> Option<usize> {
        let is_waved = now.saturating_sub(*self.started_at.get_or_insert(now)) < WAVE_LIMIT;
        let is_running = |item: &&PlanItem| item.is_short && matches!(item.state, ItemState::Running(_));
        let may_start_short = !is_waved || self.items.iter().filter(is_running).count() < self.short_limit;
        let waits = |item: &PlanItem| {
            matches!(item.state, ItemState::Waiting(due) if due <= now) && (may_start_short || !item.is_short)
        };
        self.order.iter().copied().find(|item| waits(&self.items[*item]))
    }

    /// Targets that may run an item of the job, sorted by id.
    fn list_candidates<'a>(&self, loads: &LoadTable, context: &PlacementContext<'a>) -> Vec<Candidate<'a>> {
        let published = published_runs(context);
        let targets = context.view.usable_targets(context.service).filter(|target| {
            let is_paused = loads.get(&target.id).is_some_and(|load| load.paused_until > context.now);
            !is_paused && loads.allows_version(target, &self.model, self.least_version)
        });
        let candidates = targets.map(|target| Candidate {
            used: own_runs(target, loads) + published_on(&published, target),
            idle: context.idle.count(target.address),
            is_cold: target.cold_until > context.now,
            is_far: target.domain != context.domain,
            target,
        });
        candidates.filter(|candidate| candidate.used < candidate.target.slots).collect()
    }

    /// Records the end of a run; returns whether the item is given up for good.
    pub fn record_run_end(&mut self, item: usize, end: RunOutcome, now: BootTime) -> bool {
        let plan_item = &mut self.items[item];
        let (state, is_given_up) = match end {
            RunOutcome::Complete => (ItemState::Finished, false),
            RunOutcome::Impossible => (ItemState::Finished, true),
            RunOutcome::Refused | RunOutcome::Misdirected => (ItemState::Waiting(now + REFUSED_WAIT), false),
            RunOutcome::Broken | RunOutcome::Slow => (ItemState::Waiting(now), false),
            RunOutcome::Failed => {
                plan_item.failures += 1;
                let is_last = plan_item.failures >= self.attempts;
                (if is_last { ItemState::Finished } else { ItemState::Waiting(now + FAILED_WAIT) }, is_last)
            }
        };
        plan_item.state = state;
        is_given_up
    }
}

/// Factor by which a run must be slower than usual to be moved. A resumed run costs one read of its prompt and output,
/// a few milliseconds, so that it pays for all but the last events.
const SLOW_FACTOR: f64 = 1.7;

/// Whether a run at this pace, in seconds per event, should go on elsewhere: it is much slower than the usual pace of
/// the service's targets, and one of usual pace has a free slot.
#[must_use]
pub fn should_migrate(
    pace: f64,
    target: &str,
    allows: &dyn Fn(&TargetEntry, &LoadTable) -> bool,
    loads: &mut LoadTable,
    context: &PlacementContext<'_>,
) -> bool {
    let Some(usual) = loads.median_pace(context.view, context.service, context.now) else { return false };
    let limit = usual * SLOW_FACTOR;
    if pace <= limit {
        return false;
    }
    let published = published_runs(context);
    context.view.usable_targets(context.service).any(|other| {
        let load = loads.get(&other.id);
        let is_paused = load.is_some_and(|load| load.paused_until > context.now);
        let is_slow = load.and_then(|load| load.pace).is_some_and(|pace| pace > limit);
        other.id != target
            && !is_paused
            && !is_slow
            && other.cold_until <= context.now
            && allows(other, loads)
            && own_runs(other, loads) + published_on(&published, other) < other.slots
    })
}

/// A target that may run an item.
#[derive(Debug)]
struct Candidate<'a> {
    target: &'a TargetEntry,
    /// Slots that are taken, by this host now and by others as they published last.
    used: u32,
    /// Idle connections to it.
    idle: usize,
    is_cold: bool,
    is_far: bool,
}

impl Candidate<'_> {
    /// What running one more item costs; lower is better.
    fn cost(&self) -> (bool, u32, bool) {
        (self.is_cold, self.used + u32::from(self.idle == 0), self.is_far)
    }
}

/// Position of the candidate that runs the next item of a group. Those that turn out to bear no more are taken out.
fn pick_candidate(
    candidates: &mut Vec<Candidate<'_>>,
    group_target: Option<&str>,
    loads: &mut LoadTable,
    context: &PlacementContext<'_>,
) -> Option<usize> {
    loop {
        let has_room = |candidate: &Candidate<'_>| candidate.used < candidate.target.slots;
        let positions = candidates.iter().enumerate().filter(|(_, candidate)| has_room(candidate));
        let (best, candidate) = positions.min_by_key(|(_, candidate)| candidate.cost())?;
        if candidate.is_cold {
            let target = &candidate.target.id;
            let allowance = cold_start_quota(context.cold_rate, target, context.host, context.hosts);
            if !loads.has_cold_capacity(target, allowance, context.now) {
                candidates.remove(best);
                continue;
            }
        }
        let (_, least_used, _) = candidate.cost();
        let known = group_target.and_then(|id| {
            let position = candidates.binary_search_by(|candidate| candidate.target.id.as_str().cmp(id)).ok()?;
            let known = &candidates[position];
            let is_near_best = known.cost().1 <= least_used + AFFINITY_MARGIN;
            (has_room(known) && !known.is_cold && is_near_best).then_some(position)
        });
        return Some(known.unwrap_or(best));
    }
}

fn own_runs(target: &TargetEntry, loads: &LoadTable) -> u32 {
    loads.get(&target.id).map_or(0, |load| load.running)
}

/// Runs that other hosts published, one entry a target, sorted by target.
fn published_runs<'a>(context: &PlacementContext<'a>) -> Vec<(&'a str, u32)> {
    let others = context.view.live_members().filter(|member| member.host != context.host);
    let mut runs: Vec<(&str, u32)> =
        others.flat_map(|member| &member.row.running).map(|run| (run.target.as_str(), run.count)).collect();
    runs.sort_unstable();
    runs.dedup_by(|later, earlier| {
        let is_same = later.0 == earlier.0;
        earlier.1 += if is_same { later.1 } else { 0 };
        is_same
    });
    runs
}

fn published_on(published: &[(&str, u32)], target: &TargetEntry) -> u32 {
    let position = published.binary_search_by(|(known, _)| (*known).cmp(target.id.as_str()));
    position.map_or(0, |position| published[position].1)
}
