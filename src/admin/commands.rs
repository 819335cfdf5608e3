//! Runs operator commands: each calls the operator interface or reads a file, and formats the result as text or JSON.

use std::env;
use std::fs;
use std::path::Path;

use serde::Serialize;
use serde_json::{Value, json};

use super::client::{CommandError, OperatorClient, OperatorResponse};
use super::explain::{format_timeline, read_log, select_related_lines};
use super::output;
use crate::generated::caller_messages::{
    ApplyAnswer, ApplyRequest, BurnAnswer, GrantAnswer, GrantRequest, PlacementRequest, RefusalList, StatusAnswer,
    WithdrawAnswer,
};
use crate::generated::platform_messages::UsageFigure;
use crate::generated::services_text::ServicesText;
use crate::options::arguments::{
    Apply, Burn, Camphorspring, CamphorspringCmd, Explain, KeysCmd, PlacementAction, Refusals, ReportCmd,
};
use crate::options::process_settings::load_settings;
use crate::options::schema_check::ConfigError;
use crate::options::services_text::{format_services, parse_services, parse_text_version};
use crate::prelude::*;
use crate::report::{burn_plot, burn_report};
use crate::result_code::ALL_CODES;

/// What a command prints, and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Result code, which gives the exit status.
    pub code: ResultCode,
}

type CommandResult = Result<CommandOutput, CommandError>;

/// Runs an operator command. `serve` and `serve-platform` are refused with [`ResultCode::Usage`].
///
/// # Errors
///
/// The command failed: the error has a result code and the message for the operator.
pub fn run_command(arguments: &Camphorspring) -> CommandResult {
    match &arguments.subcommand {
        CamphorspringCmd::Serve(_) | CamphorspringCmd::ServePlatform(_) => {
            Err(CommandError::from_code(ResultCode::Usage))
        }
        CamphorspringCmd::Check(command) => check_services(arguments, &command.file),
        CamphorspringCmd::CheckSettings(command) => check_settings(arguments, &command.file),
        CamphorspringCmd::Codes(_) => Ok(list_codes(arguments)),
        CamphorspringCmd::Explain(command) => explain_id(arguments, command),
        CamphorspringCmd::Apply(command) => apply_text(arguments, command),
        CamphorspringCmd::Show(_) => show_configuration(arguments),
        CamphorspringCmd::Keys(command) => run_keys(arguments, &command.subcommand),
        CamphorspringCmd::Domain(command) => {
            set_placement(arguments, "/operator/domains", command.action, &command.name)
        }
        CamphorspringCmd::Target(command) => {
            set_placement(arguments, "/operator/targets", command.action, &command.name)
        }
        CamphorspringCmd::Hosts(_) | CamphorspringCmd::Nodes(_) => show_hosts(arguments),
        CamphorspringCmd::Targets(_) => show_targets(arguments),
        CamphorspringCmd::Leases(_) => show_leases(arguments),
        CamphorspringCmd::Refusals(command) => show_refusals(arguments, command),
        CamphorspringCmd::Usage(command) => show_usage(arguments, command.window),
        CamphorspringCmd::Report(command) => match &command.subcommand {
            ReportCmd::Burn(command) => report_burn(arguments, command),
        },
    }
}

fn new_client(arguments: &Camphorspring) -> Result<OperatorClient, CommandError> {
    let host = arguments.host.clone().or_else(|| env::var("CAMPHORSPRING_HOST").ok());
    let token = arguments.token.clone().or_else(|| env::var("CAMPHORSPRING_TOKEN").ok());
    match (host, token) {
        (Some(host), Some(token)) => Ok(OperatorClient::new(&host, &token)),
        _ => Err(CommandError {
            code: ResultCode::Usage,
            message: "--host and --token, or CAMPHORSPRING_HOST and CAMPHORSPRING_TOKEN, are needed".to_owned(),
        }),
    }
}

// Creates the output of a successful command: `value` in JSON with `--json`, and `text` without.
fn new_output(arguments: &Camphorspring, value: &impl Serialize, text: String) -> CommandOutput {
    new_output_with_code(arguments, value, text, ResultCode::Done)
}

fn new_output_with_code(
    arguments: &Camphorspring,
    value: &impl Serialize,
    text: String,
    code: ResultCode,
) -> CommandOutput {
    let text = if arguments.json {
        let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
        text.push('\n');
        text
    } else {
        text
    };
    CommandOutput { text, code }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path)
        .map_err(|error| CommandError { code: ResultCode::Usage, message: format!("{}: {error}", path.display()) })
}

/// Creates an error whose message has one line for each error of `file`.
#[must_use]
pub fn text_file_error(code: ResultCode, file: &Path, errors: &[ConfigError]) -> CommandError {
    let lines: Vec<String> = errors.iter().map(|error| format!("{}: {error}", file.display())).collect();
    CommandError { code, message: lines.join("\n") }
}

fn check_services(arguments: &Camphorspring, file: &Path) -> CommandResult {
    let text = read_file(file)?;
    let services = parse_services(&text).map_err(|errors| text_file_error(ResultCode::TextInvalid, file, &errors))?;
    let counts = json!({
        "services": services.services.len(), "routes": services.routes.len(),
        "organisations": services.organisations.len(), "targets": services.targets.len(),
    });
    let text = format!(
        "ok: {} services, {} routes, {} organisations, {} targets\n",
        services.services.len(),
        services.routes.len(),
        services.organisations.len(),
        services.targets.len()
    );
    Ok(new_output(arguments, &counts, text))
}

fn explain_id(arguments: &Camphorspring, command: &Explain) -> CommandResult {
    let mut lines = Vec::new();
    for file in &command.logs {
        let file_lines = read_log(file)
            .map_err(|error| CommandError { code: ResultCode::Usage, message: format!("{}: {error}", file.display()) });
        lines.extend(file_lines?);
    }
    let related_lines = select_related_lines(&command.id, lines);
    if related_lines.is_empty() {
        let message = format!("no line of {} files names {}", command.logs.len(), command.id);
        return Err(CommandError { code: ResultCode::NotFound, message });
    }
    let text = format_timeline(&related_lines);
    Ok(new_output(arguments, &related_lines, text))
}

fn check_settings(arguments: &Camphorspring, file: &Path) -> CommandResult {
    let settings = load_settings(file).map_err(|errors| text_file_error(ResultCode::SettingsInvalid, file, &errors))?;
    let text = format!("ok: host {} in failure domain {}\n", settings.host, settings.failure_domain);
    Ok(new_output(arguments, &json!({ "host": settings.host, "failure_domain": settings.failure_domain }), text))
}

fn list_codes(arguments: &Camphorspring) -> CommandOutput {
    let entries: Vec<Value> = ALL_CODES.iter().map(|code| code_json(*code)).collect();
    let rows: Vec<Vec<String>> = ALL_CODES.iter().map(|code| code_row(*code)).collect();
    let text = output::text_table(&["CODE", "NAME", "HTTP", "EXIT", "RAN", "MEANING"], &rows);
    new_output(arguments, &entries, text)
}

fn code_json(code: ResultCode) -> Value {
    let entry = code.entry();
    json!({
        "code": entry.number, "name": entry.name, "status": entry.status, "exit": entry.exit,
        "ran": entry.ran.name(), "message": entry.message,
    })
}

fn code_row(code: ResultCode) -> Vec<String> {
    let entry = code.entry();
    vec![
        entry.number.to_string(),
        entry.name.to_owned(),
        entry.status.to_string(),
        entry.exit.to_string(),
        entry.ran.name().to_owned(),
        entry.message.to_owned(),
    ]
}

fn apply_text(arguments: &Camphorspring, command: &Apply) -> CommandResult {
    let text = read_file(&command.file)?;
    parse_services(&text).map_err(|errors| text_file_error(ResultCode::TextInvalid, &command.file, &errors))?;
    // A text from `show` names its version. The host refuses it when another version is in force, because the text
    // would undo the changes since then unnoticed.
    let expect_version = command.expect.or_else(|| parse_text_version(&text));
    let request = ApplyRequest { text, expect_version };
    let answer: ApplyAnswer = new_client(arguments)?.post("/operator/apply", &request)?.body;
    let text = format!("version {} in force, {} items changed\n", answer.version, answer.changed_items);
    Ok(new_output(arguments, &answer, text))
}

fn show_configuration(arguments: &Camphorspring) -> CommandResult {
    let answer: Value = new_client(arguments)?.get("/operator/configuration")?.body;
    let text = format_configuration(&answer).map_err(|message| CommandError { code: ResultCode::Internal, message })?;
    Ok(new_output(arguments, &answer, text))
}

/// Formats the services text of a configuration. Comments at its start name the version, the failure domains and
/// targets out of rotation, and the number of keys.
fn format_configuration(answer: &Value) -> Result<String, String> {
    let answer_field = |name: &str| answer[name].clone();
    let services = json!({
        "organisations": answer_field("organisations"), "routes": answer_field("routes"),
        "services": answer_field("services"), "targets": answer_field("targets"),
    });
    let services: ServicesText = serde_json::from_value(services).map_err(|error| error.to_string())?;
    let list = |name: &str| answer[name].as_array().cloned().unwrap_or_default();
    let names = |name: &str| list(name).iter().filter_map(Value::as_str).collect::<Vec<_>>().join(", ");
    let mut notes: Vec<String> = Vec::new();
    for (title, name) in [("failure domains out", "out_domains"), ("targets out", "out_targets")] {
        let names = names(name);
        if !names.is_empty() {
            notes.push(format!("{title}: {names}"));
        }
    }
    notes.push(format!("keys: {}", list("keys").len()));
    let version = answer["version"].as_u64().unwrap_or_default();
    format_services(&services, version, &notes).map_err(|error| error.to_string())
}

fn run_keys(arguments: &Camphorspring, command: &KeysCmd) -> CommandResult {
    match command {
        KeysCmd::Grant(command) => {
            let request = GrantRequest { organisation: command.organisation.clone() };
            let answer: GrantAnswer = new_client(arguments)?.post("/operator/keys", &request)?.body;
            let text = format!("key id {}\nkey {} (shown once)\n", answer.key_id, answer.key);
            Ok(new_output(arguments, &answer, text))
        }
        KeysCmd::Withdraw(command) => withdraw_key(arguments, &command.key_id),
        KeysCmd::List(_) => list_keys(arguments),
    }
}

fn withdraw_key(arguments: &Camphorspring, key_id: &str) -> CommandResult {
    let path = format!("/operator/keys/{}/withdraw", crate::store_client::encode_key(key_id));
    let response: OperatorResponse<WithdrawAnswer> = new_client(arguments)?.post(&path, &json!({}))?;
    let body = response.body;
    let (code, text) = if body.stored && body.unconfirmed_domains.is_empty() {
        (ResultCode::Done, format!("key {} withdrawn in all failure domains\n", body.key_id))
    } else {
        let stored = if body.stored { "stored" } else { "not stored yet" };
        let domains = body.unconfirmed_domains.join(", ");
        let text = format!("key {} withdrawn here, {stored}; not confirmed by: {domains}\n", body.key_id);
        (ResultCode::Unconfirmed, text)
    };
    Ok(new_output_with_code(arguments, &body, text, code))
}

fn list_keys(arguments: &Camphorspring) -> CommandResult {
    let answer: Value = new_client(arguments)?.get("/operator/configuration")?.body;
    let keys = answer["keys"].as_array().cloned().unwrap_or_default();
    let rows: Vec<Vec<String>> = keys.iter().map(key_row).collect();
    let text = output::text_table(&["KEY", "ORGANISATION", "STATE"], &rows);
    Ok(new_output(arguments, &keys, text))
}

fn key_row(key: &Value) -> Vec<String> {
    let state = if key["withdrawn"] == true { "withdrawn" } else { "granted" };
    let text = |field: &str| key[field].as_str().unwrap_or_default().to_owned();
    vec![text("key_id"), text("organisation"), state.to_owned()]
}

fn set_placement(arguments: &Camphorspring, path: &str, action: PlacementAction, name: &str) -> CommandResult {
    let request = PlacementRequest { name: name.to_owned(), out: action == PlacementAction::Out };
    let answer: ApplyAnswer = new_client(arguments)?.post(path, &request)?.body;
    let placement = if request.out { "out" } else { "in" };
    let text = format!("{name} is {placement} since version {}\n", answer.version);
    Ok(new_output(arguments, &answer, text))
}

fn fetch_status(arguments: &Camphorspring) -> Result<StatusAnswer, CommandError> {
    Ok(new_client(arguments)?.get("/operator/status")?.body)
}

fn show_hosts(arguments: &Camphorspring) -> CommandResult {
    let status = fetch_status(arguments)?;
    let mut text = format!(
        "asked {} in {}: configuration version {}, view age {} ms, ready {}\n",
        status.host, status.failure_domain, status.configuration_version, status.view_age_ms, status.ready
    );
    text.push_str(&output::format_host_table(&status.hosts));
    Ok(new_output(arguments, &status.hosts, text))
}

fn show_targets(arguments: &Camphorspring) -> CommandResult {
    let status = fetch_status(arguments)?;
    Ok(new_output(arguments, &status.targets, output::format_target_table(&status.targets)))
}

fn show_leases(arguments: &Camphorspring) -> CommandResult {
    let status = fetch_status(arguments)?;
    let rows: Vec<Vec<String>> = status.resources.iter().map(|name| vec![name.clone(), status.host.clone()]).collect();
    Ok(new_output(arguments, &status.resources, output::text_table(&["RESOURCE", "OWNER"], &rows)))
}

fn show_refusals(arguments: &Camphorspring, command: &Refusals) -> CommandResult {
    let mut list: RefusalList = new_client(arguments)?.get("/operator/refusals")?.body;
    if let Some(request_id) = &command.request {
        list.refusals.retain(|refusal| refusal.request_id == *request_id);
    }
    Ok(new_output(arguments, &list.refusals, output::format_refusal_table(&list.refusals)))
}

fn show_usage(arguments: &Camphorspring, window: u64) -> CommandResult {
    let figures: Vec<UsageFigure> = new_client(arguments)?.get(&format!("/operator/usage/{window}"))?.body;
    Ok(new_output(arguments, &figures, output::format_usage_table(&figures)))
}

fn report_burn(arguments: &Camphorspring, command: &Burn) -> CommandResult {
    let asked_client = new_client(arguments)?;
    let status: StatusAnswer = asked_client.get("/operator/status")?.body;
    let mut answers: Vec<BurnAnswer> = Vec::new();
    let mut hosts_without_counts: Vec<HostId> = Vec::new();
    for host in &status.hosts {
        match fetch_host_burn(&asked_client, &status.host, host) {
            Ok(answer) => answers.push(answer),
            Err(_) => hosts_without_counts.push(host.host.clone()),
        }
    }
    let report = burn_report::merge_burn(&answers, hosts_without_counts);
    if let Some(file) = &command.plot {
        burn_plot::write_plot(&report, file).map_err(|message| CommandError { code: ResultCode::Usage, message })?;
    }
    Ok(new_output(arguments, &report, burn_report::report_text(&report)))
}

fn fetch_host_burn(
    asked_client: &OperatorClient,
    asked_host: &str,
    host: &crate::generated::caller_messages::HostView,
) -> Result<BurnAnswer, CommandError> {
    if host.host == asked_host {
        return Ok(asked_client.get("/operator/burn")?.body);
    }
    if host.operator_address.is_empty() {
        return Err(CommandError::from_code(ResultCode::NotFound));
    }
    Ok(asked_client.for_host(&host.operator_address).get("/operator/burn")?.body)
}
