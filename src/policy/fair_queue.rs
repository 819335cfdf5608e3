//! Start-time fair queue over organisations.
//!
//! Each organisation has a start tag that advances by tokens over weight when one of its requests is served, and is
//! corrected when the real number of tokens is known. The organisation with the smallest tag is served next; inside
//! an organisation the earliest deadline goes first. An organisation that returns after a pause starts at the
//! present virtual time, so that it can neither save up shares nor be punished for a past of idle targets.
//!
//! Ordered trees instead of sorted vectors keep every operation logarithmic at the largest bound of 100,000 entries.

use std::collections::{BTreeMap, BTreeSet};

use crate::prelude::*;

/// Virtual time in parts of a token at weight 1.
type VirtualTime = u128;

/// Virtual time of one token at a weight of one thousandth.
const TOKEN_PARTS: u128 = 1_000_000;

/// Place of a waiting item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    lane: u32,
    place: LanePlace,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LanePlace {
    deadline: BootTime,
    sequence: u64,
}

/// An item to queue.
#[derive(Debug)]
pub struct QueueItem<'a, T> {
    /// Organisation that is charged.
    pub organisation: &'a str,
    /// Its weight.
    pub weight: f64,
    /// Expected tokens.
    pub tokens: u32,
    /// Time by which the item is wanted.
    pub deadline: BootTime,
    /// Item.
    pub item: T,
}

/// An item that was taken out to be served.
#[derive(Debug)]
pub struct ServedItem<T> {
    /// Its place, for [`FairQueue::put_back`].
    pub key: QueueKey,
    /// Its expected tokens.
    pub tokens: u32,
    /// Item.
    pub item: T,
}

/// What became of an item.
#[derive(Debug, PartialEq, Eq)]
pub enum PushOutcome<T> {
    /// It waits.
    Queued(QueueKey),
    /// It waits in the place of this item of an organisation with more than its share of the queue.
    Displaced(QueueKey, T),
    /// The queue is full, and the organisation has its share of it.
    Refused(T),
}

/// Queue of one shard.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    limit: usize,
    length: usize,
    virtual_time: VirtualTime,
    next_sequence: u64,
    lanes: Vec<QueueLane<T>>,
    names: Vec<LaneName>,
    backlog: BTreeSet<LaneOrder>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LaneOrder {
    start: VirtualTime,
    lane: u32,
}

#[derive(Debug, Clone)]
struct LaneName {
    organisation: OrganisationId,
    lane: u32,
}

#[derive(Debug, Clone)]
struct QueueLane<T> {
    start: VirtualTime,
    /// Weight in thousandths.
    weight: u32,
    tokens: u64,
    items: BTreeMap<LanePlace, LaneItem<T>>,
}

#[derive(Debug, Clone)]
struct LaneItem<T> {
    tokens: u32,
    item: T,
}

impl<T> FairQueue<T> {
    /// Empty queue that holds at most `limit` items.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            length: 0,
            virtual_time: 0,
            next_sequence: 0,
            lanes: Vec::new(),
            names: Vec::new(),
            backlog: BTreeSet::new(),
        }
    }

    /// Number of waiting items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Changes the bound; items beyond a smaller one stay.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Queues an item. When the queue is full, an organisation below its weighted share of the places displaces the
    /// last item of the one that is furthest above, so that a flood cannot refuse everyone else.
    pub fn push(&mut self, entry: QueueItem<'_, T>) -> PushOutcome<T> {
        let lane = self.lane(entry.organisation);
        self.set_weight(lane, entry.weight);
        let mut displaced = None;
        if self.length >= self.limit {
            match self.displace_for(lane) {
                Some(item) => displaced = Some(item),
                None => return PushOutcome::Refused(entry.item),
            }
        }
        let place = LanePlace { deadline: entry.deadline, sequence: self.next_sequence };
        self.next_sequence += 1;
        let key = QueueKey { lane, place };
        self.insert(key, LaneItem { tokens: entry.tokens, item: entry.item });
        match displaced {
            Some(item) => PushOutcome::Displaced(key, item),
            None => PushOutcome::Queued(key),
        }
    }

    /// Takes out the item to serve next, and charges its organisation the expected tokens.
    pub fn pop(&mut self) -> Option<ServedItem<T>> {
        self.pop_where(|_| true)
    }

    /// Like [`FairQueue::pop`], and passes over organisations whose first item may not be served now.
    pub fn pop_where(&mut self, is_allowed: impl Fn(&T) -> bool) -> Option<ServedItem<T>> {
        let order = *self.backlog.iter().find(|order| {
            let first = self.lanes[position(order.lane)].items.first_key_value();
            first.is_some_and(|(_, entry)| is_allowed(&entry.item))
        })?;
        let place = *self.lanes[position(order.lane)].items.first_key_value()?.0;
        let key = QueueKey { lane: order.lane, place };
        let entry = self.take(key)?;
        self.virtual_time = self.virtual_time.max(order.start);
        self.charge(order.lane, i64::from(entry.tokens));
        Some(ServedItem { key, tokens: entry.tokens, item: entry.item })
    }

    /// Undoes [`FairQueue::pop`] for an item that no free target can serve now.
    pub fn put_back(&mut self, served: ServedItem<T>) -> QueueKey {
        self.charge(served.key.lane, -i64::from(served.tokens));
        self.insert(served.key, LaneItem { tokens: served.tokens, item: served.item });
        served.key
    }

    /// Takes an item out without serving it.
    pub fn remove(&mut self, key: QueueKey) -> Option<T> {
        self.take(key).map(|entry| entry.item)
    }

    /// Waiting item at a place.
    #[must_use]
    pub fn get(&self, key: QueueKey) -> Option<&T> {
        self.lanes.get(position(key.lane))?.items.get(&key.place).map(|entry| &entry.item)
    }

    /// Corrects the charge of a served item when its real tokens are known.
    pub fn correct(&mut self, organisation: &str, expected: u32, real: u32) {
        let lane = self.lane(organisation);
        self.charge(lane, i64::from(real) - i64::from(expected));
    }

    /// Wait that a new item of the organisation must expect when the shard serves `tokens_per_second`.
    ///
    /// The organisation's own backlog is served at its weighted share among those that wait.
    #[must_use]
    pub fn expected_wait(&self, organisation: &str, weight: f64, tokens_per_second: u64) -> Duration {
        let own = self.find(organisation).ok().map(|found| &self.lanes[position(self.names[found].lane)]);
        let backlog = own.map_or(0, |lane| lane.tokens);
        let own_weight = u64::from(thousandths(weight));
        let is_waiting = own.is_some_and(|lane| !lane.items.is_empty());
        let waiting = self.backlog.iter().map(|order| u64::from(self.lanes[position(order.lane)].weight));
        let all_weights = waiting.sum::<u64>() + if is_waiting { 0 } else { own_weight };
        if self.length == 0 || tokens_per_second == 0 {
            return Duration::ZERO;
        }
        let millis = u128::from(backlog) * 1000 * u128::from(all_weights)
            / (u128::from(tokens_per_second) * u128::from(own_weight.max(1)));
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Waiting items of each organisation, by name.
    pub fn lengths(&self) -> impl Iterator<Item = (&str, usize)> {
        self.names.iter().map(|name| (name.organisation.as_str(), self.lanes[position(name.lane)].items.len()))
    }

    /// Takes out all items.
    pub fn drain(&mut self) -> Vec<T> {
        let mut items = Vec::with_capacity(self.length);
        for lane in &mut self.lanes {
            items.extend(std::mem::take(&mut lane.items).into_values().map(|entry| entry.item));
            lane.tokens = 0;
        }
        self.backlog.clear();
        self.length = 0;
        items
    }

    fn find(&self, organisation: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|name| name.organisation.as_str().cmp(organisation))
    }

    fn lane(&mut self, organisation: &str) -> u32 {
        match self.find(organisation) {
            Ok(found) => self.names[found].lane,
            Err(missing) => {
                let lane = u32::try_from(self.lanes.len()).unwrap_or(u32::MAX);
                self.lanes.push(QueueLane {
                    start: self.virtual_time,
                    weight: 1000,
                    tokens: 0,
                    items: BTreeMap::new(),
                });
                self.names.insert(missing, LaneName { organisation: organisation.to_owned(), lane });
                lane
            }
        }
    }

    fn set_weight(&mut self, lane: u32, weight: f64) {
        self.lanes[position(lane)].weight = thousandths(weight);
    }

    fn insert(&mut self, key: QueueKey, entry: LaneItem<T>) {
        let lane = &mut self.lanes[position(key.lane)];
        if lane.items.is_empty() {
            lane.start = lane.start.max(self.virtual_time);
            self.backlog.insert(LaneOrder { start: lane.start, lane: key.lane });
        }
        lane.tokens += u64::from(entry.tokens);
        lane.items.insert(key.place, entry);
        self.length += 1;
    }

    fn take(&mut self, key: QueueKey) -> Option<LaneItem<T>> {
        let lane = self.lanes.get_mut(position(key.lane))?;
        let entry = lane.items.remove(&key.place)?;
        lane.tokens = lane.tokens.saturating_sub(u64::from(entry.tokens));
        self.length -= 1;
        if lane.items.is_empty() {
            self.backlog.remove(&LaneOrder { start: lane.start, lane: key.lane });
        }
        Some(entry)
    }

    fn charge(&mut self, lane: u32, tokens: i64) {
        let entry = &mut self.lanes[position(lane)];
        let old = LaneOrder { start: entry.start, lane };
        let parts = u128::from(tokens.unsigned_abs()) * TOKEN_PARTS / u128::from(entry.weight.max(1));
        entry.start = if tokens < 0 { entry.start.saturating_sub(parts) } else { entry.start + parts };
        if self.backlog.remove(&old) {
            self.backlog.insert(LaneOrder { start: entry.start, lane });
        }
    }

    fn displace_for(&mut self, lane: u32) -> Option<T> {
        let largest = (0..self.lanes.len()).max_by(|left, right| self.places_over(*left, *right))?;
        let own = position(lane);
        if largest == own || !self.has_room_below(own, largest) {
            return None;
        }
        let place = *self.lanes[largest].items.last_key_value()?.0;
        let lane = u32::try_from(largest).unwrap_or(u32::MAX);
        self.remove(QueueKey { lane, place })
    }

    /// Compares the places of two lanes by weight.
    fn places_over(&self, left: usize, right: usize) -> std::cmp::Ordering {
        let (left, right) = (&self.lanes[left], &self.lanes[right]);
        let left_places = left.items.len() * position(right.weight.max(1));
        let right_places = right.items.len() * position(left.weight.max(1));
        left_places.cmp(&right_places)
    }

    /// Whether one more place of `own` still leaves it at or below one place less of `other`, by weight.
    fn has_room_below(&self, own: usize, other: usize) -> bool {
        let (own, other) = (&self.lanes[own], &self.lanes[other]);
        let own_places = (own.items.len() + 1) * position(other.weight.max(1));
        let other_places = other.items.len().saturating_sub(1) * position(own.weight.max(1));
        own_places <= other_places
    }
}

fn position(lane: u32) -> usize {
    usize::try_from(lane).unwrap_or(usize::MAX)
}

/// Weight in thousandths, at least one.
fn thousandths(weight: f64) -> u32 {
    let clamped = (weight * 1000.0).clamp(1.0, 1_000_000.0);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped to the range of u32")]
    let rounded = clamped.round() as u32;
    rounded
}
