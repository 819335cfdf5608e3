//! Properties of the fair queue: weighted shares, order, bounded waits and displacement.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::policy::fair_queue::{FairQueue, PushOutcome, QueueItem, QueueKey};
use googletest::prelude::*;
use proptest::prelude::*;

const NAMES: [&str; 4] = ["large", "small", "third", "fourth"];

/// Test item; `organisation` is an index of [`NAMES`], and `deadline` is in milliseconds.
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
    /// Guards against service that does not follow the weights. While all organisations have waiting items, their
    /// served tokens divided by the weight differ by at most 1,000, twice the largest item. The served tokens are the
    /// actual ones, so that the test fails when a correction is not applied in full.
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

    /// Guards against an item that is never served while items of one organisation keep arriving: the items queued
    /// first are served within a bounded number of services.
    #[test]
    fn no_item_starves(items in prop::collection::vec(any_item(), 1..40), arriving_tokens in 1_u32..2000) {
        let mut queue = FairQueue::new(10_000);
        let mut waiting: Vec<QueueKey> = Vec::new();
        let mut tokens = 0_u64;
        for item in &items {
            tokens += u64::from(item.tokens);
            if let PushOutcome::Queued(key) = push(&mut queue, 1.0, *item) {
                waiting.push(key);
            }
        }
        // Until the first items are served, each organisation is served about as many tokens as all first items have.
        let max_pops = 4 * (tokens / u64::from(arriving_tokens) + 2) + 8 * items.len() as u64;
        let mut served_items = 0_u64;
        while !waiting.is_empty() {
            push(&mut queue, 1.0, TestItem { organisation: 0, tokens: arriving_tokens, deadline: 2000 + served_items });
            let served = queue.pop().unwrap();
            waiting.retain(|key| *key != served.key);
            served_items += 1;
            prop_assert!(served_items <= max_pops, "{served_items} services for {tokens} tokens");
        }
    }

    /// Guards against items of an organisation that leave in another order than that of their deadlines, and against
    /// items that are lost or served twice after an item was put back or removed.
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
        let mut remaining = Vec::new();
        for (index, (key, item)) in keys.iter().enumerate() {
            match choices[index] {
                0 => prop_assert_eq!(queue.remove(*key), Some(*item)),
                _ => remaining.push(*item),
            }
        }
        if let Some(served) = queue.pop() {
            queue.put_back(served);
        }
        prop_assert_eq!(queue.len(), remaining.len());
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        let mut count = 0;
        while let Some(served) = queue.pop() {
            let item = served.item;
            let before = last.insert(item.organisation, item.deadline).unwrap_or(0);
            prop_assert!(before <= item.deadline);
            count += 1;
        }
        prop_assert_eq!(count, remaining.len());
    }

    /// Guards against an organisation that fills the queue with its items, so that the items of another organisation
    /// are refused.
    #[test]
    fn full_queue_accepts_other_organisations(first_items in 100_usize..300, other_items in 1_usize..20) {
        let mut queue = FairQueue::new(100);
        for index in 0..first_items {
            push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 1, deadline: index as u64 });
        }
        for index in 0..other_items {
            let item = TestItem { organisation: 1, tokens: 1, deadline: index as u64 };
            let is_queued = !matches!(push(&mut queue, 1.0, item), PushOutcome::Refused(_));
            prop_assert!(is_queued);
        }
        prop_assert_eq!(queue.len(), 100);
        let refused = push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 1, deadline: 0 });
        prop_assert!(matches!(refused, PushOutcome::Refused(_)));
    }
}

/// Guards against an organisation that saves up service while it is idle, and against one that has to wait because it
/// used otherwise idle targets before.
#[googletest::test]
fn past_idle_time_does_not_change_shares() {
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
    let other_items = served.iter().filter(|organisation| **organisation == 1).count();
    expect_that!(other_items, all!(ge(4), le(6)));
}

/// Guards against an expected wait that ignores the waiting items of the organisation, or that the rate is shared with
/// the other organisations that wait.
#[googletest::test]
fn expected_wait_follows_backlog_and_share() {
    let mut queue = FairQueue::new(100);
    for _ in 0..10 {
        push(&mut queue, 1.0, TestItem { organisation: 0, tokens: 100, deadline: 0 });
        push(&mut queue, 1.0, TestItem { organisation: 1, tokens: 10, deadline: 0 });
    }
    expect_that!(queue.expected_wait("large", 1.0, 1000), eq(Duration::from_secs(2)));
    expect_that!(queue.expected_wait("small", 1.0, 1000), eq(Duration::from_millis(200)));
    expect_that!(queue.expected_wait("third", 1.0, 1000), eq(Duration::ZERO));
}
