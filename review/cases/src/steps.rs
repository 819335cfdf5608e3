//! Cases about batch jobs.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::engine::{Engine, EngineOptions, Run};
use crate::http::Link;
use crate::json::Json;
use crate::record::Record;
use crate::site::{ENGINES, MODEL, Site, configuration, job_body, plain_route, rollout_route};
use crate::store::Store;

const STEP_HOST: &str = "steps.example";
const DESK_HOST: &str = "desk.example";
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after the 202 from which a batch job must be found.
const SETTLE: Duration = Duration::from_millis(1000);

type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts engines, and returns the log of the runs on all of them.
fn start_engines(
    store: &Store,
    record: &Arc<Record>,
    count: usize,
    pause: Duration,
    failing: Option<(String, usize)>,
) -> Runs {
    let runs = Runs::default();
    for number in 1..=count {
        let options = EngineOptions {
            id: format!("i-{number}"),
            service: ENGINES.to_owned(),
            zone: "moka".to_owned(),
            model: Some(MODEL.to_owned()),
            events: 20,
            pause,
            work: Duration::ZERO,
            failing: failing.clone(),
            endless_in_ten: 0,
        };
        Engine::start(options, store, record, &runs);
    }
    runs
}

/// How many runs of an item ended with this status.
fn count_runs(runs: &Runs, item: &str, status: u16) -> usize {
    runs.lock().unwrap().iter().filter(|run| run.id == item && run.status == status).count()
}

/// Items of a job; ids are unique in a run.
fn item_ids(job: &str, count: usize) -> Vec<String> {
    (0..count).map(|position| format!("{job}-item{position}")).collect()
}

fn submit(site: &Site, host: usize, name: &str, prefix: &str, job: &str, items: &[String]) -> bool {
    let headers = [
        ("Host", name.to_owned()),
        ("X-Request-Id", job.to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
        ("Content-Type", "application/json".to_owned()),
    ];
    let answer = site.call(host, "POST", &format!("{prefix}{job}"), &headers, &job_body(prefix, items), CALL_TIMEOUT);
    answer.is_ok_and(|answer| answer.status == 202)
}

/// Reads the results from a position on; `None` unless the status is 200.
fn read(site: &Site, host: usize, name: &str, job: &str, after: usize) -> (u16, Vec<(String, String, String)>) {
    let headers = [("Host", name.to_owned()), ("X-Wait-Ms", "1000".to_owned())];
    let answer = site.call(host, "GET", &format!("/lots/{job}?after={after}"), &headers, b"", CALL_TIMEOUT);
    let Ok(answer) = answer else { return (0, Vec::new()) };
    let page = Json::parse(&answer.body).unwrap_or(Json::Null);
    let results = page.get("results").as_list().iter().map(|result| {
        let text = |name: &str| result.get(name).as_text().to_owned();
        (text("id"), text("state"), text("text"))
    });
    (answer.status, results.collect())
}

/// Reads a job until all its results are listed, or for so long.
fn read_all(site: &Site, host: usize, name: &str, job: &str, count: usize, patience: Duration) -> Vec<(String, String, String)> {
    let deadline = Instant::now() + patience;
    let mut results = Vec::new();
    while results.len() < count && Instant::now() < deadline {
        let (status, more) = read(site, host, name, job, results.len());
        if status != 200 || more.is_empty() {
            std::thread::sleep(Duration::from_millis(200));
        }
        results.extend(more);
    }
    results
}

/// A version of the configuration removes the route on which a batch job was handed in. The job was accepted, and some of
/// its results were read; its results must stay readable.
pub fn route_removed(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let _engines = start_engines(&store, &record, 3, Duration::from_millis(10), None);
    let desk = || plain_route("r-desk", DESK_HOST, "/desk/", "idempotent", 2000);
    let steps = || rollout_route("r-steps", STEP_HOST, "/steps/", false);
    let site = Site::start(3, &configuration(1, vec![desk(), steps()]), Arc::clone(&record), store);
    let items = item_ids("7c41e0", 8);
    assert!(submit(&site, 0, STEP_HOST, "/steps/", "7c41e0", &items), "the job is accepted");
    let accepted_at = Instant::now();
    let before = read_all(&site, 0, STEP_HOST, "7c41e0", 8, Duration::from_secs(10));
    assert_eq!(before.len(), 8, "all results were read before the change");
    let (routes, what) = if has_trouble {
        (vec![desk()], "the route of the job is removed")
    } else {
        (vec![plain_route("r-desk", DESK_HOST, "/desk/", "idempotent", 2500), steps()], "a timeout changes")
    };
    site.configure(&configuration(2, routes), what);
    // Beyond the time within which the configuration has to be in force.
    std::thread::sleep(Duration::from_millis(2500));
    let mut broken = Vec::new();
    for host in 0..3 {
        let name = &site.hosts[host].name;
        let (status, after) = read(&site, host, STEP_HOST, "7c41e0", 0);
        if matches!(status, 404 | 410) && accepted_at.elapsed() > SETTLE {
            broken.push(format!("LOST: {name} answers {status} for a batch job accepted {:?} ago, whose 8 results had been read", accepted_at.elapsed()));
        } else if status == 200 && after != before {
            broken.push(format!("LOST: {name} returns other results than before"));
        } else if status != 200 {
            broken.push(format!("LOST: {name} answers {status}"));
        }
    }
    Verdict { broken }
}

/// A host is cut off from the store for 2.5 s, in which a route is added again. A batch job is handed in on the route later
/// than `config_apply_ms` after the acknowledgement, at a host that knows the route. The host that was cut off owns the job,
/// learns of the job before it learns of the route, and gives up all its items at once.
pub fn stale_owner(record: Arc<Record>, has_trouble: bool) -> Verdict {
    const ROUTES: usize = 16;
    let store = Store::new();
    let runs = start_engines(&store, &record, 3, Duration::from_millis(10), None);
    let route = |number: usize| rollout_route(&format!("r-{number}"), STEP_HOST, &format!("/s{number}/"), false);
    let desk = || plain_route("r-desk", STEP_HOST, "/desk/", "idempotent", 2000);
    let build = |version: u64, left_out: Option<usize>| {
        let mut routes = vec![desk()];
        routes.extend((0..ROUTES).filter(|number| Some(*number) != left_out).map(route));
        configuration(version, routes)
    };
    let site = Site::start(3, &build(1, None), Arc::clone(&record), store);
    // A small job on each route shows which host gets the jobs of the route.
    let mut owned = Vec::new();
    for number in 0..ROUTES {
        let job = format!("first{number}");
        let items = item_ids(&job, 1);
        assert!(submit(&site, 1, STEP_HOST, &format!("/s{number}/"), &job, &items), "a first job is accepted");
        if site.job_owner(&job) == Some(0) {
            owned.push(number);
        }
    }
    assert!(!owned.is_empty(), "no route belongs to the first host");
    let mut broken = Vec::new();
    let mut version = 1;
    // How often the order of events occurs depends on chance, so that the script tries until it does.
    let started = Instant::now();
    for trial in 0.. {
        if !broken.is_empty() || started.elapsed() > Duration::from_secs(if has_trouble { 88 } else { 45 }) {
            break;
        }
        let number = owned[trial % owned.len()];
        version += 1;
        site.configure(&build(version, Some(number)), &format!("route r-{number} is removed"));
        // Longer than `config_apply_ms`.
        std::thread::sleep(Duration::from_millis(2100));
        if has_trouble {
            site.set_links(0, Link::Dropping);
        }
        std::thread::sleep(Duration::from_millis(20));
        version += 1;
        site.configure(&build(version, None), &format!("route r-{number} is added again"));
        std::thread::sleep(Duration::from_millis(2050));
        let job = format!("step{trial}");
        let items = item_ids(&job, 8);
        let is_accepted = submit(&site, 1, STEP_HOST, &format!("/s{number}/"), &job, &items);
        std::thread::sleep(Duration::from_millis(100 + 40 * (trial as u64 % 5)));
        if has_trouble {
            site.set_links(0, Link::Open);
        }
        if !is_accepted {
            continue;
        }
        let results = read_all(&site, 1, STEP_HOST, &job, 8, Duration::from_secs(6));
        let given_up = results.iter().filter(|(_, state, _)| state == "abandoned").count();
        let has_failed = |item: &String| count_runs(&runs, item, 500) > 0;
        if given_up > 0 && !items.iter().any(has_failed) {
            broken.push(format!(
                "MIXED: {given_up} of 8 items of {job} are listed as abandoned within seconds, with no answer of 422 or 500, \
                 before max_queue_s (40 s), the end of the job or that of its route"
            ));
        }
    }
    Verdict { broken }
}

/// A host is killed and starts again while one partition of the store is not available: that with the operator's table. It
/// takes its batch job over without a configuration, and later gives an item up after one answer of 500 instead of three.
pub fn owner_without_configuration(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let runs = start_engines(&store, &record, 3, Duration::from_millis(150), Some(("item5".to_owned(), 2)));
    let routes = vec![
        plain_route("r-desk", STEP_HOST, "/desk/", "idempotent", 2000),
        rollout_route("r-steps", STEP_HOST, "/steps/", false),
    ];
    let site = Site::start(3, &configuration(1, routes), Arc::clone(&record), store);
    let items = item_ids("7c41e0", 8);
    assert!(submit(&site, 0, STEP_HOST, "/steps/", "7c41e0", &items), "the job is accepted");
    std::thread::sleep(Duration::from_millis(700));
    let owner = site.job_owner("7c41e0").expect("the job has an owner");
    let reader = (owner + 1) % 3;
    if has_trouble {
        site.store.set_empty_part_down(true);
        record.write("the store answers 503 for the partition with the empty name");
    }
    std::thread::sleep(Duration::from_millis(100));
    site.kill(owner);
    std::thread::sleep(Duration::from_millis(800));
    site.start_host(owner);
    std::thread::sleep(Duration::from_millis(3600));
    if has_trouble {
        site.store.set_empty_part_down(false);
        record.write("the store answers for all partitions");
    }
    let results = read_all(&site, reader, STEP_HOST, "7c41e0", 8, Duration::from_secs(25));
    let mut broken = Vec::new();
    for (item, state, _) in &results {
        let failures = count_runs(&runs, item, 500);
        if state == "abandoned" && failures < 3 {
            broken.push(format!(
                "MIXED: {item} is listed as abandoned after {failures} answers of 500, where max_attempts is 3, within seconds \
                 of a max_queue_s of 40 s"
            ));
        }
    }
    assert!(results.len() == 8 || !broken.is_empty(), "not all results were listed in time");
    Verdict { broken }
}

/// A version of the configuration adds a rollout route that needs no key. A batch job that is handed in there with the
/// tenant's key is accepted, and cannot be read with that key.
pub fn open_route(record: Arc<Record>, has_trouble: bool) -> Verdict {
    let store = Store::new();
    let _engines = start_engines(&store, &record, 3, Duration::from_millis(10), None);
    let desk = || plain_route("r-desk", STEP_HOST, "/desk/", "idempotent", 2000);
    let site = Site::start(3, &configuration(1, vec![desk()]), Arc::clone(&record), store);
    let steps = rollout_route("r-steps", STEP_HOST, "/steps/", has_trouble);
    site.configure(&configuration(2, vec![desk(), steps]), "a rollout route is added");
    std::thread::sleep(Duration::from_millis(2500));
    let items = item_ids("7c41e0", 8);
    assert!(submit(&site, 0, STEP_HOST, "/steps/", "7c41e0", &items), "the job is accepted");
    std::thread::sleep(Duration::from_millis(2000));
    let mut broken = Vec::new();
    for host in 0..3 {
        let (status, _) = read(&site, host, STEP_HOST, "7c41e0", 0);
        if matches!(status, 404 | 410) {
            broken.push(format!("LOST: {} answers {status} for a batch job accepted 2 s ago", site.hosts[host].name));
        }
    }
    Verdict { broken }
}
