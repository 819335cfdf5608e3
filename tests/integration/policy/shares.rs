//! Capacity shares of the coordinators in a partitioned failure domain.

use std::time::Duration;

use camphorspring::policy::capacity_share::{DomainVisibility, ShareHistory, capacity_share};
use camphorspring::prelude::*;
use proptest::prelude::*;

const TICK_INTERVAL: Duration = Duration::from_millis(500);

fn visibility_of(listed: usize, side_hosts: &[usize]) -> DomainVisibility {
    DomainVisibility {
        listed: u32::try_from(listed).unwrap(),
        seen: u32::try_from(side_hosts.len()).unwrap(),
        sees_lowest: side_hosts.contains(&0),
    }
}

/// Hosts on the same side of the partition as `host`. `host_sides` has the side of each host.
fn hosts_on_side_of(host_sides: &[usize], host: usize) -> Vec<usize> {
    (0..host_sides.len()).filter(|other| host_sides[*other] == host_sides[host]).collect()
}

proptest! {
    /// Guards against a partition in which the capacity shares of all sides sum to more than the target's limit.
    #[test]
    fn shares_of_partition_fit_limit(host_sides in prop::collection::vec(0_usize..5, 1..40), limit in 0_u32..300) {
        let listed = host_sides.len();
        let mut sides = host_sides.clone();
        sides.sort_unstable();
        sides.dedup();
        let mut sum = 0;
        for side in sides {
            let side_hosts: Vec<usize> = (0..listed).filter(|host| host_sides[*host] == side).collect();
            sum += capacity_share(visibility_of(listed, &side_hosts), limit);
        }
        prop_assert!(sum <= limit, "{sum} of {limit}");
    }

    /// Guards against a coordinator that may not use the whole limit although its domain is not partitioned.
    #[test]
    fn undivided_domain_uses_whole_limit(listed in 1_u32..50, limit in 0_u32..300) {
        prop_assert_eq!(capacity_share(DomainVisibility { listed, seen: listed, sees_lowest: true }, limit), limit);
    }

    /// Guards against two coordinators that use the same slot because they detect a partition at different times. Each
    /// host detects each partition within 16 ticks, 8 s, after which a silent host counts as dead. Each side has one
    /// coordinator.
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
        let mut histories: Vec<ShareHistory> = (0..hosts).map(|_| ShareHistory::new(SHARE_INCREASE_DELAY)).collect();
        let mut coordinator_since: Vec<Option<BootTime>> = vec![None; hosts];
        let mut views: Vec<Vec<usize>> = (0..hosts).map(|_| (0..hosts).collect()).collect();
        for (host_sides, delays, ticks) in &partitions {
            for tick in 0..*ticks {
                now += TICK_INTERVAL;
                let mut sum = 0;
                for host in 0..hosts {
                    if delays[host] == tick {
                        views[host] = hosts_on_side_of(host_sides, host);
                    }
                    let coordinator = views[host].iter().min_by_key(|other| ranks[**other]).copied();
                    coordinator_since[host] =
                        (coordinator == Some(host)).then(|| coordinator_since[host].unwrap_or(now));
                    histories[host].record(now, visibility_of(hosts, &views[host]));
                    sum += coordinator_since[host].map_or(0, |since| histories[host].share(now, since, limit));
                }
                prop_assert!(sum <= limit, "{sum} of {limit} at {now:?}");
            }
        }
    }
}
