//! Workloads of the two users in the experiment: their targets, organisations and request rates.

use std::time::Duration;

/// Position in [`SERVICE_NAMES`] of the service that runs the samples of trainers and single scoring requests.
pub const SCORING: usize = 0;

/// Position in [`SERVICE_NAMES`] of the service for pages: short interactive requests whose caller waits for the
/// response.
pub const PAGES: usize = 1;

/// Names of the services, by position.
pub const SERVICE_NAMES: [&str; 2] = ["scoring", "pages"];

/// Hourly price of a cheap target; a firm one costs 1.
pub const CHEAP_PRICE: f64 = 0.35;

/// Fixed properties of one engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Target id, unique in the workload.
    pub id: String,
    /// Position of the service, [`SCORING`] or [`PAGES`].
    pub service: usize,
    /// Position of the failure domain.
    pub domain: usize,
    /// Whether the target is firm, which means that it cannot be reclaimed; the others are cheap.
    pub is_firm: bool,
    /// Highest number of concurrent requests that the engine runs at full speed while cold.
    pub bears: u32,
    /// Highest number of concurrent requests; further ones wait in the engine.
    pub slots: u32,
    /// Duration of one token without the slowdown by concurrent requests.
    pub token_time: Duration,
    /// Price of an hour; 1 for a firm target.
    pub price: f64,
}

/// Size and duration of a trainer's steps.
#[derive(Debug, Clone)]
pub struct TrainerSpec {
    /// Number of samples in a step, a multiple of [`GROUP_SAMPLES`].
    pub samples: usize,
    /// Duration of training on one step.
    pub train_time: Duration,
    /// Time from the start of a step's samples to their deadline.
    pub step_time: Duration,
}

/// Number of samples in a group, which share a prompt.
pub const GROUP_SAMPLES: usize = 8;

/// Trainer and request rates of one organisation.
#[derive(Debug, Clone)]
pub struct OrganisationSpec {
    /// Name, unique in the workload.
    pub name: String,
    /// Weight of the organisation's fair share relative to the others.
    pub weight: f64,
    /// Steps of the organisation's trainer; `None` without a trainer.
    pub trainer: Option<TrainerSpec>,
    /// Mean number of single scoring requests per second.
    pub scorings: f64,
    /// Mean number of pages per second outside bursts.
    pub pages: f64,
}

/// Periodic bursts of page requests.
#[derive(Debug, Clone, Copy)]
pub struct BurstSpec {
    /// Time from the start of one burst to the start of the next.
    pub period: Duration,
    /// Duration of a burst.
    pub length: Duration,
    /// Factor on the page rate during a burst.
    pub factor: f64,
}

/// Targets, hosts, organisations and request rates of one user.
#[derive(Debug, Clone)]
pub struct UserWorkload {
    /// Name on the command line and in the report.
    pub name: &'static str,
    /// Number of failure domains.
    pub domains: usize,
    /// Number of hosts in each failure domain.
    pub domain_hosts: usize,
    /// Engines of all services and failure domains.
    pub engines: Vec<EngineSpec>,
    /// Organisations; the one at `FLOOD_ORGANISATION` sends the flood of the fault script.
    pub organisations: Vec<OrganisationSpec>,
    /// Bursts of pages in all organisations at once; `None` if the page rate is constant.
    pub burst: Option<BurstSpec>,
}

impl UserWorkload {
    /// Name of the failure domain at a position.
    #[must_use]
    pub fn domain_name(domain: usize) -> String {
        format!("domain-{domain}")
    }

    /// The same workload with every engine firm and at the price of a firm one.
    #[must_use]
    pub fn all_firm(&self) -> Self {
        let mut workload = self.clone();
        for engine in &mut workload.engines {
            engine.is_firm = true;
            engine.price = 1.0;
        }
        workload
    }
}

/// Tamarind Leafmould Collective: four domains with two hosts each, 12 scoring and 4 page engines, 8 organisations.
#[must_use]
pub fn tamarind() -> UserWorkload {
    UserWorkload {
        name: "tamarind",
        domains: 4,
        domain_hosts: 2,
        engines: make_engines(4, 12, 4),
        organisations: make_organisations(2.0),
        burst: None,
    }
}

/// Solemend Post Works: three domains with three hosts each, 12 scoring and 3 page engines, 8 organisations, and bursts
/// of pages.
#[must_use]
pub fn solemend() -> UserWorkload {
    let burst = BurstSpec { period: Duration::from_secs(30), length: Duration::from_secs(4), factor: 6.0 };
    UserWorkload {
        name: "solemend",
        domains: 3,
        domain_hosts: 3,
        engines: make_engines(3, 12, 3),
        organisations: make_organisations(1.5),
        burst: Some(burst),
    }
}

/// `scoring` scoring engines and `pages` page engines, spread evenly over the domains. In each domain one scoring
/// engine is firm and the others are cheap; page engines are firm.
fn make_engines(domains: usize, scoring: usize, pages: usize) -> Vec<EngineSpec> {
    let scoring_engine = |index: usize| EngineSpec {
        id: format!("scoring-{index:02}"),
        service: SCORING,
        domain: index % domains,
        is_firm: index < domains,
        bears: 2,
        slots: 16,
        token_time: Duration::from_millis(8),
        price: if index < domains { 1.0 } else { CHEAP_PRICE },
    };
    let page_engine = |index: usize| EngineSpec {
        id: format!("pages-{index:02}"),
        service: PAGES,
        domain: index % domains,
        is_firm: true,
        bears: 2,
        slots: 8,
        token_time: Duration::from_millis(4),
        price: 1.0,
    };
    (0..scoring).map(scoring_engine).chain((0..pages).map(page_engine)).collect()
}

/// Two large and two small organisations with trainers, and four small ones with single scoring requests. Each of them
/// sends `pages` pages per second.
fn make_organisations(pages: f64) -> Vec<OrganisationSpec> {
    let trainer = |samples| {
        let (train_time, step_time) = (Duration::from_mins(1), Duration::from_mins(1));
        Some(TrainerSpec { samples, train_time, step_time })
    };
    let organisation = |name: &str, weight, trainer, scorings| OrganisationSpec {
        name: name.to_owned(),
        weight,
        trainer,
        scorings,
        pages,
    };
    vec![
        organisation("large-1", 3.0, trainer(512), 0.0),
        organisation("large-2", 3.0, trainer(512), 0.0),
        organisation("small-1", 1.0, trainer(192), 0.0),
        organisation("small-2", 1.0, trainer(192), 0.0),
        organisation("small-3", 1.0, None, 2.0),
        organisation("small-4", 1.0, None, 2.0),
        organisation("small-5", 1.0, None, 2.0),
        organisation("small-6", 1.0, None, 2.0),
    ]
}
