//! Fair queue.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::policy::fair_queue::{FairQueue, PushOutcome, QueueItem, QueueKey};
use googletest::prelude::*;
use proptest::prelude::*;

const NAMES: [&str; 4] = ["large", "small", "third", "fourth"];

/// Item of an organisation: its index, tokens, and deadline in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TestItem {
    organisation: usize,
    tokens: u32,
    deadline: u64,
}

fn push(queue: &mut FairQueue<TestItem>, weight: f64, item: TestItem) -> PushOutcome<TestItem> {
    queue.push(QueueItem {
        organisation: NAMES[item.organisation],
        weight,
        tokens: item.tokens,
        deadline: Duration::from_millis(item.deadline),
        item,
    })
}

fn any_item() -> impl Strategy<Value = TestItem> {
    (0_usize..4, 1_u32..2000, 0_u64..1000).prop_map(|(organisation, tokens, deadline)| TestItem {
        organisation,
        tokens,
        deadline,
    })
}

proptest! {
    /// Guards against shares that do not follow the weights: while all organisations wait, served tokens over weight
    /// differ by at most the largest items, and corrections by the real tokens count fully.
    #[test]
    fn served_tokens_follow_weights(
        weights in prop::collection::vec(1_u32..8, 4),
        lengths in prop::collection::vec((1_u32..500, 1_u32..500), 400),
    ) {
        let mut queue = FairQueue::new(4000);
        for (index, (expected, _)) in lengths.iter().enumerate() {
            for (organisation, weight) in weights.iter().enumerate() {
                let item = TestItem { organisation, tokens: *expected, deadline: index as u64 };
                push(&mut queue, f64::from(*weight), item);
            }
        }
        let mut served = [0_f64; 4];
        let mut waiting = [400_usize; 4];
        let mut position = 0;
        while waiting.iter().all(|count| *count > 1) {
            let item = queue.pop().unwrap().item;
            let real = lengths[position % lengths.len()].1;
            position += 1;
            queue.correct(NAMES[item.organisation], item.tokens, real);
            served[item.organisation] += f64::from(real) / f64::from(weights[item.organisation]);
            waiting[item.organisation] -= 1;
            let most = served.iter().copied().fold(0.0, f64::max);
            let least = served.iter().copied().fold(f64::MAX, f64::min);
            prop_assert!(most - least <= 1000.0, "{served:?}");
        }
    }

    /// Guards against an item that waits for ever: each waiting item is served before its organisation's later
    /// deadlines, and while others keep arriving, within a bounded number of services.
    #[test]
    fn no_item_starves(items in prop::collection::vec(any_item(), 1..40), flood in 1_u32..2000) {
        let mut queue = FairQueue::new(10_000);
        let mut waiting: Vec<QueueKey> = Vec::new();
        let mut tokens = 0_u64;
        for item in &items {
            tokens += u64::from(item.tokens);
            if let PushOutcome::Queued(key) = push(&mut queue, 1.0, *item) {
                waiting.push(key);
            }
        }
        // Each of the others is charged at most this much before the waiting ones have had their tokens.
        let bound = 4 * (tokens / u64::from(flood) + 2) + 8 * items.len() as u64;
        let mut services = 0_u64;
        while !waiting.is_empty() {
            push(&mut queue, 1.0, TestItem { organisation: 0, tokens: flood, deadline: 2000 + services });
            let served = queue.pop().unwrap();
            waiting.retain(|key| *key != served.key);
            services += 1;
            prop_assert!(services <= bound, "{services} services for {tokens} tokens");
        }
    }

    /// Guards against an order inside an organisation other than the earliest deadline, and against items that are
    /// lost or served twice when some are put back or removed.
    #[test]
    fn items_leave_once_by_deadline(
        items in prop::collection::vec(any_item(), 1..60),
        choices in prop::collection::vec(0_u32..3, 60),
    ) {
        let mut queue = FairQueue::new(1000);
        let mut keys = Vec::new();
        for item in &items {
            if let PushOutcome::Queued(key) = push(&mut queue, 1.0, *item) {
                keys.push((key, *item));
            }
        }
        let mut left = Vec::new();
        for (index, (key, item)) in keys.iter().enumerate() {
            match choices[index] {
                0 => prop_assert_eq!(queue.remove(*key), Some(*item)),
                _ => left.push(*item),
            }
        }
        if let Some(served) = queue.pop() {
            queue.put_back(served);
        }
        prop_assert_eq!(queue.len(), left.len());
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        let mut count = 0;
        while let Some(served) = queue.pop() {
            let item = served.item;
            let before = last.insert(item.organisation, item.deadline).unwrap_or(0);
            prop_assert!(before <= item.deadline);
            count += 1;
        }
        prop_assert_eq!(count, left.len());
    }

    /// Guards against a flood that fills the queue and leaves the places of all others to chance.
    #[test]
    fn flood_leaves_places_for_others(flood in 100_usize..300, others in 1_usize..20) {
        let mut queue = FairQueue::new(100);
        for index in 0..flood {
            push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 1, deadline: index as u64 });
        }
        for index in 0..others {
            let item = TestItem { organisation: 1, tokens: 1, deadline: index as u64 };
            let is_queued = !matches!(push(&mut queue, 1.0, item), PushOutcome::Refused(_));
            prop_assert!(is_queued);
        }
        prop_assert_eq!(queue.len(), 100);
        let refused = push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 1, deadline: 0 });
        prop_assert!(matches!(refused, PushOutcome::Refused(_)));
    }
}

/// Guards against an organisation that saves up its share while it is idle, and against one that waits after a past
/// in which targets were idle.
#[googletest::test]
fn idle_time_is_neither_saved_nor_punished() {
    let mut queue = FairQueue::new(100);
    let item = |organisation| TestItem { organisation, tokens: 100, deadline: 0 };
    for organisation in std::iter::once(1).chain([0; 20]) {
        push(&mut queue, 1.0, item(organisation));
        queue.pop();
    }
    for _ in 0..10 {
        push(&mut queue, 1.0, item(0));
        push(&mut queue, 1.0, item(1));
    }
    let served: Vec<usize> = (0..10).filter_map(|_| queue.pop()).map(|served| served.item.organisation).collect();
    let others = served.iter().filter(|organisation| **organisation == 1).count();
    expect_that!(others, all!(ge(4), le(6)));
}

/// Guards against an expected wait that ignores the weights or the organisation's own backlog.
#[googletest::test]
fn expected_wait_follows_backlog_and_weight() {
    let mut queue = FairQueue::new(100);
    for _ in 0..10 {
        push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 100, deadline: 0 });
        push(&mut queue, 1.0, TestItem { organisation: 1, tokens: 10, deadline: 0 });
    }
    expect_that!(queue.expected_wait("large", 1.0, 1000), eq(Duration::from_secs(2)));
    expect_that!(queue.expected_wait("small", 1.0, 1000), eq(Duration::from_millis(200)));
    expect_that!(queue.expected_wait("third", 1.0, 1000), eq(Duration::ZERO));
}
