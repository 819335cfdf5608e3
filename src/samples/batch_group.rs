//! Finished groups as they go into a batch.

use crate::generated::caller_messages::{FailedGroup, SampleRecord};

/// A finished group.
#[derive(Debug, Clone, PartialEq)]
pub enum GroupResult {
    /// All samples, in order.
    Samples(Vec<SampleRecord>),
    /// The service refuses the group for good.
    Failed(FailedGroup),
}

impl GroupResult {
    /// Number of samples.
    #[must_use]
    pub fn samples(&self) -> usize {
        match self {
            Self::Samples(samples) => samples.len(),
            Self::Failed(_) => 0,
        }
    }
}

/// A finished group in a batch.
#[derive(Debug, Clone, PartialEq)]
pub struct BatchGroup {
    /// Position of the group in the shard.
    pub group: u32,
    /// Result.
    pub result: GroupResult,
}
