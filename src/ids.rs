//! Types of the ids, versions and epochs that several modules use.

/// Name of a host from its settings. It is unique in an installation and the same after a restart.
pub type HostId = String;

/// Name of a failure domain, unique in an installation.
pub type DomainId = String;

/// Name of a service, unique in the configuration.
pub type ServiceId = String;

/// Id of a target, unique in the configuration over all services and failure domains.
pub type TargetId = String;

/// Name of an organisation, unique in the configuration.
pub type OrganisationId = String;

/// Public part of a caller's key. It may be shown and logged, unlike the secret part.
pub type KeyId = String;

/// Number of one incarnation: the run of a host's process from its start to its end. Each start uses a new number.
pub type Incarnation = u64;

/// Number of a configuration change. The first change is 1, and each later one adds 1.
pub type ConfigurationVersion = u64;

/// Number of a release of model weights; a later release has a higher number.
pub type WeightVersion = u64;

/// Epoch of a leased resource. It increases with each owner and is sent to receivers as the fencing number.
pub type LeaseEpoch = u64;

/// Position of a dispatch shard among the shards of one service in one failure domain, starting at 0.
pub type ShardIndex = u32;

/// Id of a request, which all log lines about the request contain.
pub type RequestId = String;

/// Id of a batch job, chosen by its caller.
pub type JobId = String;

/// Version of the software of a target; versions are equal or different, and have no order.
pub type SoftwareVersion = String;

/// Rate in requests per 1,000 seconds.
pub type MilliRate = u64;

/// Id of an item of a batch job, chosen by its caller.
pub type ItemId = String;
