//! Thread that takes free shards and runs those that this host owns.

use std::sync::Mutex;

use crate::control::lease_table::ResourceRow;
use crate::control::{ControlEvent, ControlView};
use crate::generated::platform_messages::TableRow;
use crate::prelude::*;
use crate::samples::host_rank::live_hosts;
use crate::samples::shard_discovery::{DiscoveryAction, OpenShard, OwnershipRequests};
use crate::samples::shard_run::ShardContext;
use crate::samples::shard_runner::{ShardEnd, run_shard};
use crate::samples::step_rows::{OPEN_SHARDS_TABLE, RESOURCES_TABLE, StepShard, step_prefix};

/// Period in which a host with room for further shards looks for them.
pub const DISCOVERY_PERIOD: Duration = Duration::from_secs(2);

/// Rows that one look reads: about 2 KB/s a host while that many shards are open.
const DISCOVERY_PAGE: usize = 32;

/// Steps of which one look reads the owners. A page of a large installation has shards of one or two steps.
const OWNER_SCANS: usize = 3;

/// Owners that one scan reads, enough for a step of 16,384 samples in any cut.
const OWNER_PAGE: usize = 200;

/// Takes and runs shards. One keeper exists in a host.
pub struct ShardKeeper {
    context: ShardContext,
    wishes: Arc<Mutex<OwnershipRequests>>,
    /// Last key of the page that was read before.
    page_end: String,
    last_look: Option<BootTime>,
}

impl ShardKeeper {
    /// Keeper without shards.
    #[must_use]
    pub fn new(context: ShardContext) -> Self {
        Self { context, wishes: Arc::default(), page_end: String::new(), last_look: None }
    }

    /// Does what is due: starts owned shards, gives up old wishes, and looks for free shards. The caller repeats this
    /// several times a second.
    pub fn advance(&mut self) {
        let now = (self.context.clock)();
        let view = self.context.control.view();
        let is_owned = |name: &StepShard| view.owned_resource(&name.resource(), now).is_some();
        let mut actions = self.lock_wishes().advance(is_owned, now);
        let is_due = self.last_look.is_none_or(|last| now.saturating_sub(last) >= DISCOVERY_PERIOD);
        if is_due && may_take_shards(&view) && self.lock_wishes().free_wishes() > 0 {
            self.last_look = Some(now);
            let open = self.read_page(&view.host);
            actions.extend(self.lock_wishes().add_wishes(&view.host, &live_hosts(&view), &open, now));
        }
        for action in actions {
            self.apply(action);
        }
    }

    fn lock_wishes(&self) -> std::sync::MutexGuard<'_, OwnershipRequests> {
        self.wishes.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Reads the next page of open shards; after the last page comes the first one again.
    fn read_page(&mut self, host: &str) -> Vec<OpenShard> {
        let page = (self.context.store.scan_rows)(OPEN_SHARDS_TABLE, "", &self.page_end, DISCOVERY_PAGE);
        let rows = page.unwrap_or_default();
        self.page_end = match rows.last() {
            Some(row) if rows.len() == DISCOVERY_PAGE => row.key.clone(),
            _ => String::new(),
        };
        let names: Vec<StepShard> = rows.iter().filter_map(|row| StepShard::from_open_key(&row.key)).collect();
        let taken = self.read_taken(host, &names);
        let open = |name: StepShard| OpenShard { is_taken: taken.contains(&name.resource()), name };
        names.into_iter().map(open).collect()
    }

    /// Resources of other owners among the shards of the first few steps.
    fn read_taken(&self, host: &str, names: &[StepShard]) -> Vec<String> {
        let mut prefixes: Vec<String> =
            names.iter().map(|name| format!("steps/{}", step_prefix(&name.trainer, name.step))).collect();
        prefixes.dedup();
        let mut taken = Vec::new();
        for prefix in prefixes.iter().take(OWNER_SCANS) {
            let rows = (self.context.store.scan_rows)(RESOURCES_TABLE, prefix, "", OWNER_PAGE).unwrap_or_default();
            let is_taken = |row: &TableRow| {
                let owner = serde_json::from_str::<ResourceRow>(&row.value).map(|resource| resource.owner);
                owner.is_ok_and(|owner| !owner.is_empty() && owner != host)
            };
            taken.extend(rows.into_iter().filter(is_taken).map(|row| row.key));
        }
        taken
    }

    fn apply(&self, action: DiscoveryAction) {
        match action {
            DiscoveryAction::Want(name) => {
                self.context.control.send(ControlEvent::RequestResource(name.resource()));
            }
            DiscoveryAction::Drop(name) => {
                self.context.control.send(ControlEvent::ReleaseResource(name.resource()));
            }
            DiscoveryAction::Run(name) => self.start_run(&name),
        }
    }

    fn start_run(&self, name: &StepShard) {
        let (context, wishes, shard) = (self.context.clone(), self.wishes.clone(), name.clone());
        let run = move || {
            let end = run_shard(&context, &shard);
            release_shard(&context, &wishes, &shard, end == ShardEnd::Complete);
        };
        if let Err(error) = std::thread::Builder::new().name("shard".to_owned()).spawn(run) {
            log::error!(error = error.to_string().as_str(); "shard_thread_failed");
            release_shard(&self.context, &self.wishes, name, false);
        }
    }
}

fn release_shard(context: &ShardContext, wishes: &Mutex<OwnershipRequests>, name: &StepShard, is_complete: bool) {
    let mut wishes = wishes.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let action = wishes.release_shard(name, is_complete, (context.clock)());
    drop(wishes);
    if let DiscoveryAction::Drop(name) = action {
        context.control.send(ControlEvent::ReleaseResource(name.resource()));
    }
}

/// Whether this host stands in a domain of the services text and is not about to stop.
fn may_take_shards(view: &ControlView) -> bool {
    let is_domain_used = view.configuration.targets.iter().any(|target| target.failure_domain == view.failure_domain);
    is_domain_used && !view.is_leaving
}
