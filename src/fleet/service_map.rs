//! Configuration in force: routes, services, organisations and their keys.

use crate::prelude::*;

/// What may be repeated, and how a request is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request may run at most once for each attempt of its caller; its answer may be a stream of events.
    AtMostOnce,
    /// Requests hand in batch jobs.
    BatchJob,
}

/// A service with its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceId,
    /// Weight among the services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Whether requests need no key.
    pub is_open: bool,
    /// Longest time that a caller is kept waiting; `None` without a bound.
    pub timeout: Option<Duration>,
    /// Time within which an answer is wanted.
    pub objective: Duration,
    /// Time within which all results of a batch job are wanted.
    pub job_objective: Duration,
    /// Time after which an item of a batch job may be given up.
    pub job_limit: Duration,
    /// Whether one weight version must have made a whole result.
    pub is_single_version: bool,
    /// Most targets that one attempt of a caller may reach.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Services that run the requests.
    pub services: Vec<WeightedService>,
}

/// What a model engine of a service offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineRule {
    /// Models that its engines serve.
    pub models: Vec<String>,
}

/// Bounds on the number of targets of a service in a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScalingLimits {
    /// Fewest.
    pub least: u32,
    /// Most.
    pub most: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceId,
    /// Requests a second that a cold target bears, from all hosts together; 0 without a bound.
    pub cold_rate: f64,
    /// Model engines; `None` for a plain service.
    pub engine: Option<EngineRule>,
    /// Bounds for ordering targets; `None` when the number is fixed.
    pub supply: Option<ScalingLimits>,
}

/// One organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationRule {
    /// Name.
    pub name: OrganisationId,
    /// Rank of its requests, before that of the route; 0 is the highest.
    pub priority: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head in bytes.
    pub head_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time within which a head must arrive.
    pub head_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

/// A key and the position of its organisation.
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
    /// Version; only increases.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services, sorted by name.
    pub services: Vec<ServiceRule>,
    /// Organisations; without any, no route needs a key.
    pub organisations: Vec<OrganisationRule>,
    /// Keys, sorted.
    pub keys: Vec<KeyEntry>,
    /// Bounds for callers.
    pub limits: CallerLimits,
}

/// Why a caller is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// The route needs a key and none came.
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

    /// Route by name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&RouteRule> {
        self.routes.iter().find(|route| route.name == name)
    }

    /// Whether some route has this host name.
    #[must_use]
    pub fn has_host(&self, host: &str) -> bool {
        self.routes.iter().any(|route| route.host.eq_ignore_ascii_case(host))
    }

    /// Service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        let position = self.services.binary_search_by(|service| service.name.as_str().cmp(name)).ok()?;
        Some(&self.services[position])
    }

    /// Organisation that a request is charged to; `None` for an open route or without organisations.
    ///
    /// # Errors
    ///
    /// A key is needed, and it is missing or unknown.
    pub fn admit(&self, is_open: bool, key: Option<&str>) -> Result<Option<&OrganisationRule>, AdmissionError> {
        if is_open || self.organisations.is_empty() {
            return Ok(None);
        }
        let key = key.ok_or(AdmissionError::KeyMissing)?;
        let position = self.keys.binary_search_by(|entry| entry.key.as_str().cmp(key));
        let position = position.map_err(|_| AdmissionError::KeyUnknown)?;
        Ok(self.organisations.get(self.keys[position].organisation))
    }
}
