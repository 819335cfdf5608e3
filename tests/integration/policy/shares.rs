//! Shares of a target's limit among the homes of a split failure domain.

use std::time::Duration;

use camphorspring::policy::capacity_share::{DomainVisibility, ShareHistory, capacity_share};
use camphorspring::prelude::*;
use proptest::prelude::*;

/// Period of the time steps.
const STEP: Duration = Duration::from_millis(500);

fn sight(listed: usize, group: &[usize]) -> DomainVisibility {
    DomainVisibility {
        listed: u32::try_from(listed).unwrap(),
        seen: u32::try_from(group.len()).unwrap(),
        sees_lowest: group.contains(&0),
    }
}

/// Members of the group that `host` is in.
fn group_of(groups: &[usize], host: usize) -> Vec<usize> {
    (0..groups.len()).filter(|other| groups[*other] == groups[host]).collect()
}

proptest! {
    /// Guards against a formula whose shares of a split domain sum to more than the limit.
    #[test]
    fn shares_of_partition_fit_limit(groups in prop::collection::vec(0_usize..5, 1..40), limit in 0_u32..300) {
        let listed = groups.len();
        let mut names = groups.clone();
        names.sort_unstable();
        names.dedup();
        let mut sum = 0;
        for name in names {
            let group: Vec<usize> = (0..listed).filter(|host| groups[*host] == name).collect();
            sum += capacity_share(sight(listed, &group), limit);
        }
        prop_assert!(sum <= limit, "{sum} of {limit}");
    }

    /// Guards against a whole domain whose home may not use the whole limit.
    #[test]
    fn undivided_domain_uses_whole_limit(listed in 1_u32..50, limit in 0_u32..300) {
        prop_assert_eq!(capacity_share(DomainVisibility { listed, seen: listed, sees_lowest: true }, limit), limit);
    }

    /// Guards against two homes that use one slot while they notice a partition at different times: every host
    /// notices each partition within the detection time, in any order, and each group has one home.
    #[test]
    fn shares_fit_limit_while_partitions_change(
        partitions in prop::collection::vec(
            (prop::collection::vec(0_usize..3, 5), prop::collection::vec(0_u32..16, 5), 16_u32..60),
            1..6,
        ),
        ranks in Just(vec![0_usize, 1, 2, 3, 4]).prop_shuffle(),
        limit in 1_u32..9,
    ) {
        let hosts = 5;
        let mut now = Duration::from_secs(100);
        let mut histories: Vec<ShareHistory> = (0..hosts).map(|_| ShareHistory::new(SHARE_SETTLE)).collect();
        let mut coordinator_since: Vec<Option<BootTime>> = vec![None; hosts];
        let mut views: Vec<Vec<usize>> = (0..hosts).map(|_| (0..hosts).collect()).collect();
        for (groups, delays, steps) in &partitions {
            for step in 0..*steps {
                now += STEP;
                let mut sum = 0;
                for host in 0..hosts {
                    if delays[host] == step {
                        views[host] = group_of(groups, host);
                    }
                    let home = views[host].iter().min_by_key(|member| ranks[**member]).copied();
                    coordinator_since[host] = (home == Some(host)).then(|| coordinator_since[host].unwrap_or(now));
                    histories[host].record(now, sight(hosts, &views[host]));
                    sum += coordinator_since[host].map_or(0, |since| histories[host].share(now, since, limit));
                }
                prop_assert!(sum <= limit, "{sum} of {limit} at {now:?}");
            }
        }
    }
}
