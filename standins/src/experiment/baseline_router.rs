//! Baselines: simple rules for each request, and a fair queue for each host with its share of every target.

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

/// Rule of a baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BaselineRule {
    /// Any target that is in.
    Random,
    /// Targets in turn, by host.
    RoundRobin,
    /// Target with the fewest requests of the entry host; hosts share no counts.
    LeastOutstanding,
    /// Each host queues and uses its own part of each target's slots.
    EqualShares,
}

/// Most waiting requests of a host's queue.
const QUEUE_LIMIT: usize = 1000;

#[derive(Debug)]
struct RuleHost {
    queues: Vec<FairQueue<RouteRequest>>,
    running: Vec<u32>,
    next: usize,
}

/// One baseline.
#[derive(Debug)]
pub struct BaselineRouter {
    rule: BaselineRule,
    workload: UserWorkload,
    is_in_rotation: Vec<bool>,
    /// Limits as all hosts together would know them, which real hosts without homes would not.
    limits: Vec<SlowStart>,
    hosts: Vec<RuleHost>,
    lengths: LengthEstimate,
    open: BTreeMap<usize, OpenRoute>,
    results: Vec<RouteResult>,
    random: ChaCha8Rng,
}

#[derive(Debug, Clone, Copy)]
struct OpenRoute {
    host: usize,
    engine: usize,
    organisation: usize,
    service: usize,
    expected: u32,
}

impl BaselineRouter {
    /// Baseline for a user's installation.
    #[must_use]
    pub fn new(workload: &UserWorkload, rule: BaselineRule, random: ChaCha8Rng) -> Self {
        let engines = workload.engines.len();
        let start = |_| RuleHost {
            queues: SERVICE_NAMES.iter().map(|_| FairQueue::new(QUEUE_LIMIT)).collect(),
            running: vec![0; engines],
            next: 0,
        };
        Self {
            rule,
            is_in_rotation: vec![true; engines],
            limits: workload
                .engines
                .iter()
                .map(|spec| SlowStart::new(spec.slots, spec.slots, Duration::ZERO))
                .collect(),
            hosts: (0..workload.domains * workload.domain_hosts).map(start).collect(),
            lengths: LengthEstimate::new(),
            workload: workload.clone(),
            open: BTreeMap::new(),
            results: Vec::new(),
            random,
        }
    }

    /// Asks for a target.
    pub fn submit(&mut self, now: Duration, ask: &RouteRequest) {
        if self.rule == BaselineRule::EqualShares {
            self.queue(now, ask);
            return;
        }
        let engines: Vec<usize> =
            (0..self.is_in_rotation.len()).filter(|engine| self.is_usable(*engine, ask)).collect();
        if engines.is_empty() {
            self.results.push(RouteResult { request: ask.request, engine: None });
            return;
        }
        let engine = match self.rule {
            BaselineRule::Random | BaselineRule::EqualShares => engines[self.random.random_range(0..engines.len())],
            BaselineRule::RoundRobin => {
                let host = &mut self.hosts[ask.host];
                host.next += 1;
                engines[host.next % engines.len()]
            }
            BaselineRule::LeastOutstanding => {
                let running = &self.hosts[ask.host].running;
                let least = engines.iter().map(|engine| running[*engine]).min().unwrap_or(0);
                let best: Vec<usize> = engines.into_iter().filter(|engine| running[*engine] == least).collect();
                best[self.random.random_range(0..best.len())]
            }
        };
        self.grant(ask, engine);
    }

    /// Ends a request; `first_token` is `None` unless it is complete.
    pub fn finish(&mut self, now: Duration, request: usize, tokens: u32, first_token: Option<Duration>) {
        let Some(route) = self.open.remove(&request) else {
            self.drop_waiting(request);
            return;
        };
        let host = &mut self.hosts[route.host];
        host.running[route.engine] -= 1;
        if self.rule != BaselineRule::EqualShares {
            return;
        }
        let name = &self.workload.organisations[route.organisation].name;
        host.queues[route.service].correct(name, route.expected, tokens);
        if let Some(first_token) = first_token {
            self.limits[route.engine].finish(now, first_token, false);
            self.lengths.record(SERVICE_NAMES[route.service], name, tokens);
        }
        self.serve(now, route.host, route.service);
    }

    /// Refuses requests whose wait is over.
    pub fn tick(&mut self, now: Duration) {
        for host in 0..self.hosts.len() {
            for service in 0..SERVICE_NAMES.len() {
                self.serve(now, host, service);
            }
        }
    }

    /// Changes the placement of an engine.
    pub fn place(&mut self, now: Duration, engine: usize, is_in_rotation: bool) {
        self.is_in_rotation[engine] = is_in_rotation;
        if is_in_rotation {
            let spec = &self.workload.engines[engine];
            self.limits[engine] = SlowStart::new(spec.bears, spec.slots, now);
        }
    }

    /// Settled requests since the last call.
    pub fn take_results(&mut self) -> Vec<RouteResult> {
        std::mem::take(&mut self.results)
    }

    fn is_usable(&self, engine: usize, ask: &RouteRequest) -> bool {
        self.is_in_rotation[engine]
            && self.workload.engines[engine].service == ask.service
            && !ask.excluded.contains(&engine)
    }

    fn grant(&mut self, ask: &RouteRequest, engine: usize) {
        self.hosts[ask.host].running[engine] += 1;
        let name = &self.workload.organisations[ask.organisation].name;
        let expected = self.lengths.expect(SERVICE_NAMES[ask.service], name, ask.most_tokens);
        let route =
            OpenRoute { host: ask.host, engine, organisation: ask.organisation, service: ask.service, expected };
        self.open.insert(ask.request, route);
        self.results.push(RouteResult { request: ask.request, engine: Some(engine) });
    }

    fn queue(&mut self, now: Duration, ask: &RouteRequest) {
        let organisation = &self.workload.organisations[ask.organisation];
        let tokens = self.lengths.expect(SERVICE_NAMES[ask.service], &organisation.name, ask.most_tokens);
        let mut item = ask.clone();
        item.wait += now;
        let outcome = self.hosts[ask.host].queues[ask.service].push(QueueItem {
            organisation: &organisation.name,
            weight: organisation.weight,
            tokens,
            deadline: ask.deadline.unwrap_or(item.wait),
            item,
        });
        match outcome {
            PushOutcome::Queued(_) => {}
            PushOutcome::Displaced(_, other) | PushOutcome::Refused(other) => {
                self.results.push(RouteResult { request: other.request, engine: None });
            }
        }
        self.serve(now, ask.host, ask.service);
    }

    fn serve(&mut self, now: Duration, host: usize, service: usize) {
        let mut skipped = Vec::new();
        while skipped.len() < 8 {
            let Some(served) = self.hosts[host].queues[service].pop() else { break };
            if served.item.wait <= now {
                self.results.push(RouteResult { request: served.item.request, engine: None });
                continue;
            }
            match self.choose(host, &served.item) {
                Some(engine) => self.grant(&served.item, engine),
                None => skipped.push(served),
            }
        }
        for served in skipped {
            self.hosts[host].queues[service].put_back(served);
        }
    }

    fn choose(&self, host: usize, ask: &RouteRequest) -> Option<usize> {
        let state = &self.hosts[host];
        let engines: Vec<usize> = (0..self.is_in_rotation.len())
            .filter(|engine| self.workload.engines[*engine].service == ask.service)
            .collect();
        let load = |engine: &usize| TargetCandidate {
            handle: *engine as u32,
            id: &self.workload.engines[*engine].id,
            is_firm: self.workload.engines[*engine].is_firm,
            is_in_rotation: self.is_in_rotation[*engine] && !ask.excluded.contains(engine),
            running: state.running[*engine],
            limit: host_part(self.limits[*engine].limit(), host, *engine, self.hosts.len()),
            weight_version: None,
        };
        let loads: Vec<TargetCandidate<'_>> = engines.iter().map(load).collect();
        let need =
            TargetRequirements { firm_only: ask.firm_only, excluded_targets: &[], least_version: None, matches: &[] };
        choose_target(&loads, &need).map(|position| engines[position])
    }

    fn drop_waiting(&mut self, request: usize) {
        for host in &mut self.hosts {
            for queue in &mut host.queues {
                let kept: Vec<RouteRequest> = queue.drain().into_iter().filter(|ask| ask.request != request).collect();
                for ask in kept {
                    let organisation = &self.workload.organisations[ask.organisation];
                    queue.push(QueueItem {
                        organisation: &organisation.name,
                        weight: organisation.weight,
                        tokens: ask.most_tokens,
                        deadline: ask.deadline.unwrap_or(ask.wait),
                        item: ask,
                    });
                }
            }
        }
    }
}

/// A host's part of a limit; the remainder goes to different hosts for different targets.
fn host_part(limit: u32, host: usize, engine: usize, hosts: usize) -> u32 {
    let remainder = (host + engine) % hosts < limit as usize % hosts;
    limit / hosts as u32 + u32::from(remainder)
}
