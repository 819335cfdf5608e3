//! Discovers open shards, requests their ownership, and starts a thread for each shard that this host owns.

use std::sync::Mutex;

use crate::control::lease_table::ResourceRow;
use crate::control::{ControlEvent, ControlView};
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;
use crate::samples::host_rank::live_hosts;
use crate::samples::shard_context::ShardContext;
use crate::samples::shard_discovery::{DiscoveryAction, OpenShard, OwnershipRequests};
use crate::samples::shard_runner::{ShardOutcome, run_shard};
use crate::samples::step_rows::{OPEN_SHARDS_TABLE, RESOURCES_TABLE, StepShard, step_prefix};

/// Period in which a host with capacity for further shards reads a page of open shards.
pub const DISCOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Rows of open shards in a page. While there are enough for full pages, a host reads about 2 KB/s with one page in
/// each [`DISCOVERY_PERIOD`].
const DISCOVERY_PAGE_ROWS: usize = 32;

/// Maximum number of steps for which the owners of the shards are read for one page. In a large installation a page has
/// shards of one or two steps.
const MAX_OWNER_SCANS: usize = 3;

/// Resource rows that one scan of a step reads; a step of 16,384 samples has fewer shards, however it is split.
const OWNER_PAGE_ROWS: usize = 200;

/// Requests and runs step shards. A host has one keeper.
pub struct ShardKeeper {
    context: ShardContext,
    requests: Arc<Mutex<OwnershipRequests>>,
    /// Key after which the next page begins; empty for the first page.
    page_end_key: String,
    last_discovery: Option<BootTime>,
}

impl ShardKeeper {
    /// Creates a keeper that has no requests and starts with the first page.
    #[must_use]
    pub fn new(context: ShardContext) -> Self {
        Self { context, requests: Arc::default(), page_end_key: String::new(), last_discovery: None }
    }

    /// Does what is due: starts owned shards, cancels requests that timed out, and discovers open shards. The caller
    /// repeats this several times a second.
    pub fn advance(&mut self) {
        let now = (self.context.clock)();
        let view = self.context.control.view();
        let is_owned = |name: &StepShard| view.owned_resource(&name.resource(), now).is_some();
        let mut actions = self.lock_requests().advance(is_owned, now);
        let is_due = self.last_discovery.is_none_or(|last| now.saturating_sub(last) >= DISCOVERY_PERIOD);
        if is_due && can_run_shards(&view) && self.lock_requests().remaining_capacity() > 0 {
            self.last_discovery = Some(now);
            let open = self.read_page(&view.host);
            actions.extend(self.lock_requests().request_open_shards(&view.host, &live_hosts(&view), &open, now));
        }
        for action in actions {
            self.apply_action(action);
        }
    }

    fn lock_requests(&self) -> std::sync::MutexGuard<'_, OwnershipRequests> {
        self.requests.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Reads the next page of open shards; after the last page, or a read without a result, comes the first one again.
    fn read_page(&mut self, host: &str) -> Vec<OpenShard> {
        let page = (self.context.store.scan_rows)(OPEN_SHARDS_TABLE, "", &self.page_end_key, DISCOVERY_PAGE_ROWS);
        let rows = page.unwrap_or_default();
        self.page_end_key = match rows.last() {
            Some(row) if rows.len() == DISCOVERY_PAGE_ROWS => row.key.clone(),
            _ => String::new(),
        };
        let names: Vec<StepShard> = rows.iter().filter_map(|row| StepShard::from_open_key(&row.key)).collect();
        let other_owned = self.read_other_owned(host, &names);
        let open = |name: StepShard| OpenShard { has_other_owner: other_owned.contains(&name.resource()), name };
        names.into_iter().map(open).collect()
    }

    /// Names of the shard resources that other hosts own, for the first [`MAX_OWNER_SCANS`] steps of the page. The
    /// shards of further steps, and of steps whose scan gave no result, count as free.
    fn read_other_owned(&self, host: &str, names: &[StepShard]) -> Vec<String> {
        let mut prefixes: Vec<String> =
            names.iter().map(|name| format!("steps/{}", step_prefix(&name.trainer, name.step))).collect();
        prefixes.dedup();
        let mut other_owned = Vec::new();
        for prefix in prefixes.iter().take(MAX_OWNER_SCANS) {
            let rows = (self.context.store.scan_rows)(RESOURCES_TABLE, prefix, "", OWNER_PAGE_ROWS).unwrap_or_default();
            let has_other_owner = |row: &TableRow| {
                let owner = serde_json::from_str::<ResourceRow>(&row.value).map(|resource| resource.owner);
                owner.is_ok_and(|owner| !owner.is_empty() && owner != host)
            };
            other_owned.extend(rows.into_iter().filter(has_other_owner).map(|row| row.key));
        }
        other_owned
    }

    fn apply_action(&self, action: DiscoveryAction) {
        match action {
            DiscoveryAction::Request(name) => {
                self.context.control.send(ControlEvent::RequestResource(name.resource()));
            }
            DiscoveryAction::Release(name) => {
                self.context.control.send(ControlEvent::ReleaseResource(name.resource()));
            }
            DiscoveryAction::Run(name) => self.start_runner(&name),
        }
    }

    fn start_runner(&self, name: &StepShard) {
        let (context, requests, shard) = (self.context.clone(), self.requests.clone(), name.clone());
        let run = move || {
            let outcome = run_shard(&context, &shard);
            release_shard(&context, &requests, &shard, outcome == ShardOutcome::Complete);
        };
        if let Err(error) = std::thread::Builder::new().name("shard".to_owned()).spawn(run) {
            log::error!(error = error.to_string().as_str(); "shard_thread_failed");
            release_shard(&self.context, &self.requests, name, false);
        }
    }
}

fn release_shard(context: &ShardContext, requests: &Mutex<OwnershipRequests>, name: &StepShard, is_complete: bool) {
    let mut requests = requests.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let action = requests.record_runner_end(name, is_complete, (context.clock)());
    drop(requests);
    if let DiscoveryAction::Release(name) = action {
        context.control.send(ControlEvent::ReleaseResource(name.resource()));
    }
}

/// Whether the configuration has a target in the failure domain of this host, and this host is not stopping.
fn can_run_shards(view: &ControlView) -> bool {
    let is_domain_used = view.configuration.targets.iter().any(|target| target.failure_domain == view.failure_domain);
    is_domain_used && !view.is_leaving
}
