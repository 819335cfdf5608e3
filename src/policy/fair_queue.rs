//! Start-time fair queueing over organisations.
//!
//! Each organisation has a lane with a start tag. When one of its requests is served, the tag advances by the expected
//! tokens divided by the weight; it is corrected when the actual number of tokens is known. The lane with the smallest
//! tag is served next, and within a lane the earliest deadline goes first.
//!
//! When an organisation returns after a pause, its tag is raised to the present virtual time. An idle organisation
//! therefore saves up no service, and one that used otherwise idle targets meanwhile need not wait for the other to
//! catch up.
//!
//! Ordered trees instead of sorted vectors keep the operations logarithmic at the largest limit of 100,000 items.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Virtual time; one token at weight 1 takes 1,000 units.
type VirtualTime = u128;

/// Virtual time of one token at the smallest weight, one thousandth.
const MAX_VIRTUAL_TIME_PER_TOKEN: u128 = 1_000_000;

/// Identifies a waiting item and its position in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    lane: u32,
    order: ItemOrder,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ItemOrder {
    deadline: BootTime,
    sequence: u64,
}

/// Item to push, with what orders and charges it.
#[derive(Debug)]
pub struct QueueItem<'a, T> {
    /// Organisation that is charged for the item.
    pub organisation: &'a str,
    /// Weight of the organisation from now on; larger weights get more service.
    pub weight: f64,
    /// Number of tokens that the item is expected to cost.
    pub tokens: u32,
    /// Time by which the item should be served. It only orders the lane: a late item is served too.
    pub deadline: BootTime,
    /// Payload that the queue returns.
    pub item: T,
}

/// Item that was taken out to be served.
#[derive(Debug)]
pub struct ServedItem<T> {
    /// Position that the item had, for [`FairQueue::put_back`].
    pub key: QueueKey,
    /// Expected tokens that its organisation was charged.
    pub tokens: u32,
    /// Payload that was pushed.
    pub item: T,
}

/// Result of a push, with the key of the pushed item or the item that the queue did not keep.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// The item waits under this key.
    Queued(QueueKey),
    /// The item waits under this key. The queue was full, and the returned item of the organisation with the most items
    /// for its weight was removed.
    Displaced(QueueKey, T),
    /// The queue is full, and the organisation may not displace another one's item. The pushed item is returned.
    Refused(T),
}

/// Bounded queue that serves organisations in proportion to their weights.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    limit: usize,
    length: usize,
    virtual_time: VirtualTime,
    next_sequence: u64,
    lanes: Vec<QueueLane<T>>,
    /// Lane of each organisation, sorted by organisation.
    lane_entries: Vec<LaneEntry>,
    /// Lanes with waiting items, the smallest start tag first.
    backlog: BTreeSet<BacklogEntry>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct BacklogEntry {
    start_tag: VirtualTime,
    lane: u32,
}

#[derive(Debug, Clone)]
struct LaneEntry {
    organisation: OrganisationId,
    lane: u32,
}

#[derive(Debug, Clone)]
struct QueueLane<T> {
    start_tag: VirtualTime,
    /// Weight in thousandths.
    weight: u32,
    /// Sum of the expected tokens of the waiting items.
    queued_tokens: u64,
    items: BTreeMap<ItemOrder, LaneItem<T>>,
}

#[derive(Debug, Clone)]
struct LaneItem<T> {
    tokens: u32,
    item: T,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds at most `limit` items.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            length: 0,
            virtual_time: 0,
            next_sequence: 0,
            lanes: Vec::new(),
            lane_entries: Vec::new(),
            backlog: BTreeSet::new(),
        }
    }

    /// Number of waiting items of all organisations.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no item waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Sets the largest number of items. Items above a smaller limit stay in the queue.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Adds an item and sets the weight of its organisation. When the queue is full, the last item of the organisation
    /// with the most items for its weight is displaced if that organisation, with one item less, still holds at least
    /// as many items for its weight as the pushing one with one item more. One organisation with many items can
    /// therefore not cause the refusal of all others.
    pub fn push(&mut self, entry: QueueItem<'_, T>) -> PushOutcome<T> {
        let lane = self.find_or_add_lane(entry.organisation);
        self.set_weight(lane, entry.weight);
        let mut displaced = None;
        if self.length >= self.limit {
            match self.displace_item_for(lane) {
                Some(item) => displaced = Some(item),
                None => return PushOutcome::Refused(entry.item),
            }
        }
        let order = ItemOrder { deadline: entry.deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        let key = QueueKey { lane, order };
        self.insert(key, LaneItem { tokens: entry.tokens, item: entry.item });
        match displaced {
            Some(item) => PushOutcome::Displaced(key, item),
            None => PushOutcome::Queued(key),
        }
    }

    /// Takes out the item to serve next, and charges its organisation the expected tokens; `None` when no item waits.
    pub fn pop(&mut self) -> Option<ServedItem<T>> {
        self.pop_where(|_| true)
    }

    /// Like [`FairQueue::pop`], but skips organisations whose first item is not allowed.
    pub fn pop_where(&mut self, is_allowed: impl Fn(&T) -> bool) -> Option<ServedItem<T>> {
        let backlog_entry = *self.backlog.iter().find(|backlog_entry| {
            let first = self.lanes[to_usize(backlog_entry.lane)].items.first_key_value();
            first.is_some_and(|(_, entry)| is_allowed(&entry.item))
        })?;
        let order = *self.lanes[to_usize(backlog_entry.lane)].items.first_key_value()?.0;
        let key = QueueKey { lane: backlog_entry.lane, order };
        let entry = self.take_item(key)?;
        self.virtual_time = self.virtual_time.max(backlog_entry.start_tag);
        self.charge(backlog_entry.lane, i64::from(entry.tokens));
        Some(ServedItem { key, tokens: entry.tokens, item: entry.item })
    }

    /// Undoes [`FairQueue::pop`] for an item that no free target can serve now: refunds the charge and restores the
    /// position.
    pub fn put_back(&mut self, served: ServedItem<T>) -> QueueKey {
        self.charge(served.key.lane, -i64::from(served.tokens));
        self.insert(served.key, LaneItem { tokens: served.tokens, item: served.item });
        served.key
    }

    /// Removes an item without charging its organisation; `None` when it no longer waits.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        self.take_item(key).map(|entry| entry.item)
    }

    /// Waiting item with this key; `None` when it no longer waits.
    #[must_use]
    pub fn get(&self, key: QueueKey) -> Option<&T> {
        self.lanes.get(to_usize(key.lane))?.items.get(&key.order).map(|entry| &entry.item)
    }

    /// Replaces the charge of a served item by the actual number of tokens; 0 refunds it.
    pub fn correct(&mut self, organisation: &str, expected: u32, actual: u32) {
        let lane = self.find_or_add_lane(organisation);
        self.charge(lane, i64::from(actual) - i64::from(expected));
    }

    /// Expected wait of a new item of the organisation when `tokens_per_second` are served; zero when the organisation
    /// has no waiting item or the rate is 0.
    #[must_use]
    pub fn expected_wait(&self, organisation: &str, weight: f64, tokens_per_second: u64) -> Duration {
        let own =
            self.find_lane_entry(organisation).ok().map(|found| &self.lanes[to_usize(self.lane_entries[found].lane)]);
        let own_tokens = own.map_or(0, |lane| lane.queued_tokens);
        let own_weight = u64::from(weight_in_thousandths(weight));
        let is_waiting = own.is_some_and(|lane| !lane.items.is_empty());
        let waiting_weights =
            self.backlog.iter().map(|backlog_entry| u64::from(self.lanes[to_usize(backlog_entry.lane)].weight));
        let total_weight = waiting_weights.sum::<u64>() + if is_waiting { 0 } else { own_weight };
        if self.length == 0 || tokens_per_second == 0 {
            return Duration::ZERO;
        }
        let millis = u128::from(own_tokens) * 1000 * u128::from(total_weight)
            / (u128::from(tokens_per_second) * u128::from(own_weight.max(1)));
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Name and number of waiting items of each known organisation, sorted by name.
    pub fn lengths(&self) -> impl Iterator<Item = (&str, usize)> {
        self.lane_entries
            .iter()
            .map(|entry| (entry.organisation.as_str(), self.lanes[to_usize(entry.lane)].items.len()))
    }

    /// Removes and returns all items without charging for them.
    pub fn drain(&mut self) -> Vec<T> {
        let mut items = Vec::with_capacity(self.length);
        for lane in &mut self.lanes {
            items.extend(std::mem::take(&mut lane.items).into_values().map(|entry| entry.item));
            lane.queued_tokens = 0;
        }
        self.backlog.clear();
        self.length = 0;
        items
    }

    fn find_lane_entry(&self, organisation: &str) -> Result<usize, usize> {
        self.lane_entries.binary_search_by(|entry| entry.organisation.as_str().cmp(organisation))
    }

    fn find_or_add_lane(&mut self, organisation: &str) -> u32 {
        match self.find_lane_entry(organisation) {
            Ok(found) => self.lane_entries[found].lane,
            Err(missing) => {
                let lane = u32::try_from(self.lanes.len()).unwrap_or(u32::MAX);
                self.lanes.push(QueueLane {
                    start_tag: self.virtual_time,
                    weight: 1000,
                    queued_tokens: 0,
                    items: BTreeMap::new(),
                });
                self.lane_entries.insert(missing, LaneEntry { organisation: organisation.to_owned(), lane });
                lane
            }
        }
    }

    fn set_weight(&mut self, lane: u32, weight: f64) {
        self.lanes[to_usize(lane)].weight = weight_in_thousandths(weight);
    }

    fn insert(&mut self, key: QueueKey, entry: LaneItem<T>) {
        let lane = &mut self.lanes[to_usize(key.lane)];
        if lane.items.is_empty() {
            lane.start_tag = lane.start_tag.max(self.virtual_time);
            self.backlog.insert(BacklogEntry { start_tag: lane.start_tag, lane: key.lane });
        }
        lane.queued_tokens += u64::from(entry.tokens);
        lane.items.insert(key.order, entry);
        self.length += 1;
    }

    fn take_item(&mut self, key: QueueKey) -> Option<LaneItem<T>> {
        let lane = self.lanes.get_mut(to_usize(key.lane))?;
        let entry = lane.items.remove(&key.order)?;
        lane.queued_tokens = lane.queued_tokens.saturating_sub(u64::from(entry.tokens));
        self.length -= 1;
        if lane.items.is_empty() {
            self.backlog.remove(&BacklogEntry { start_tag: lane.start_tag, lane: key.lane });
        }
        Some(entry)
    }

    fn charge(&mut self, lane: u32, tokens: i64) {
        let lane_state = &mut self.lanes[to_usize(lane)];
        let old_entry = BacklogEntry { start_tag: lane_state.start_tag, lane };
        let virtual_duration =
            u128::from(tokens.unsigned_abs()) * MAX_VIRTUAL_TIME_PER_TOKEN / u128::from(lane_state.weight.max(1));
        lane_state.start_tag = if tokens < 0 {
            lane_state.start_tag.saturating_sub(virtual_duration)
        } else {
            lane_state.start_tag + virtual_duration
        };
        if self.backlog.remove(&old_entry) {
            self.backlog.insert(BacklogEntry { start_tag: lane_state.start_tag, lane });
        }
    }

    fn displace_item_for(&mut self, lane: u32) -> Option<T> {
        let largest = (0..self.lanes.len()).max_by(|left, right| self.compare_relative_length(*left, *right))?;
        let own = to_usize(lane);
        if largest == own || !self.can_displace(own, largest) {
            return None;
        }
        let order = *self.lanes[largest].items.last_key_value()?.0;
        let lane = u32::try_from(largest).unwrap_or(u32::MAX);
        self.remove(QueueKey { lane, order })
    }

    /// Compares the number of items of two lanes in proportion to their weights.
    fn compare_relative_length(&self, left: usize, right: usize) -> std::cmp::Ordering {
        let (left, right) = (&self.lanes[left], &self.lanes[right]);
        let left_scaled = left.items.len() * to_usize(right.weight.max(1));
        let right_scaled = right.items.len() * to_usize(left.weight.max(1));
        left_scaled.cmp(&right_scaled)
    }

    /// Whether the lane `own` may displace an item of the lane `other`: with one item more, `own` must not hold more in
    /// proportion to its weight than `other` with one item less.
    fn can_displace(&self, own: usize, other: usize) -> bool {
        let (own, other) = (&self.lanes[own], &self.lanes[other]);
        let own_scaled = (own.items.len() + 1) * to_usize(other.weight.max(1));
        let other_scaled = other.items.len().saturating_sub(1) * to_usize(own.weight.max(1));
        own_scaled <= other_scaled
    }
}

fn to_usize(value: u32) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

/// Converts a weight to thousandths, at least 1 and at most 1,000,000.
fn weight_in_thousandths(weight: f64) -> u32 {
    let clamped = (weight * 1000.0).clamp(1.0, 1_000_000.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range of u32")]
    let rounded = clamped.round() as u32;
    rounded
}
