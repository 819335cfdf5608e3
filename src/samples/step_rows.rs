//! Rows and objects of a step: their keys and values.
//!
//! | table | key | lifetime and row versions |
//! |---|---|---|
//! | `steps` | `{trainer}/{step}` | written once, at submission |
//! | `open_shards` | `{trainer}/{step}/{shard:04}` | present while groups of the shard are missing |
//! | `manifest` | `{trainer}/{step}/{shard:04}-{n:06}` | version 1 `ready`, version 2 `delivered` or `stale` |
//! | `ready` | the key of the manifest row | present while the manifest row is `ready` |
//! | `deliveries` | `{trainer}/{step}/{sequence:06}` | written once, at the first delivery |
//!
//! `open_shards` and `ready` are indexes: with them, the reads of hosts and trainers do not grow with the number of
//! finished steps and batches. An index row changes only in the transaction that changes the rows it stands for.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::generated::caller_messages::{FailedGroup, SampleRecord};
use crate::prelude::*;

/// Table of accepted steps.
pub const STEPS_TABLE: &str = "steps";
/// Index of the shards with missing groups.
pub const OPEN_SHARDS_TABLE: &str = "open_shards";
/// Table of batches; a row for each batch that was written, stale ones included.
pub const MANIFEST_TABLE: &str = "manifest";
/// Index of the batches that wait for their first delivery.
pub const READY_TABLE: &str = "ready";
/// Table of deliveries; the rows of a step are numbered in the order of delivery.
pub const DELIVERIES_TABLE: &str = "deliveries";
/// Table of the present weight versions, by service.
pub const WEIGHTS_TABLE: &str = "weights";
/// Table of resources that a host can own under a lease; a step shard is such a resource.
pub const RESOURCES_TABLE: &str = "resources";

/// Row version of the manifest row of a ready batch, after the first write of the row. The second write, at delivery or
/// when the batch becomes stale, gives version 2.
pub const READY_VERSION: u64 = 1;

/// Value of a `steps` row: an accepted step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Organisation that submitted the step.
    pub organisation: OrganisationId,
    /// Engine service that generates the samples.
    pub service: ServiceId,
    /// SHA-256 of the specification in hexadecimal.
    pub digest: String,
    /// Name of the object with the specification, which is the JSON of the step request.
    pub object: String,
    /// Number of weight versions that a sample may be behind the present version at its first delivery.
    pub staleness_bound: u64,
    /// Number of groups in all shards.
    pub groups: u32,
    /// Number of samples in all shards.
    pub samples: u32,
    /// Number of shards that the step is split into.
    pub shards: u32,
}

/// Value of an `open_shards` row: a shard with missing groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenShardRow {
    /// Engine service of the step.
    pub service: ServiceId,
}

/// State of a batch in the manifest; it changes once, from ready to delivered or stale.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchState {
    /// Not delivered yet.
    Ready,
    /// A trainer may have received the batch.
    Delivered,
    /// Before the first delivery, the oldest sample was more weight versions behind than the staleness bound allows;
    /// the groups are generated again.
    Stale,
}

/// Value of a `manifest` or `ready` row: a batch of whole groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestRow {
    /// Name of the object with the samples; see [`StepShard::batch_object`]. Batches with other content or of another
    /// epoch have another name, so that a writer recognises its own row by the name.
    pub object: String,
    /// Positions of the groups in the shard.
    pub groups: Vec<u32>,
    /// Number of samples in the batch.
    pub samples: u32,
    /// Oldest weight version in any sample; `None` when the batch has no samples.
    pub oldest_version: Option<WeightVersion>,
    /// State of the batch; `ready` in all `ready` rows.
    pub state: BatchState,
}

/// Value of a `deliveries` row: the batch that every request with one cursor returns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeliveryRow {
    /// Key of the batch's manifest row.
    pub batch: String,
    /// Name of the object with the samples.
    pub object: String,
    /// Number of groups delivered up to and including this delivery.
    pub groups_delivered: u32,
}

/// Value of a `weights` row: the present weight version of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsRow {
    /// Version released last; it only increases.
    pub version: WeightVersion,
}

/// Content of the object that holds the samples of a batch, as JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchObject {
    /// Samples, group by group.
    pub samples: Vec<SampleRecord>,
    /// Groups that failed permanently, with the code of the failure.
    pub failed_groups: Vec<FailedGroup>,
}

/// Identity of one shard of a step.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepShard {
    /// Name of the trainer that submitted the step.
    pub trainer: String,
    /// Number of the step, unique for the trainer.
    pub step: u64,
    /// Position of the shard in the step, from 0.
    pub shard: u32,
}

impl StepShard {
    /// Name of the resource that the owner of the shard holds.
    #[must_use]
    pub fn resource(&self) -> String {
        format!("steps/{}/{}/{}", self.trainer, self.step, self.shard)
    }

    /// Key of the row in `open_shards`.
    #[must_use]
    pub fn open_key(&self) -> String {
        format!("{}/{}/{:04}", self.trainer, self.step, self.shard)
    }

    /// Parses an `open_shards` key; `None` when trainer, step and shard cannot be read from it.
    #[must_use]
    pub fn from_open_key(key: &str) -> Option<Self> {
        let (rest, shard) = key.rsplit_once('/')?;
        let (trainer, step) = rest.rsplit_once('/')?;
        Some(Self { trainer: trainer.to_owned(), step: step.parse().ok()?, shard: shard.parse().ok()? })
    }

    /// Common prefix of the keys of the shard's rows in `manifest` and `ready`.
    #[must_use]
    pub fn manifest_prefix(&self) -> String {
        format!("{}-", self.open_key())
    }

    /// Key of the shard's batch with this number, in `manifest` and `ready`.
    #[must_use]
    pub fn manifest_key(&self, number: u32) -> String {
        format!("{}{number:06}", self.manifest_prefix())
    }

    /// Name of a batch object. `digest` is a digest of the content: it distinguishes two batches that an owner builds
    /// for the same number, for example before and after a restart of the shard's runner under the same epoch.
    #[must_use]
    pub fn batch_object(&self, epoch: LeaseEpoch, number: u32, digest: &str) -> String {
        format!("samples/{}/{}/{}/{epoch}-{number}-{digest}", self.trainer, self.step, self.shard)
    }
}

/// Key of a step in `steps`.
#[must_use]
pub fn step_key(trainer: &str, step: u64) -> String {
    format!("{trainer}/{step}")
}

/// Common prefix of the keys of a step's shards, batches and deliveries.
#[must_use]
pub fn step_prefix(trainer: &str, step: u64) -> String {
    format!("{trainer}/{step}/")
}

/// Key of a delivery in `deliveries`; `sequence` counts from 0 in each step.
#[must_use]
pub fn delivery_key(trainer: &str, step: u64, sequence: u32) -> String {
    format!("{trainer}/{step}/{sequence:06}")
}

/// Encodes the value of a row as JSON.
///
/// # Errors
///
/// [`ResultCode::Internal`] when the value cannot be encoded.
pub fn encode_row(value: &impl Serialize) -> Result<String, ResultCode> {
    serde_json::to_string(value).map_err(|_| ResultCode::Internal)
}

/// Decodes the value of a row.
///
/// # Errors
///
/// [`ResultCode::Internal`] when the text is not the JSON of such a value.
pub fn decode_row<T: DeserializeOwned>(text: &str) -> Result<T, ResultCode> {
    serde_json::from_str(text).map_err(|_| ResultCode::Internal)
}
