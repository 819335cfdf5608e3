//! Rows and objects of a step: their keys and values.
//!
//! | table | key | life |
//! |---|---|---|
//! | `steps` | `{trainer}/{step}` | written once, at submission |
//! | `open_shards` | `{trainer}/{step}/{shard:04}` | present while groups of the shard are missing |
//! | `manifest` | `{trainer}/{step}/{shard:04}-{n:06}` | version 1 `ready`, version 2 `delivered` or `stale` |
//! | `ready` | the key of the manifest row | present while the manifest row is `ready` |
//! | `deliveries` | `{trainer}/{step}/{sequence:06}` | written once, at the first delivery |
//!
//! `open_shards` and `ready` are indexes: they keep the reads of hosts and trainers independent of the number of
//! finished steps and batches. They change only in the transaction that changes what they index.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::generated::caller_messages::{FailedGroup, SampleRecord};
use crate::prelude::*;

/// Table of accepted steps.
pub const STEPS_TABLE: &str = "steps";
/// Table of shards with missing groups.
pub const OPEN_SHARDS_TABLE: &str = "open_shards";
/// Table of batches.
pub const MANIFEST_TABLE: &str = "manifest";
/// Table of batches that wait for their first delivery.
pub const READY_TABLE: &str = "ready";
/// Table of deliveries in their order.
pub const DELIVERIES_TABLE: &str = "deliveries";
/// Table of released weight versions.
pub const WEIGHTS_TABLE: &str = "weights";
/// Table of leased resources.
pub const RESOURCES_TABLE: &str = "resources";

/// Version of a manifest row that no trainer has received: it is written once, and once more at delivery.
pub const READY_VERSION: u64 = 1;

/// An accepted step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Organisation that submitted it.
    pub organisation: OrganisationId,
    /// Engine service.
    pub service: ServiceId,
    /// SHA-256 of the specification.
    pub digest: String,
    /// Object with the specification.
    pub object: String,
    /// Most weight versions a sample may be behind at delivery.
    pub staleness_bound: u64,
    /// Number of groups.
    pub groups: u32,
    /// Number of samples.
    pub samples: u32,
    /// Number of shards.
    pub shards: u32,
}

/// A shard with missing groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenShardRow {
    /// Engine service.
    pub service: ServiceId,
}

/// State of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchState {
    /// No trainer has received it.
    Ready,
    /// A trainer may have received it.
    Delivered,
    /// It was too old at its first delivery; its groups are generated again.
    Stale,
}

/// A batch of whole groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestRow {
    /// Object with the samples. Its name is unique for each batch that was ever built, so that it also tells who
    /// wrote the row.
    pub object: String,
    /// Positions of the groups in the shard.
    pub groups: Vec<u32>,
    /// Number of samples.
    pub samples: u32,
    /// Oldest weight version in any sample; absent when it has no samples.
    pub oldest_version: Option<WeightVersion>,
    /// State.
    pub state: BatchState,
}

/// A delivery: what one cursor gives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryRow {
    /// Key of the manifest row.
    pub batch: String,
    /// Object with the samples.
    pub object: String,
    /// Groups delivered up to and including this delivery.
    pub groups_delivered: u32,
}

/// A released weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Version.
    pub version: WeightVersion,
}

/// Content of a batch object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchObject {
    /// Samples of whole groups.
    pub samples: Vec<SampleRecord>,
    /// Groups that the service refuses for good.
    pub failed_groups: Vec<FailedGroup>,
}

/// Name of one shard of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepShard {
    /// Trainer.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// Position of the shard.
    pub shard: u32,
}

impl StepShard {
    /// Name of the leased resource.
    #[must_use]
    pub fn resource(&self) -> String {
        format!("steps/{}/{}/{}", self.trainer, self.step, self.shard)
    }

    /// Key of the row in `open_shards`.
    #[must_use]
    pub fn open_key(&self) -> String {
        format!("{}/{}/{:04}", self.trainer, self.step, self.shard)
    }

    /// Shard of an `open_shards` key.
    #[must_use]
    pub fn from_open_key(key: &str) -> Option<Self> {
        let (rest, shard) = key.rsplit_once('/')?;
        let (trainer, step) = rest.rsplit_once('/')?;
        Some(Self { trainer: trainer.to_owned(), step: step.parse().ok()?, shard: shard.parse().ok()? })
    }

    /// Prefix of the shard's manifest keys.
    #[must_use]
    pub fn manifest_prefix(&self) -> String {
        format!("{}-", self.open_key())
    }

    /// Key of one manifest row.
    #[must_use]
    pub fn manifest_key(&self, number: u32) -> String {
        format!("{}{number:06}", self.manifest_prefix())
    }

    /// Name of a batch object. The digest of its content keeps two batches apart that one owner builds for the same
    /// number, for example before and after a restart of its runner under the same epoch.
    #[must_use]
    pub fn batch_object(&self, epoch: LeaseEpoch, number: u32, digest: &str) -> String {
        format!("samples/{}/{}/{}/{epoch}-{number}-{digest}", self.trainer, self.step, self.shard)
    }
}

/// Key of a step's row.
#[must_use]
pub fn step_key(trainer: &str, step: u64) -> String {
    format!("{trainer}/{step}")
}

/// Prefix of all rows below a step.
#[must_use]
pub fn step_prefix(trainer: &str, step: u64) -> String {
    format!("{trainer}/{step}/")
}

/// Key of a delivery row.
#[must_use]
pub fn delivery_key(trainer: &str, step: u64, sequence: u32) -> String {
    format!("{trainer}/{step}/{sequence:06}")
}

/// JSON text of a row.
///
/// # Errors
///
/// The value has no JSON form.
pub fn encode_row(value: &impl Serialize) -> Result<String, ResultCode> {
    serde_json::to_string(value).map_err(|_| ResultCode::Internal)
}

/// Value of a row.
///
/// # Errors
///
/// The row was written by something else than this program.
pub fn decode_row<T: DeserializeOwned>(text: &str) -> Result<T, ResultCode> {
    serde_json::from_str(text).map_err(|_| ResultCode::Internal)
}
