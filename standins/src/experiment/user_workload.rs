//! The two users' targets, organisations and load.

use std::time::Duration;

/// Service of trainers' samples.
pub const SCORING: usize = 0;

/// Service of the desk, or of the tracking page.
pub const PAGES: usize = 1;

/// Names of the services.
pub const SERVICE_NAMES: [&str; 2] = ["scoring", "pages"];

/// Price of a cheap target relative to a firm one.
pub const CHEAP_PRICE: f64 = 0.35;

/// One engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Id.
    pub id: String,
    /// Service.
    pub service: usize,
    /// Failure domain.
    pub domain: usize,
    /// Whether it cannot be reclaimed.
    pub is_firm: bool,
    /// Most requests while fresh.
    pub bears: u32,
    /// Most requests when warm.
    pub slots: u32,
    /// Time of one token at an empty batch.
    pub token_time: Duration,
    /// Price of an hour.
    pub price: f64,
}

/// A trainer's steps.
#[derive(Debug, Clone)]
pub struct TrainerSpec {
    /// Samples of a step, in groups of [`GROUP_SAMPLES`].
    pub samples: usize,
    /// Time of training on one step.
    pub train_time: Duration,
    /// Time from the start of a step's samples to its deadline.
    pub step_time: Duration,
}

/// Samples that share a prompt.
pub const GROUP_SAMPLES: usize = 8;

/// One organisation.
#[derive(Debug, Clone)]
pub struct OrganisationSpec {
    /// Name.
    pub name: String,
    /// Weight.
    pub weight: f64,
    /// Trainer.
    pub trainer: Option<TrainerSpec>,
    /// Single scoring requests per second.
    pub scorings: f64,
    /// Pages per second.
    pub pages: f64,
}

/// Page bursts.
#[derive(Debug, Clone, Copy)]
pub struct BurstSpec {
    /// Time between two bursts.
    pub period: Duration,
    /// Length of a burst.
    pub length: Duration,
    /// Factor on the page rate in a burst.
    pub factor: f64,
}

/// Everything about one user.
#[derive(Debug, Clone)]
pub struct UserWorkload {
    /// Name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// Hosts of each domain.
    pub domain_hosts: usize,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// Organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// Page bursts.
    pub burst: Option<BurstSpec>,
}

impl UserWorkload {
    /// Name of a failure domain.
    #[must_use]
    pub fn domain_name(domain: usize) -> String {
        format!("domain-{domain}")
    }

    /// The same load on firm targets only.
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

/// Tamarind Leafmould Collective: four domains, 12 scoring and 4 desk engines, 8 organisations.
#[must_use]
pub fn tamarind() -> UserWorkload {
    UserWorkload {
        name: "tamarind",
        domains: 4,
        domain_hosts: 2,
        engines: engines(4, 12, 4),
        organisations: organisations(2.0),
        burst: None,
    }
}

/// Solemend Post Works: three domains, 12 repair and 3 parcel app engines, 8 organisations, tracking-page bursts.
#[must_use]
pub fn solemend() -> UserWorkload {
    let burst = BurstSpec { period: Duration::from_secs(30), length: Duration::from_secs(4), factor: 6.0 };
    UserWorkload {
        name: "solemend",
        domains: 3,
        domain_hosts: 3,
        engines: engines(3, 12, 3),
        organisations: organisations(1.5),
        burst: Some(burst),
    }
}

/// In each domain one scoring engine is firm and the others are cheap; page engines are firm.
fn engines(domains: usize, scoring: usize, pages: usize) -> Vec<EngineSpec> {
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

/// Two large and two small organisations with trainers, and four small ones with single requests.
fn organisations(pages: f64) -> Vec<OrganisationSpec> {
    let trainer = |samples| {
        let (train_time, step_time) = (Duration::from_mins(1), Duration::from_mins(1));
        Some(TrainerSpec { samples, train_time, step_time })
    };
    let entry = |name: &str, weight, trainer, scorings| OrganisationSpec {
        name: name.to_owned(),
        weight,
        trainer,
        scorings,
        pages,
    };
    vec![
        entry("large-1", 3.0, trainer(512), 0.0),
        entry("large-2", 3.0, trainer(512), 0.0),
        entry("small-1", 1.0, trainer(192), 0.0),
        entry("small-2", 1.0, trainer(192), 0.0),
        entry("small-3", 1.0, None, 2.0),
        entry("small-4", 1.0, None, 2.0),
        entry("small-5", 1.0, None, 2.0),
        entry("small-6", 1.0, None, 2.0),
    ]
}
