//! Choice of the failure domain that an entry host asks for a request.
//!
//! The own domain comes first, but for requests of a step, which spread over all domains by their prompts. Another one comes first when the own one has no target or a long queue, and when the
//! own one already holds half of the request's step: losing a domain must not lose most of a step.

use crate::prelude::*;

/// An expected wait above this makes the entry host compare other domains; it is a few times what asking there costs.
const LONG_WAIT: Duration = Duration::from_millis(20);

/// What an entry host knows of a service in one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainOption<'a> {
    /// Failure domain.
    pub failure_domain: &'a str,
    /// Whether it is the entry host's own one.
    pub is_own: bool,
    /// Whether it has targets that are in and that the request may use.
    pub has_targets: bool,
    /// Whether too many recent tries there failed.
    pub is_failing: bool,
    /// Wait that its home announced last; `None` when nothing recent is known.
    pub expected_wait: Option<Duration>,
    /// Requests of the same step that this host runs there.
    pub step_requests: u32,
    /// Rank of the domain for the request's prompt, so that a step's requests spread and those with one prompt meet.
    pub prompt_rank: u64,
}

/// Positions of the domains to ask, in order; domains without targets are left out.
#[must_use]
pub fn order_domains(options: &[DomainOption<'_>], is_step: bool) -> Vec<usize> {
    let step_total: u32 = options.iter().map(|option| option.step_requests).sum();
    let least_wait = options.iter().filter(|option| option.has_targets).map(known_wait).min().unwrap_or_default();
    let mut order: Vec<usize> = (0..options.len()).filter(|position| options[*position].has_targets).collect();
    order.sort_by_key(|position| {
        let option = &options[*position];
        let holds_half = is_step && step_total > 0 && 2 * (option.step_requests + 1) > step_total + 1;
        let is_long = known_wait(option) > LONG_WAIT && known_wait(option) / 2 >= least_wait;
        let (is_far, rank) = if is_step { (false, option.prompt_rank) } else { (!option.is_own, 0) };
        (option.is_failing, holds_half, is_long, is_far, rank, known_wait(option), option.step_requests)
    });
    order
}

fn known_wait(option: &DomainOption<'_>) -> Duration {
    option.expected_wait.unwrap_or_default()
}
