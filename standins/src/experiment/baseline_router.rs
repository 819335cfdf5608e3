//! Router with a baseline policy, against which the product's policy is compared. A baseline either applies a simple
//! rule to each request at once, or gives each host fair queues and a fixed share of every engine.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorspring::policy::fair_queue::{FairQueue, PushOutcome, QueueItem};
use camphorspring::policy::length_estimate::LengthEstimate;
use camphorspring::policy::slow_start::SlowStart;
use camphorspring::policy::target_choice::{TargetCandidate, TargetRequirements, choose_target};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::experiment::policy_router::{RouteRequest, RouteResult};
use crate::experiment::user_workload::{SERVICE_NAMES, UserWorkload};

/// Rule by which a baseline chooses the engine of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineRule {
    /// A random engine in rotation.
    Random,
    /// Round robin over the engines that are in rotation; each host counts its own requests.
    RoundRobin,
    /// The engine with the fewest requests from the host that received this request, on a tie a random one. Hosts share
    /// no counts.
    LeastOutstanding,
    /// Each host has a fair queue for each service and uses an equal share of each engine's limit.
    EqualShares,
}

/// Largest number of requests in one queue of a host.
const QUEUE_LIMIT: usize = 1000;

#[derive(Debug)]
struct BaselineHost {
    /// One queue for each service, used by [`BaselineRule::EqualShares`]. In a queued request, `wait` is not a duration
    /// but the time at which the wait ends.
    queues: Vec<FairQueue<RouteRequest>>,
    /// Number of requests of this host on each engine.
    running_requests: Vec<u32>,
    round_robin_count: usize,
}

/// State of one baseline over all hosts.
#[derive(Debug)]
pub struct BaselineRouter {
    rule: BaselineRule,
    workload: UserWorkload,
    /// Whether each engine is in rotation.
    is_in_rotation: Vec<bool>,
    /// Slow start of each engine, from the finished requests of all hosts. Real hosts would not have this common
    /// knowledge without coordinators.
    slow_starts: Vec<SlowStart>,
    hosts: Vec<BaselineHost>,
    length_estimate: LengthEstimate,
    open_routes: BTreeMap<usize, OpenRoute>,
    results: Vec<RouteResult>,
    random: ChaCha8Rng,
}

/// Request that was granted an engine and has not ended.
#[derive(Debug, Clone, Copy)]
struct OpenRoute {
    host: usize,
    engine: usize,
    organisation: usize,
    service: usize,
    /// Number of tokens that the length estimate expects.
    expected_tokens: u32,
}

impl BaselineRouter {
    /// Creates the baseline for a user's installation, with all engines warm and in rotation.
    #[must_use]
    pub fn new(workload: &UserWorkload, rule: BaselineRule, random: ChaCha8Rng) -> Self {
        let engine_count = workload.engines.len();
        let create_host = |_| BaselineHost {
            queues: SERVICE_NAMES.iter().map(|_| FairQueue::new(QUEUE_LIMIT)).collect(),
            running_requests: vec![0; engine_count],
            round_robin_count: 0,
        };
        Self {
            rule,
            is_in_rotation: vec![true; engine_count],
            slow_starts: workload
                .engines
                .iter()
                .map(|spec| SlowStart::new(spec.slots, spec.slots, Duration::ZERO))
                .collect(),
            hosts: (0..workload.domains * workload.domain_hosts).map(create_host).collect(),
            length_estimate: LengthEstimate::new(),
            workload: workload.clone(),
            open_routes: BTreeMap::new(),
            results: Vec::new(),
            random,
        }
    }

    /// Chooses an engine at once, or queues the request with [`BaselineRule::EqualShares`].
    pub fn submit(&mut self, now: Duration, route_request: &RouteRequest) {
        if self.rule == BaselineRule::EqualShares {
            self.enqueue(now, route_request);
            return;
        }
        let engines: Vec<usize> =
            (0..self.is_in_rotation.len()).filter(|engine| self.is_usable(*engine, route_request)).collect();
        if engines.is_empty() {
            self.results.push(RouteResult { request: route_request.request, engine: None });
            return;
        }
        let engine = match self.rule {
            BaselineRule::Random | BaselineRule::EqualShares => engines[self.random.random_range(0..engines.len())],
            BaselineRule::RoundRobin => {
                let host = &mut self.hosts[route_request.host];
                host.round_robin_count += 1;
                engines[host.round_robin_count % engines.len()]
            }
            BaselineRule::LeastOutstanding => {
                let running_requests = &self.hosts[route_request.host].running_requests;
                let fewest = engines.iter().map(|engine| running_requests[*engine]).min().unwrap_or(0);
                let least_loaded: Vec<usize> =
                    engines.into_iter().filter(|engine| running_requests[*engine] == fewest).collect();
                least_loaded[self.random.random_range(0..least_loaded.len())]
            }
        };
        self.grant(route_request, engine);
    }

    /// Ends a request, granted or still waiting. `tokens` is what it produced under the grant, and `first_token` the
    /// time from the grant to the first token; `None` unless the request is complete.
    pub fn finish(&mut self, now: Duration, request: usize, tokens: u32, first_token: Option<Duration>) {
        let Some(route) = self.open_routes.remove(&request) else {
            self.remove_waiting(request);
            return;
        };
        let host = &mut self.hosts[route.host];
        host.running_requests[route.engine] -= 1;
        if self.rule != BaselineRule::EqualShares {
            return;
        }
        let name = &self.workload.organisations[route.organisation].name;
        host.queues[route.service].correct(name, route.expected_tokens, tokens);
        if let Some(first_token) = first_token {
            self.slow_starts[route.engine].finish(now, first_token, false);
            self.length_estimate.record(SERVICE_NAMES[route.service], name, tokens);
        }
        self.serve_queue(now, route.host, route.service);
    }

    /// Serves all queues. A request whose wait is over is refused when it is the next to be served.
    pub fn tick(&mut self, now: Duration) {
        for host in 0..self.hosts.len() {
            for service in 0..SERVICE_NAMES.len() {
                self.serve_queue(now, host, service);
            }
        }
    }

    /// Takes an engine out of rotation, or back into rotation as a cold one.
    pub fn set_in_rotation(&mut self, now: Duration, engine: usize, is_in_rotation: bool) {
        self.is_in_rotation[engine] = is_in_rotation;
        if is_in_rotation {
            let spec = &self.workload.engines[engine];
            self.slow_starts[engine] = SlowStart::new(spec.bears, spec.slots, now);
        }
    }

    /// Removes and returns the results since the last call.
    pub fn take_results(&mut self) -> Vec<RouteResult> {
        std::mem::take(&mut self.results)
    }

    fn is_usable(&self, engine: usize, route_request: &RouteRequest) -> bool {
        self.is_in_rotation[engine]
            && self.workload.engines[engine].service == route_request.service
            && !route_request.excluded_engines.contains(&engine)
    }

    fn grant(&mut self, route_request: &RouteRequest, engine: usize) {
        self.hosts[route_request.host].running_requests[engine] += 1;
        let name = &self.workload.organisations[route_request.organisation].name;
        let expected_tokens =
            self.length_estimate.expect(SERVICE_NAMES[route_request.service], name, route_request.max_tokens);
        let route = OpenRoute {
            host: route_request.host,
            engine,
            organisation: route_request.organisation,
            service: route_request.service,
            expected_tokens,
        };
        self.open_routes.insert(route_request.request, route);
        self.results.push(RouteResult { request: route_request.request, engine: Some(engine) });
    }

    fn enqueue(&mut self, now: Duration, route_request: &RouteRequest) {
        let organisation = &self.workload.organisations[route_request.organisation];
        let tokens = self.length_estimate.expect(
            SERVICE_NAMES[route_request.service],
            &organisation.name,
            route_request.max_tokens,
        );
        let mut item = route_request.clone();
        item.wait += now;
        let outcome = self.hosts[route_request.host].queues[route_request.service].push(QueueItem {
            organisation: &organisation.name,
            weight: organisation.weight,
            tokens,
            deadline: route_request.deadline.unwrap_or(item.wait),
            item,
        });
        match outcome {
            PushOutcome::Queued(_) => {}
            PushOutcome::Displaced(_, refused) | PushOutcome::Refused(refused) => {
                self.results.push(RouteResult { request: refused.request, engine: None });
            }
        }
        self.serve_queue(now, route_request.host, route_request.service);
    }

    /// Grants engines to waiting requests in queue order, and refuses those whose wait is over. Stops after eight
    /// requests without a free engine, which go back to their positions.
    fn serve_queue(&mut self, now: Duration, host: usize, service: usize) {
        let mut skipped = Vec::new();
        while skipped.len() < 8 {
            let Some(served) = self.hosts[host].queues[service].pop() else { break };
            if served.item.wait <= now {
                self.results.push(RouteResult { request: served.item.request, engine: None });
                continue;
            }
            match self.choose_engine(host, &served.item) {
                Some(engine) => self.grant(&served.item, engine),
                None => skipped.push(served),
            }
        }
        for served in skipped {
            self.hosts[host].queues[service].put_back(served);
        }
    }

    fn choose_engine(&self, host: usize, route_request: &RouteRequest) -> Option<usize> {
        let baseline_host = &self.hosts[host];
        let engines: Vec<usize> = (0..self.is_in_rotation.len())
            .filter(|engine| self.workload.engines[*engine].service == route_request.service)
            .collect();
        let build_candidate = |engine: &usize| TargetCandidate {
            handle: *engine as u32,
            id: &self.workload.engines[*engine].id,
            is_firm: self.workload.engines[*engine].is_firm,
            is_in_rotation: self.is_in_rotation[*engine] && !route_request.excluded_engines.contains(engine),
            running: baseline_host.running_requests[*engine],
            limit: host_share(self.slow_starts[*engine].limit(), host, *engine, self.hosts.len()),
            weight_version: None,
        };
        let candidates: Vec<TargetCandidate<'_>> = engines.iter().map(build_candidate).collect();
        let requirements = TargetRequirements {
            firm_only: route_request.firm_only,
            excluded_targets: &[],
            least_version: None,
            matches: &[],
        };
        choose_target(&candidates, &requirements).map(|position| engines[position])
    }

    fn remove_waiting(&mut self, request: usize) {
        for host in &mut self.hosts {
            for queue in &mut host.queues {
                let kept: Vec<RouteRequest> =
                    queue.drain().into_iter().filter(|route_request| route_request.request != request).collect();
                for route_request in kept {
                    let organisation = &self.workload.organisations[route_request.organisation];
                    queue.push(QueueItem {
                        organisation: &organisation.name,
                        weight: organisation.weight,
                        tokens: route_request.max_tokens,
                        deadline: route_request.deadline.unwrap_or(route_request.wait),
                        item: route_request,
                    });
                }
            }
        }
    }
}

/// Share of one host in the limit of an engine. The slots that remain after an equal division go to different hosts for
/// different engines.
fn host_share(limit: u32, host: usize, engine: usize, hosts: usize) -> u32 {
    let has_extra_slot = (host + engine) % hosts < limit as usize % hosts;
    limit / hosts as u32 + u32::from(has_extra_slot)
}
