//! Functions behind the operator routes.

use prometheus::Registry;

use crate::control::ControlHandle;
use crate::control::configuration_writer::{ChangeError, ConfigurationWriter};
use crate::dispatch::dispatch_threads::DispatchHandle;
use crate::generated::caller_messages::{ApplyAnswer, GrantAnswer, TargetView, WithdrawAnswer};
use crate::generated::peer_messages::{ShardDemand, TargetDemand};
use crate::generated::process_settings::ProcessSettings;
use crate::metrics::HostGauges;
use crate::operator::{OperatorDependencies, OperatorError};
use crate::prelude::*;
use crate::report::burn_recorder::BurnRecorder;
use crate::report::refusal_log::RefusalLog;
use crate::store_client::StoreClient;
use crate::store_client::store_access::StoreAccess;
use crate::usage::window_usage::window_usage;

/// Author that the configuration log names; operators share one token.
const AUTHOR: &str = "operator";

impl From<ChangeError> for OperatorError {
    fn from(error: ChangeError) -> Self {
        let details = match &error {
            ChangeError::TextInvalid(errors) => errors.iter().map(ToString::to_string).collect(),
            ChangeError::Conflict(version) => vec![format!("version {version} is in force")],
            _ => Vec::new(),
        };
        Self { code: error.code(), details }
    }
}

/// Parts of the operator interface of this host.
#[must_use]
pub fn operator_parts(
    settings: &ProcessSettings,
    control: &ControlHandle,
    client: &StoreClient,
    registry: Registry,
    recorder: Arc<BurnRecorder>,
    refusals: Arc<RefusalLog>,
    dispatch: &Arc<DispatchHandle>,
) -> OperatorDependencies {
    let writer = Arc::new(ConfigurationWriter::new(control.clone(), client.clone()));
    let (grants, withdrawals, placements) = (Arc::clone(&writer), Arc::clone(&writer), Arc::clone(&writer));
    let target_control = control.clone();
    let homes = Arc::clone(dispatch);
    let store = StoreAccess::of_client(client);
    OperatorDependencies {
        token: settings.operator_token.clone(),
        control: control.clone(),
        gauges: HostGauges::new(&registry),
        registry,
        apply: Box::new(move |request| {
            let applied = writer.apply_text(&request.text, request.expect_version, AUTHOR)?;
            let changed_items = u32::try_from(applied.changed_items).unwrap_or(u32::MAX);
            Ok(ApplyAnswer { version: applied.version, changed_items })
        }),
        grant: Box::new(move |request| {
            let granted = grants.grant_key(&request.organisation, AUTHOR)?;
            Ok(GrantAnswer { key_id: granted.key_id, key: granted.key })
        }),
        withdraw: Box::new(move |key_id| {
            let withdrawn = withdrawals.withdraw_key(&key_id)?;
            let unconfirmed_domains = withdrawn.unconfirmed;
            Ok(WithdrawAnswer { key_id: withdrawn.key_id, stored: withdrawn.is_stored, unconfirmed_domains })
        }),
        place: Box::new(move |(kind, request)| {
            let version = placements.set_placement(kind, &request.name, request.out, AUTHOR)?;
            Ok(ApplyAnswer { version, changed_items: 1 })
        }),
        usage: Box::new(move |window| {
            let usage = window_usage(&store, window).map_err(|_| OperatorError::from(ResultCode::StoreUnavailable))?;
            Ok(usage.figures)
        }),
        burn: Box::new(move || recorder.answer(boot_time())),
        refusals: Box::new(move || refusals.list(boot_time())),
        targets: Box::new(move || target_views(&target_control, &homes.shard_demands())),
    }
}

fn target_views(control: &ControlHandle, demands: &[ShardDemand]) -> Vec<TargetView> {
    let view = control.view();
    let configuration = &view.configuration;
    let targets = configuration.targets.iter().map(|target| TargetView {
        id: target.id.clone(),
        service: target.service.clone(),
        failure_domain: target.failure_domain.clone(),
        out: !configuration.is_in_rotation(target),
        running: find_demand(demands, &target.id).map(|known| known.running),
        limit: find_demand(demands, &target.id).map(|known| known.limit),
    });
    targets.collect()
}

// Only the home of a target knows what runs on it.
fn find_demand<'a>(demands: &'a [ShardDemand], target_id: &str) -> Option<&'a TargetDemand> {
    demands.iter().flat_map(|demand| &demand.targets).find(|known| known.target == target_id)
}
