//! Aliases for the ids that cross module boundaries.

/// Name of a host.
pub type HostId = String;

/// Name of a failure domain.
pub type DomainId = String;

/// Name of a service.
pub type ServiceId = String;

/// Id of a target.
pub type TargetId = String;

/// Name of an organisation.
pub type OrganisationId = String;

/// Public part of a key.
pub type KeyId = String;

/// Random number of one life of a host process.
pub type Incarnation = u64;

/// Number of a configuration change; dense, starting at 1.
pub type ConfigurationVersion = u64;

/// Number of a release of model weights.
pub type WeightVersion = u64;

/// Fencing number of a resource.
pub type LeaseEpoch = u64;

/// Position of a shard among the shards of a service in a failure domain.
pub type ShardIndex = u32;

/// Id of a request, in every log line about it.
pub type RequestId = String;

/// Id of a batch job, chosen by its caller.
pub type JobId = String;

/// Id of an item of a batch job, chosen by its caller.
pub type ItemId = String;
