//! Expected number of tokens of a request, by service and organisation.

use crate::prelude::*;

/// Most pairs of service and organisation that are kept.
const ESTIMATE_LIMIT: usize = 4096;

/// The weight of a new length is one over this number.
const SMOOTHING: u32 = 16;

/// Lengths seen, smoothed.
#[derive(Debug, Clone, Default)]
pub struct LengthEstimate {
    lengths: Vec<LengthEntry>,
}

#[derive(Debug, Clone)]
struct LengthEntry {
    service: ServiceId,
    organisation: OrganisationId,
    /// Mean in sixteenths of a token.
    mean_parts: u64,
}

impl LengthEstimate {
    /// No lengths yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the length of a finished request.
    pub fn record(&mut self, service: &str, organisation: &str, tokens: u32) {
        let parts = u64::from(tokens) * u64::from(SMOOTHING);
        match self.find(service, organisation) {
            Ok(position) => {
                let entry = &mut self.lengths[position];
                entry.mean_parts = entry.mean_parts - entry.mean_parts / u64::from(SMOOTHING) + u64::from(tokens);
            }
            Err(position) if self.lengths.len() < ESTIMATE_LIMIT => {
                let (service, organisation) = (service.to_owned(), organisation.to_owned());
                self.lengths.insert(position, LengthEntry { service, organisation, mean_parts: parts });
            }
            Err(_) => {}
        }
    }

    /// Expected tokens of a request that may produce at most `most`; half of that when nothing is known.
    #[must_use]
    pub fn expect(&self, service: &str, organisation: &str, most: u32) -> u32 {
        let mean = self.find_mean(service, organisation).unwrap_or(most / 2);
        mean.clamp(1, most.max(1))
    }

    /// Mean length, when any is known.
    #[must_use]
    pub fn find_mean(&self, service: &str, organisation: &str) -> Option<u32> {
        let position = self.find(service, organisation).ok()?;
        let mean = self.lengths[position].mean_parts / u64::from(SMOOTHING);
        Some(u32::try_from(mean).unwrap_or(u32::MAX))
    }

    fn find(&self, service: &str, organisation: &str) -> Result<usize, usize> {
        self.lengths.binary_search_by(|entry| {
            (entry.service.as_str(), entry.organisation.as_str()).cmp(&(service, organisation))
        })
    }
}
