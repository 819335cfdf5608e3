//! Implements the operator routes with the control state, the configuration log, the store and dispatch.

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

/// Author that the configuration log names for all operator changes, since operators share one token.
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

/// Dependencies of the operator interface. Gauges of the control state are added to `registry`. The functions for
/// changes and for usage block while they wait for the store.
#[must_use]
pub fn build_operator_dependencies(
    settings: &ProcessSettings,
    control: &ControlHandle,
    client: &StoreClient,
    registry: Registry,
    recorder: Arc<BurnRecorder>,
    refusals: Arc<RefusalLog>,
    dispatch: &Arc<DispatchHandle>,
) -> OperatorDependencies {
    let text_writer = Arc::new(ConfigurationWriter::new(control.clone(), client.clone()));
    let (grant_writer, withdrawal_writer, placement_writer) =
        (Arc::clone(&text_writer), Arc::clone(&text_writer), Arc::clone(&text_writer));
    let target_control = control.clone();
    let target_dispatch = Arc::clone(dispatch);
    let store = StoreAccess::of_client(client);
    OperatorDependencies {
        token: settings.operator_token.clone(),
        control: control.clone(),
        gauges: HostGauges::new(&registry),
        registry,
        apply: Box::new(move |request| {
            let applied = text_writer.apply_text(&request.text, request.expect_version, AUTHOR)?;
            let changed_items = u32::try_from(applied.changed_items).unwrap_or(u32::MAX);
            Ok(ApplyAnswer { version: applied.version, changed_items })
        }),
        grant: Box::new(move |request| {
            let granted = grant_writer.grant_key(&request.organisation, AUTHOR)?;
            Ok(GrantAnswer { key_id: granted.key_id, key: granted.key })
        }),
        withdraw: Box::new(move |key_id| {
            let withdrawn = withdrawal_writer.withdraw_key(&key_id)?;
            let unconfirmed_domains = withdrawn.unconfirmed;
            Ok(WithdrawAnswer { key_id: withdrawn.key_id, stored: withdrawn.is_stored, unconfirmed_domains })
        }),
        place: Box::new(move |(kind, request)| {
            let version = placement_writer.set_placement(kind, &request.name, request.out, AUTHOR)?;
            Ok(ApplyAnswer { version, changed_items: 1 })
        }),
        usage: Box::new(move |window| {
            let usage = window_usage(&store, window).map_err(|_| OperatorError::from(ResultCode::StoreUnavailable))?;
            Ok(usage.figures)
        }),
        burn: Box::new(move || recorder.answer(boot_time())),
        refusals: Box::new(move || refusals.list(boot_time())),
        targets: Box::new(move || list_targets(&target_control, &target_dispatch.shard_demands())),
    }
}

fn list_targets(control: &ControlHandle, demands: &[ShardDemand]) -> Vec<TargetView> {
    let view = control.view();
    let configuration = &view.configuration;
    let targets = configuration.targets.iter().map(|target| TargetView {
        id: target.id.clone(),
        service: target.service.clone(),
        failure_domain: target.failure_domain.clone(),
        out: !configuration.is_in_rotation(target),
        running: find_target_demand(demands, &target.id).map(|demand| demand.running),
        limit: find_target_demand(demands, &target.id).map(|demand| demand.limit),
    });
    targets.collect()
}

// Only the coordinator of a shard knows what runs on its targets; `demands` covers the shards that this host
// coordinates.
fn find_target_demand<'a>(demands: &'a [ShardDemand], target_id: &str) -> Option<&'a TargetDemand> {
    demands.iter().flat_map(|demand| &demand.targets).find(|candidate| candidate.target == target_id)
}
