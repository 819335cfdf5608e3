//! Stored rows of batch jobs, and the store partitions that hold them.

use serde::{Deserialize, Serialize};

use crate::policy::shard_map::rendezvous_hash;
use crate::prelude::*;

/// Table of headers, one row per job.
pub const JOB_TABLE: &str = "jobs";

/// Table of [`JobSpec`]s. An encoded spec is split into pieces; the order of the row keys is that of the pieces.
pub const ITEM_TABLE: &str = "job_items";

/// Table of results, keyed by job and position; a long result takes several rows.
pub const RESULT_TABLE: &str = "job_results";

/// Store partitions that jobs are spread over: few enough to read all headers at startup, enough for appends to many
/// jobs at once.
pub const JOB_PARTITIONS: u64 = 16;

/// Memory of an item beside its texts, in bytes: its specification, its progress and its place in the schedule.
const ITEM_BYTES: usize = 640;

/// Memory of a header of an item beside its texts, in bytes.
const HEADER_BYTES: usize = 64;

/// Request that a job runs as one of its items.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSpec {
    /// Chosen by the caller, unique in the job.
    pub id: ItemId,
    /// Path of the request that is sent to the target.
    pub path: String,
    /// HTTP headers of the request that is sent to the target.
    pub headers: Vec<(String, String)>,
    /// Request body in the encoding of the caller; the caller codec decodes it.
    pub body: String,
    /// Caller's estimate of the length of the output in tokens; items with larger values are started first.
    pub expected_tokens: u32,
    /// Name of the group; the items of a group share a prompt.
    pub group: String,
    /// Request that grades the output; `None` for an item that is not graded.
    #[serde(default)]
    pub grading: Option<GradingSpec>,
}

/// Request to a plain service that grades the complete output of an item. The request may run more than once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GradingSpec {
    /// Id of the request, chosen by the caller.
    pub id: RequestId,
    /// HTTP host name, which selects the route together with the path.
    pub host: String,
    /// Path of the request, with the query.
    pub path: String,
    /// Request body in the encoding of the caller; the caller codec decodes it.
    pub body: String,
}

impl ItemSpec {
    /// Memory that a host needs for the item while it runs the job, in bytes; the output is not included.
    #[must_use]
    pub fn run_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len() + HEADER_BYTES).sum();
        let grading = self
            .grading
            .as_ref()
            .map_or(0, |grading| grading.id.len() + grading.host.len() + grading.path.len() + grading.body.len());
        ITEM_BYTES + self.id.len() + self.path.len() + self.body.len() + self.group.len() + headers + grading
    }
}

/// What a job says beside its items.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JobOutline {
    /// As in [`JobSpec::step`].
    pub step: u64,
    /// As in [`JobSpec::model`].
    pub model: String,
    /// As in [`JobSpec::least_version`].
    pub least_version: WeightVersion,
    /// As in [`JobSpec::group_target`].
    pub group_target: u32,
}

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Number of the training step that the results are for.
    pub step: u64,
    /// Model that runs the items; empty when the job names none.
    pub model: String,
    /// Oldest version of the weights that may generate the output of the items.
    pub least_version: WeightVersion,
    /// Number of complete groups that the trainer waits for.
    pub group_target: u32,
    /// Items, whose order defines their positions.
    pub items: Vec<ItemSpec>,
}

/// Header of an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHeader {
    /// Chosen by the caller; also the key of the row.
    pub job: JobId,
    /// Name of the route that the job was submitted on.
    pub route: String,
    /// HTTP host name of the submitting request.
    pub caller_host: String,
    /// Organisation that is charged for the job and may read it; `None` when the job was submitted without a key, so that
    /// all who know its id may read it.
    pub organisation: Option<OrganisationId>,
    /// Model that runs the items; empty when the job names none.
    pub model: String,
    /// Oldest version of the weights that may generate the output of the items.
    pub least_version: WeightVersion,
    /// Number of items in the job; the job is closed when as many results are listed.
    pub item_count: u32,
    /// Number of complete groups that the trainer waits for.
    pub group_target: u32,
    /// Time of submission by the store's clock, in milliseconds.
    pub submitted_ms: u64,
    /// Milliseconds from submission until all results are wanted.
    pub objective_ms: u64,
    /// Milliseconds from submission until items may be abandoned.
    pub limit_ms: u64,
    /// Host that runs the job; empty when none does.
    pub owner: HostId,
    /// Incarnation of the owner that took the job; the job is ownerless once the owner restarts.
    pub owner_incarnation: Incarnation,
    /// Number of takeovers, by another host or by another incarnation of the same host.
    pub owner_changes: u32,
    /// Number of results that are appended to the stored results, so that callers can read them.
    pub listed: u32,
    /// Items whose results are listed; empty in rows of earlier program versions, which did not write the field.
    #[serde(default)]
    pub listed_items: ItemSet,
    /// Number of groups whose items are all listed; zero in rows of earlier program versions.
    #[serde(default)]
    pub listed_groups: u32,
    /// Whether the caller ended the job, finished or not.
    pub is_ended: bool,
    /// Memory that a host needs to run the job, in bytes; zero in rows of earlier program versions, which do not keep the field.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub run_bytes: u64,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl JobSpec {
    /// Position of the item with this id; `None` when the job has no such item.
    #[must_use]
    pub fn position(&self, id: &str) -> Option<usize> {
        self.items.iter().position(|item| item.id == id)
    }
}

/// Set of item positions in a job, as a bit set of 64-bit words.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemSet(Vec<u64>);

impl ItemSet {
    /// Adds the item at this position.
    pub fn insert(&mut self, item: usize) {
        let word = item / 64;
        if self.0.len() <= word {
            self.0.resize(word + 1, 0);
        }
        self.0[word] |= 1 << (item % 64);
    }

    /// Whether the set holds the item at this position.
    #[must_use]
    pub fn contains(&self, item: usize) -> bool {
        self.0.get(item / 64).is_some_and(|word| word & (1 << (item % 64)) != 0)
    }

    /// Counts the items in the set.
    #[must_use]
    pub fn len(&self) -> u32 {
        self.0.iter().map(|word| word.count_ones()).sum()
    }

    /// Whether no item was inserted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl JobHeader {
    /// Time since submission; `store_time` is the present time of the store's clock.
    #[must_use]
    pub fn age(&self, store_time: Duration) -> Duration {
        store_time.saturating_sub(Duration::from_millis(self.submitted_ms))
    }

    /// Whether no item is left to run: the caller ended the job, or all results are listed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_ended || self.listed >= self.item_count
    }
}

/// Outcome of an item, as callers read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The output is complete.
    Completed,
    /// The item cannot be run or its runs failed too often, or the time limit of the job passed.
    Abandoned,
}

/// Result of an item, as stored and as returned to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the item, as in [`ItemSpec::id`].
    pub id: ItemId,
    /// Whether the item completed.
    pub outcome: ItemOutcome,
    /// Data of the events that targets streamed as the output, joined by line feeds.
    pub text: String,
    /// Versions of the weights that generated the output, sorted.
    pub versions: Vec<WeightVersion>,
    /// Score of the output; `None` for an abandoned item and for one that is not graded.
    #[serde(default)]
    pub score: Option<String>,
}

/// Store partition that holds all rows of a job.
#[must_use]
pub fn job_partition(job: &str) -> String {
    format!("p{:02}", rendezvous_hash(job, "part") % JOB_PARTITIONS)
}

/// Store partitions that hold jobs, for readers of all headers.
#[must_use]
pub fn job_partitions() -> Vec<String> {
    (0..JOB_PARTITIONS).map(|part| format!("p{part:02}")).collect()
}
