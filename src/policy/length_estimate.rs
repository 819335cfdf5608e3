//! Estimate of how many tokens a request produces, from the finished requests of the same service and organisation.

use crate::prelude::*;

/// Largest number of pairs of service and organisation that are kept.
const MAX_ENTRIES: usize = 4096;

/// A new length moves the mean by their difference divided by this number.
const SMOOTHING_DIVISOR: u32 = 16;

/// Smoothed mean length for each pair of service and organisation.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimate {
    entries: Vec<LengthEntry>,
}

#[derive(Debug, Clone)]
struct LengthEntry {
    service: ServiceId,
    organisation: OrganisationId,
    /// Mean number of tokens times [`SMOOTHING_DIVISOR`].
    scaled_mean: u64,
}

impl LengthEstimate {
    /// Creates an estimate that expects half of the allowed tokens until a length is recorded.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the tokens that a finished request produced. A new pair is ignored when the table is full.
    pub fn record(&mut self, service: &str, organisation: &str, tokens: u32) {
        let scaled_tokens = u64::from(tokens) * u64::from(SMOOTHING_DIVISOR);
        match self.find_entry(service, organisation) {
            Ok(position) => {
                let entry = &mut self.entries[position];
                entry.scaled_mean =
                    entry.scaled_mean - entry.scaled_mean / u64::from(SMOOTHING_DIVISOR) + u64::from(tokens);
            }
            Err(position) if self.entries.len() < MAX_ENTRIES => {
                let (service, organisation) = (service.to_owned(), organisation.to_owned());
                self.entries.insert(position, LengthEntry { service, organisation, scaled_mean: scaled_tokens });
            }
            Err(_) => {}
        }
    }

    /// Expected tokens of a request that may produce at most `max_tokens`; half of `max_tokens` when no length is
    /// known.
    #[must_use]
    pub fn expect(&self, service: &str, organisation: &str, max_tokens: u32) -> u32 {
        let mean = self.find_mean(service, organisation).unwrap_or(max_tokens / 2);
        mean.clamp(1, max_tokens.max(1))
    }

    /// Mean number of tokens; `None` when no request of the pair has finished.
    #[must_use]
    pub fn find_mean(&self, service: &str, organisation: &str) -> Option<u32> {
        let position = self.find_entry(service, organisation).ok()?;
        let mean = self.entries[position].scaled_mean / u64::from(SMOOTHING_DIVISOR);
        Some(u32::try_from(mean).unwrap_or(u32::MAX))
    }

    fn find_entry(&self, service: &str, organisation: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            (entry.service.as_str(), entry.organisation.as_str()).cmp(&(service, organisation))
        })
    }
}
