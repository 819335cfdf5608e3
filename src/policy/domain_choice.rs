//! Order in which a requester asks the failure domains for a permit, the right to use one slot of a target.
//!
//! The requester's own domain comes first. Another domain comes before it when the own one has no usable target, too
//! many failures or a long queue.
//!
//! Requests of a training step spread over all domains by a hash of their prompt. A domain that would hold more than
//! half of the step's requests comes later, so that the loss of one domain does not lose most of a step.

use crate::prelude::*;

/// A domain with an expected wait above this comes after the others when another domain has at most half of that
/// expected wait. The value is a few times the cost of asking another domain.
const LONG_WAIT: Duration = Duration::from_millis(20);

/// What a requester knows of one service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainOption<'a> {
    /// Name of the failure domain; it does not affect the order.
    pub failure_domain: &'a str,
    /// Whether this is the requester's own domain.
    pub is_own: bool,
    /// Whether the domain has targets in rotation that the request may use.
    pub has_targets: bool,
    /// Whether too many recent attempts in the domain failed.
    pub is_failing: bool,
    /// Wait that a coordinator of the domain announced last; `None` when no recent announcement is known, which counts
    /// as no wait.
    pub expected_wait: Option<Duration>,
    /// Number of requests of the same step that this host runs in the domain.
    pub step_requests: u32,
    /// Hash of prompt and domain; the domain with the lowest rank comes first for a step's request. The requests of a
    /// step spread, and requests with the same prompt go to the same domain.
    pub prompt_rank: u64,
}

/// Positions in `options` in the order in which to ask, without domains that have no usable target. `is_step_request`
/// says whether the request belongs to a training step.
#[must_use]
pub fn order_domains(options: &[DomainOption<'_>], is_step_request: bool) -> Vec<usize> {
    let step_total: u32 = options.iter().map(|option| option.step_requests).sum();
    let shortest_wait = options.iter().filter(|option| option.has_targets).map(wait_or_zero).min().unwrap_or_default();
    let mut order: Vec<usize> = (0..options.len()).filter(|position| options[*position].has_targets).collect();
    order.sort_by_key(|position| {
        let option = &options[*position];
        let is_majority_with_request =
            is_step_request && step_total > 0 && 2 * (option.step_requests + 1) > step_total + 1;
        let has_long_wait = wait_or_zero(option) > LONG_WAIT && wait_or_zero(option) / 2 >= shortest_wait;
        let (is_behind_own, rank) = if is_step_request { (false, option.prompt_rank) } else { (!option.is_own, 0) };
        (
            option.is_failing,
            is_majority_with_request,
            has_long_wait,
            is_behind_own,
            rank,
            wait_or_zero(option),
            option.step_requests,
        )
    });
    order
}

fn wait_or_zero(option: &DomainOption<'_>) -> Duration {
    option.expected_wait.unwrap_or_default()
}
