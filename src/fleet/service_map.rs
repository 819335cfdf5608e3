//! Decoded version of the configuration: routes, services, organisations and their keys, limits for callers.

use crate::prelude::*;

/// How often the requests of a route may run, and how they are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once each time that a caller sends it; the response may be a stream of events.
    AtMostOnce,
    /// Requests submit batch jobs, whose results are read later.
    BatchJob,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of one of [`ServiceMap::services`].
    pub service: ServiceId,
    /// Weight of the service; its share is the weight divided by the sum over the route's services.
    pub weight: u32,
}

/// Rule for the requests to one host name with one path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Unique name, used in logs and stored rows.
    pub name: String,
    /// HTTP host name that callers use, compared without regard to case.
    pub host: String,
    /// Prefix of the paths that the route serves, with a slash at both ends; the longest matching prefix wins.
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Whether responses are streams that a caller may take up after the last event that it received.
    pub is_resumable: bool,
    /// Whether requests are admitted without a key.
    pub is_open: bool,
    /// Maximum time that a caller waits for a response; `None` when the time is unlimited.
    pub timeout: Option<Duration>,
    /// Time within which a response is wanted.
    pub objective: Duration,
    /// Time from submission within which all results of a batch job are wanted.
    pub job_objective: Duration,
    /// Time from submission after which unfinished items of a batch job may be abandoned.
    pub job_limit: Duration,
    /// Whether the whole output of a request must be generated with a single weight version.
    pub is_single_version: bool,
    /// Maximum number of attempts for a request, and of failed runs for an item of a batch job; 0 counts as 1.
    pub attempts: u32,
    /// Rank of the requests; 0 is the highest.
    pub priority: u32,
    /// Services that the requests are distributed over; empty when the route names none.
    pub services: Vec<WeightedService>,
}

/// Settings of a service whose targets are model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRule {
    /// Models that the engines of the service serve.
    pub models: Vec<String>,
}

/// Bounds on the number of targets of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingLimits {
    /// Minimum number of targets.
    pub least: u32,
    /// Maximum number of targets.
    pub most: u32,
}

/// Rule for the targets of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Unique name, by which routes and targets refer to the service.
    pub name: ServiceId,
    /// Requests per second that all hosts together may start on a cold target; 0 when unlimited.
    pub cold_rate: f64,
    /// Settings of the model engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
    /// Bounds of the target count that scaling may set in each failure domain; `None` when the count is fixed.
    pub supply: Option<ScalingLimits>,
}

/// Rule for the requests of one organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Unique name, which identifies the organisation in stored rows and logs.
    pub name: OrganisationId,
    /// Rank of the organisation's requests, which takes precedence over the route's rank; 0 is the highest.
    pub priority: Option<u32>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time within which a request head must arrive; not enforced on its own, since `idle_time` covers the head.
    pub head_time: Duration,
    /// Maximum time that a connection may be idle, the arrival of the next request head included.
    pub idle_time: Duration,
}

/// A caller's key and the organisation that the key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyEntry {
    /// Key as callers send it.
    pub key: String,
    /// Position in [`ServiceMap::organisations`].
    pub organisation: usize,
}

/// One version of the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceMap {
    /// Version of the configuration; increases with each change.
    pub version: ConfigurationVersion,
    /// Routes in no particular order; [`Self::route`] finds the one for a request.
    pub routes: Vec<RouteRule>,
    /// Services, sorted by name.
    pub services: Vec<ServiceRule>,
    /// Organisations; when there are none, no route needs a key.
    pub organisations: Vec<OrganisationRule>,
    /// Keys, sorted by key.
    pub keys: Vec<KeyEntry>,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
}

/// Reason why a caller is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The route needs a key, and the request has none.
    KeyMissing,
    /// The key belongs to no organisation.
    KeyUnknown,
}

impl ServiceMap {
    /// Route with the longest prefix of `path` among those of `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRule> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }

    /// Finds a route by name; `None` when no route of this version of the configuration has the name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Finds a service by name; `None` when this version of the configuration has no such service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let position = self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        Some(&self.services[position])
    }

    /// Finds the organisation that a request is charged to; `None` when the route is open or no organisations exist.
    ///
    /// # Errors
    ///
    /// A key is needed, and the request's key is missing or unknown.
    pub fn admit(&self, is_open: bool, key: Option<&str>) -> Result<Option<&OrganisationRule>, AdmissionError> {
        if is_open || self.organisations.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(AdmissionError::KeyMissing)?;
        self.key_holder(key).map(Some).ok_or(AdmissionError::KeyUnknown)
    }

    /// Organisation that holds a key; `None` when no organisation does.
    #[must_use]
    pub fn key_holder(&self, key: &str) -> Option<&OrganisationRule> {
        let position = self.keys.binary_search_by(|entry| entry.key.as_str().cmp(key)).ok()?;
        self.organisations.get(self.keys[position].organisation)
    }
}
