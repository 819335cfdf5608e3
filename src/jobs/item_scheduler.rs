//! Schedules the items of a batch job: decides which item starts next, and on which target.
//!
//! Load pattern: a trainer submits each step as one burst of items whose lengths differ by a factor of ten, several
//! steps share the model engines, which are the targets of the job's service, and the trainer waits for the slowest of
//! its groups.
//!
//! - The longest items start first.
//! - Items of one group prefer the engine that has already processed their prompt.
//! - No engine gets more items than it has slots, so that waiting items can still be placed elsewhere.
//! - Short items run in waves, a part of them at a time, as far as they need new connections. A later wave reuses the
//!   connections of the one before. A short item that finds an idle connection to an engine with a free slot starts at
//!   once.
//! - An engine that announces a rate limit gets items only when the others have no room, and no more than this host's share
//!   of the limit.
//! - An item with a part of its output comes before the others and goes on at the software version that began it, if an
//!   engine of that version has room within two seconds. Otherwise its output is dropped and it starts anew.
//! - Among engines with about the same load, one with an idle connection is preferred, since a new connection costs
//!   the engine a handshake.

use std::net::SocketAddr;

use crate::fleet::fleet_view::{FleetView, TargetEntry};
use crate::fleet::target_load::LoadTable;
use crate::jobs::job_record::JobSpec;
use crate::policy::limit_share::ShareClock;
use crate::prelude::*;

/// Delay before an item that a target refused may start again.
const REFUSED_DELAY: Duration = Duration::from_millis(60);

/// Delay before an item whose run failed may start again; after a run that was rejected, it doubles each time.
const FAILED_DELAY: Duration = Duration::from_millis(200);

/// Number of times that the delay after rejected runs doubles.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// An item is placed on the engine that has its group's prompt, unless the load of that engine exceeds the lowest load
/// by more than this many requests.
const MAX_AFFINITY_EXCESS: u32 = 4;

/// An item is short when its expected tokens times this ratio do not exceed those of the longest item of the job.
/// Expected lengths are often wrong by a factor of two, and hardly ever by a factor of four.
const SHORT_ITEM_RATIO: u32 = 4;

/// Number of waves in which short items run. A short item usually takes a tenth of the time of the longest item, and is
/// expected to take a quarter at most, so all waves end before the longest item.
const SHORT_ITEM_WAVES: usize = 3;

/// Time after which the number of running short items is no longer limited, from the first call that looked for an item
/// to start.
const WAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an item waits for an engine of the software version that began its output. Runs that engines refuse or break
/// off do not prolong it.
const SOFTWARE_WAIT: Duration = Duration::from_secs(2);

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The target sent the whole output.
    Complete,
    /// The target did not run the item, for example because it was full.
    Refused,
    /// The target has a weight version that the job does not allow, or another target is at the address.
    Misdirected,
    /// The connection broke or the response was invalid; another run can resume the output.
    Broken,
    /// No response or no further event arrived within the pause that the run allows; another run can resume the output.
    Stalled,
    /// The target is much slower than others that have a free slot; another run resumes the output there.
    Slow,
    /// The target failed to run the item, which counts towards abandoning it; another run may succeed.
    Failed,
    /// The target reported an error that says nothing about the item; another run may succeed.
    Rejected,
    /// The request cannot be encoded, or the target rejected the item for good; no run can succeed.
    Impossible,
}

impl RunOutcome {
    /// Value of the metric label `end`.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Stalled => "stalled",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::Rejected => "rejected",
            Self::Impossible => "impossible",
        }
    }
}

/// Progress of an item, from submission until its result is listed: in the store and readable by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemState {
    /// Not running; may start at this time or later.
    Waiting(BootTime),
    /// Running on the target with this id.
    Running(TargetId),
    /// The output is complete and waits for its score.
    Ungraded,
    /// Completed or abandoned; the result is not listed yet.
    Finished,
    /// The result is listed.
    Listed,
}

#[derive(Debug)]
struct ScheduledItem {
    group: usize,
    is_short: bool,
    state: ItemState,
    failures: u32,
    rejections: u32,
    stalls: u32,
    has_run: bool,
    /// Software version that began the output; `None` while the output is empty.
    software: Option<SoftwareVersion>,
    /// Number of events of the output.
    events: usize,
    /// When the output last grew, or a run last stalled; the item waits for an engine of its software version from then on.
    bound_since: BootTime,
}

#[derive(Debug, Default)]
struct PromptGroup {
    /// Target that got an item of the group last and so has its prompt in the cache; `None` before the first start.
    prompt_target: Option<TargetId>,
}

/// A run of an item that the caller must start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStart {
    /// Position of the item in the job.
    pub item: usize,
    /// Target as the view had it when the item was placed; a slot of it is counted for the run.
    pub target: TargetEntry,
    /// Whether this is the first run of the item under this scheduler.
    pub is_first: bool,
    /// Number of earlier runs of the item that stalled.
    pub stalls: u32,
    /// Whether the output so far must be dropped before the run, since another software version began it.
    pub drops_output: bool,
}

/// Target addresses of idle connections, one entry for each connection, sorted.
#[derive(Debug, Default)]
pub struct IdleConnections(Vec<SocketAddr>);

impl IdleConnections {
    /// Wraps addresses that are already sorted.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self(addresses)
    }

    fn count(&self, address: SocketAddr) -> usize {
        let first = self.0.partition_point(|known| *known < address);
        self.0[first..].iter().take_while(|known| **known == address).count()
    }
}

/// State of the installation that placement decisions depend on.
#[derive(Debug)]
pub struct PlacementContext<'a> {
    /// Known hosts and targets.
    pub view: &'a FleetView,
    /// Service whose targets run the items.
    pub service: &'a str,
    /// Requests per second that all hosts together may start on a cold target, which is one before its `cold_until`;
    /// 0 without a limit.
    pub cold_rate: f64,
    /// Failure domain of this host; its targets are preferred at equal load.
    pub domain: &'a str,
    /// Idle connections of this host to targets.
    pub idle_connections: &'a IdleConnections,
    /// Time that due times, pauses and `cold_until` are compared with, and what shares of rate limits depend on.
    pub clock: ShareClock<'a>,
}

/// Chooses the next items of one job to start and tracks the state of each item.
#[derive(Debug)]
pub struct ItemScheduler {
    model: String,
    least_version: WeightVersion,
    max_failures: u32,
    items: Vec<ScheduledItem>,
    groups: Vec<PromptGroup>,
    /// Positions of all items, longest first.
    longest_first: Vec<usize>,
    /// Most short items that may run at the same time, until [`WAVE_TIMEOUT`].
    max_running_short: usize,
    /// When an item to start was first looked for; `None` before.
    started_at: Option<BootTime>,
}

impl ItemScheduler {
    /// Creates a scheduler with all items waiting. An item is abandoned when `max_failures` of its runs have failed;
    /// 0 counts as 1.
    #[must_use]
    pub fn new(spec: &JobSpec, max_failures: u32) -> Self {
        let mut group_names: Vec<&str> = spec.items.iter().map(|item| item.group.as_str()).collect();
        group_names.sort_unstable();
        group_names.dedup();
        let group_position = |name: &str| group_names.binary_search(&name).unwrap_or_default();
        let longest_tokens = spec.items.iter().map(|item| item.expected_tokens).max().unwrap_or_default();
        let items: Vec<ScheduledItem> = spec
            .items
            .iter()
            .map(|item| ScheduledItem {
                group: group_position(&item.group),
                is_short: item.expected_tokens.saturating_mul(SHORT_ITEM_RATIO) <= longest_tokens,
                state: ItemState::Waiting(BootTime::ZERO),
                failures: 0,
                rejections: 0,
                stalls: 0,
                has_run: false,
                software: None,
                events: 0,
                bound_since: BootTime::ZERO,
            })
            .collect();
        let mut longest_first: Vec<usize> = (0..items.len()).collect();
        longest_first.sort_by_key(|item| std::cmp::Reverse(spec.items[*item].expected_tokens));
        Self {
            model: spec.model.clone(),
            least_version: spec.least_version,
            max_failures: max_failures.max(1),
            groups: group_names.iter().map(|_| PromptGroup::default()).collect(),
            max_running_short: items.iter().filter(|item| item.is_short).count().div_ceil(SHORT_ITEM_WAVES),
            started_at: None,
            items,
            longest_first,
        }
    }

    /// Sets the number of failed runs after which an item is abandoned, from the next run that ends; 0 counts as 1.
    pub fn set_max_failures(&mut self, max_failures: u32) {
        self.max_failures = max_failures.max(1);
    }

    /// State of the item at a position of the job; panics when the position is out of range.
    #[must_use]
    pub fn item_state(&self, item: usize) -> &ItemState {
        &self.items[item].state
    }

    /// Number of items that wait to be started, due or not.
    #[must_use]
    pub fn waiting_items(&self) -> u32 {
        let waiting = self.items.iter().filter(|item| matches!(item.state, ItemState::Waiting(_)));
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Counts the groups without unlisted items, with the items at these positions taken as listed.
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

    /// Sets an item to [`ItemState::Listed`], from any state.
    pub fn mark_item_listed(&mut self, item: usize) {
        self.items[item].state = ItemState::Listed;
    }

    /// Sets an item to [`ItemState::Finished`] without the end of a run, as for an abandoned or a graded item.
    pub fn set_finished(&mut self, item: usize) {
        self.items[item].state = ItemState::Finished;
    }

    /// Sets an item with a complete output to [`ItemState::Ungraded`].
    pub fn set_ungraded(&mut self, item: usize) {
        self.items[item].state = ItemState::Ungraded;
    }

    /// Records the output of an item that does not run: which software version began it, and its number of events. A waiting
    /// item waits for an engine of that version from the time at which its output last grew, or a run that stalled ended.
    pub fn record_output(&mut self, item: usize, software: Option<SoftwareVersion>, events: usize, now: BootTime) {
        let scheduled_item = &mut self.items[item];
        if scheduled_item.software != software || scheduled_item.events != events {
            scheduled_item.bound_since = now;
        }
        scheduled_item.software = software;
        scheduled_item.events = events;
    }

    /// Counts for each group the items that are neither finished nor listed; returns the counts by item.
    #[must_use]
    pub fn open_group_items(&self) -> Vec<u32> {
        let mut counts = vec![0; self.groups.len()];
        for item in &self.items {
            counts[item.group] += u32::from(!matches!(item.state, ItemState::Finished | ItemState::Listed));
        }
        self.items.iter().map(|item| counts[item.group]).collect()
    }

    /// Chooses the runs to start now and counts them as running, also in `loads`, so that later placements see them.
    ///
    /// The candidates and the load that other hosts published are collected once for all starts of a call. With
    /// thousands of targets, collecting them for each start would take longer than the runs.
    pub fn start_items(&mut self, loads: &mut LoadTable, context: &PlacementContext<'_>) -> Vec<RunStart> {
        let mut candidates = list_candidates(loads, context, 0);
        candidates.retain(|candidate| loads.allows_version(candidate.target, &self.model, self.least_version));
        let mut starts = Vec::new();
        let mut postponed = Vec::new();
        while let Some((item, must_reuse)) = self.find_next_item(&postponed, context.clock.now) {
            let group = self.items[item].group;
            let software = self.required_software(item, loads, context);
            let is_bound = software.is_some();
            let preference = Preference { target: self.groups[group].prompt_target.as_deref(), must_reuse, software };
            let Some(position) = pick_candidate(&mut candidates, &preference, loads, context) else {
                if is_bound {
                    postponed.push(item);
                    continue;
                }
                break;
            };
            let candidate = &mut candidates[position];
            candidate.count_start(loads, context.clock.now);
            let target = candidate.target;
            self.groups[group].prompt_target = Some(target.id.clone());
            self.items[item].state = ItemState::Running(target.id.clone());
            let is_first = !std::mem::replace(&mut self.items[item].has_run, true);
            let scheduled_item = &mut self.items[item];
            let drops_output = scheduled_item.software.as_ref().is_some_and(|software| *software != target.software);
            if drops_output {
                scheduled_item.software = None;
            }
            let stalls = scheduled_item.stalls;
            starts.push(RunStart { item, target: target.clone(), is_first, stalls, drops_output });
        }
        starts
    }

    /// Software version that a due item must run at; `None` when any will do, because the item has no output, or because
    /// its output must be dropped.
    fn required_software(
        &self,
        item: usize,
        loads: &LoadTable,
        context: &PlacementContext<'_>,
    ) -> Option<&SoftwareVersion> {
        let scheduled_item = &self.items[item];
        let software = scheduled_item.software.as_ref()?;
        let is_served = context.view.usable_targets(context.service).any(|target| {
            target.software == *software && loads.allows_version(target, &self.model, self.least_version)
        });
        (is_served && context.clock.now.saturating_sub(scheduled_item.bound_since) < SOFTWARE_WAIT).then_some(software)
    }

    /// Finds the longest item that may start now and is not among the postponed ones, and whether it may only start on an
    /// idle connection, as a short item beyond the wave does.
    fn find_next_item(&mut self, postponed: &[usize], now: BootTime) -> Option<(usize, bool)> {
        let is_short_limited = now.saturating_sub(*self.started_at.get_or_insert(now)) < WAVE_TIMEOUT;
        let is_running_short = |item: &&ScheduledItem| item.is_short && matches!(item.state, ItemState::Running(_));
        let can_start_short =
            !is_short_limited || self.items.iter().filter(is_running_short).count() < self.max_running_short;
        let is_due = |item: &usize| matches!(self.items[*item].state, ItemState::Waiting(due) if due <= now);
        let mut due = self.longest_first.iter().copied().filter(|item| is_due(item) && !postponed.contains(item));
        // Items with an output come first, since only some of the targets may be able to continue it. Otherwise short items
        // are the last in this order, so no long item is due when the first due one is short.
        let item = due.clone().find(|item| self.items[*item].software.is_some()).or_else(|| due.next())?;
        Some((item, self.items[item].is_short && !can_start_short))
    }

    /// Records how a run ended; returns whether the item must be abandoned.
    pub fn record_run_end(&mut self, item: usize, outcome: RunOutcome, now: BootTime) -> bool {
        let scheduled_item = &mut self.items[item];
        let (state, is_abandoned) = match outcome {
            RunOutcome::Complete => (ItemState::Finished, false),
            RunOutcome::Impossible => (ItemState::Finished, true),
            RunOutcome::Refused | RunOutcome::Misdirected => (ItemState::Waiting(now + REFUSED_DELAY), false),
            RunOutcome::Broken | RunOutcome::Slow => (ItemState::Waiting(now), false),
            RunOutcome::Stalled => {
                scheduled_item.stalls += 1;
                scheduled_item.bound_since = now;
                (ItemState::Waiting(now), false)
            }
            RunOutcome::Rejected => {
                let delay = FAILED_DELAY.saturating_mul(1 << scheduled_item.rejections.min(MAX_DELAY_DOUBLINGS));
                scheduled_item.rejections += 1;
                (ItemState::Waiting(now + delay), false)
            }
            RunOutcome::Failed => {
                scheduled_item.failures += 1;
                let is_last = scheduled_item.failures >= self.max_failures;
                (if is_last { ItemState::Finished } else { ItemState::Waiting(now + FAILED_DELAY) }, is_last)
            }
        };
        scheduled_item.state = state;
        is_abandoned
    }
}

/// Longest pause between two events that a run of an item allows. The pause doubles with each run that stalled, so that
/// an item makes progress also when all targets are slow.
#[must_use]
pub fn pause_limit(first: Duration, stalls: u32) -> Duration {
    const MAX_DOUBLINGS: u32 = 3;
    first.saturating_mul(1 << stalls.min(MAX_DOUBLINGS))
}

/// A run migrates when its seconds per event exceed the median by this factor. Engines in trouble have been 3.6 to 4
/// times slower than usual. The new target has to process the prompt and the output so far, which takes a few
/// milliseconds, so migration saves time unless only the last events are left.
const SLOW_FACTOR: f64 = 1.7;

/// Whether a run at this pace should migrate: it is much slower than the median of the service's targets, and another
/// allowed target that is warm and not slow has a free slot. A pace is in seconds per event, so a higher one is slower.
/// Returns false while no pace is known.
#[must_use]
pub fn should_migrate(
    pace: f64,
    target: &str,
    allows_version: &dyn Fn(&TargetEntry, &LoadTable) -> bool,
    loads: &mut LoadTable,
    context: &PlacementContext<'_>,
) -> bool {
    let Some(median) = loads.median_pace(context.view, context.service, context.clock.now) else { return false };
    let max_pace = median * SLOW_FACTOR;
    if pace <= max_pace {
        return false;
    }
    let published = sum_published_runs(context);
    context.view.usable_targets(context.service).any(|other| {
        let load = loads.get(&other.id);
        let is_paused = load.is_some_and(|load| load.paused_until > context.clock.now);
        let is_slow = load.and_then(|load| load.pace).is_some_and(|pace| pace > max_pace);
        other.id != target
            && !is_paused
            && !is_slow
            && other.cold_until <= context.clock.now
            && loads.limits.rate(&other.id).is_none()
            && allows_version(other, loads)
            && count_own_runs(other, loads) + count_published_runs(&published, other) < other.slots
    })
}

/// A target that has a free slot.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// Target as the view has it.
    pub target: &'a TargetEntry,
    /// Slots that may be in use after the placement.
    max_slots: u32,
    /// Slots in use: by this host now, and by other hosts as in their latest member rows.
    used_slots: u32,
    /// Idle connections of this host to the target, less one for each run placed on it in this call.
    idle_connections: usize,
    is_cold: bool,
    /// Requests that may still be started under the announced rate limit; `None` without a limit.
    allowance: Option<u32>,
    /// Whether the target announced its rate limit lately.
    is_limited: bool,
    is_other_domain: bool,
}

impl Candidate<'_> {
    /// Counts a request that is placed on the target, here and in `loads`.
    pub fn count_start(&mut self, loads: &mut LoadTable, now: BootTime) {
        self.used_slots += 1;
        self.idle_connections = self.idle_connections.saturating_sub(1);
        self.allowance = self.allowance.map(|allowance| allowance.saturating_sub(1));
        loads.start(&self.target.id, true, self.is_cold, now);
    }

    /// Sort key for placement, lowest first: warm targets without a rate limit, then low load, then the own failure
    /// domain. A target without an idle connection counts as one request busier.
    fn cost(&self) -> (bool, u32, bool) {
        let is_weak = self.is_cold || self.is_limited;
        (is_weak, self.used_slots + u32::from(self.idle_connections == 0), self.is_other_domain)
    }
}

/// Lists the targets of the service that are not paused, have more than `reserved_slots` free slots and take more requests
/// under their rate limits, sorted by id.
#[must_use]
pub fn list_candidates<'a>(
    loads: &mut LoadTable,
    context: &PlacementContext<'a>,
    reserved_slots: u32,
) -> Vec<Candidate<'a>> {
    let published = sum_published_runs(context);
    let is_paused = |loads: &LoadTable, target: &TargetEntry| {
        loads.get(&target.id).is_some_and(|load| load.paused_until > context.clock.now)
    };
    let targets: Vec<&TargetEntry> =
        context.view.usable_targets(context.service).filter(|target| !is_paused(loads, target)).collect();
    let candidates = targets.into_iter().map(|target| Candidate {
        max_slots: target.slots.saturating_sub(reserved_slots).max(1),
        used_slots: count_own_runs(target, loads) + count_published_runs(&published, target),
        idle_connections: context.idle_connections.count(target.address),
        is_cold: target.cold_until > context.clock.now,
        allowance: loads.limit_allowance(target, &context.clock),
        is_limited: loads.limits.is_confirmed(&target.id, context.clock.store_time),
        is_other_domain: target.domain != context.domain,
        target,
    });
    candidates
        .filter(|candidate| candidate.used_slots < candidate.max_slots && candidate.allowance != Some(0))
        .collect()
}

/// What the next request asks of its target.
#[derive(Debug, Default)]
pub struct Preference<'a> {
    /// Target that already has the prompt of the request, if any.
    pub target: Option<&'a str>,
    /// Whether the request may only start on an idle connection.
    pub must_reuse: bool,
    /// Software version that the target must have; `None` when any will do.
    pub software: Option<&'a SoftwareVersion>,
}

/// Picks the candidate that runs the next request and returns its position. Removes cold candidates whose cold start
/// quota is used up.
pub fn pick_candidate(
    candidates: &mut Vec<Candidate<'_>>,
    preference: &Preference<'_>,
    loads: &mut LoadTable,
    context: &PlacementContext<'_>,
) -> Option<usize> {
    loop {
        let has_room = |candidate: &Candidate<'_>| {
            candidate.used_slots < candidate.max_slots
                && candidate.allowance != Some(0)
                && preference.software.is_none_or(|software| candidate.target.software == *software)
                && (!preference.must_reuse || candidate.idle_connections > 0)
        };
        let positions = candidates.iter().enumerate().filter(|(_, candidate)| has_room(candidate));
        let (best, candidate) = positions.min_by_key(|(_, candidate)| candidate.cost())?;
        if candidate.is_cold && !loads.has_cold_capacity(&candidate.target.id, context.cold_rate, &context.clock) {
            candidates.remove(best);
            continue;
        }
        let (_, least_load, _) = candidate.cost();
        let preferred = preference.target.and_then(|id| {
            let position = candidates.binary_search_by(|candidate| candidate.target.id.as_str().cmp(id)).ok()?;
            let preferred = &candidates[position];
            let is_load_close = preferred.cost().1 <= least_load + MAX_AFFINITY_EXCESS;
            (has_room(preferred) && !preferred.cost().0 && is_load_close).then_some(position)
        });
        return Some(preferred.unwrap_or(best));
    }
}

fn count_own_runs(target: &TargetEntry, loads: &LoadTable) -> u32 {
    loads.get(&target.id).map_or(0, |load| load.running)
}

/// Sums the running requests in the member rows of other hosts, with one entry per target, sorted by target.
fn sum_published_runs<'a>(context: &PlacementContext<'a>) -> Vec<(&'a str, u32)> {
    let others = context.view.live_members().filter(|member| member.host != context.clock.host);
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

fn count_published_runs(published: &[(&str, u32)], target: &TargetEntry) -> u32 {
    let position = published.binary_search_by(|(known, _)| (*known).cmp(target.id.as_str()));
    position.map_or(0, |position| published[position].1)
}
