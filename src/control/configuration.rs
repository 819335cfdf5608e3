//! The configuration in force: items of the services text, placements and keys, at one version.
//!
//! The configuration is a chain of changes with dense versions. A change holds only the items that differ, so that
//! a host can follow tens of thousands of changes a day. Applying the same chain gives the same value everywhere.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::generated::peer_messages::{ConfigurationChange, ConfigurationItem};
use crate::generated::services_text::{OrganisationEntry, RouteEntry, ServiceEntry, ServicesText, TargetEntry};
use crate::prelude::*;

/// Item kind of a service.
pub const KIND_SERVICE: &str = "service";
/// Item kind of a route.
pub const KIND_ROUTE: &str = "route";
/// Item kind of an organisation.
pub const KIND_ORGANISATION: &str = "organisation";
/// Item kind of a target.
pub const KIND_TARGET: &str = "target";
/// Item kind of a failure domain that is out.
pub const KIND_DOMAIN_OUT: &str = "domain_out";
/// Item kind of a target that is out.
pub const KIND_TARGET_OUT: &str = "target_out";
/// Item kind of a granted key.
pub const KIND_KEY: &str = "key";

/// A granted key, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public part.
    pub key_id: KeyId,
    /// Organisation that holds it.
    pub organisation: OrganisationId,
    /// SHA-256 of the secret, in hexadecimal.
    pub secret_sha256: String,
}

/// Everything in force at one version; each list is sorted by name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version of the last change applied; 0 when empty.
    pub version: ConfigurationVersion,
    /// Services by name.
    pub services: Vec<ServiceEntry>,
    /// Routes by path.
    pub routes: Vec<RouteEntry>,
    /// Organisations by name.
    pub organisations: Vec<OrganisationEntry>,
    /// Targets by id.
    pub targets: Vec<TargetEntry>,
    /// Failure domains that are out.
    pub out_domains: Vec<DomainId>,
    /// Targets that are out.
    pub out_targets: Vec<TargetId>,
    /// Keys by id; withdrawn ones are kept here, since ids are never used again.
    pub keys: Vec<KeyRecord>,
}

impl Configuration {
    /// Applies the next change; returns whether it was the next one and applied.
    ///
    /// An item whose value cannot be read is skipped: the host that accepted it checked it with a newer schema, and
    /// an older host must go on with the rest.
    pub fn apply(&mut self, change: &ConfigurationChange) -> bool {
        if change.version != self.version + 1 {
            return false;
        }
        for item in &change.items {
            self.apply_item(item);
        }
        self.version = change.version;
        true
    }

    fn apply_item(&mut self, item: &ConfigurationItem) {
        let value = item.value.as_deref();
        match item.kind.as_str() {
            KIND_SERVICE => put_item(&mut self.services, &item.name, value, |entry| &entry.name),
            KIND_ROUTE => put_item(&mut self.routes, &item.name, value, |entry| &entry.path),
            KIND_ORGANISATION => put_item(&mut self.organisations, &item.name, value, |entry| &entry.name),
            KIND_TARGET => put_item(&mut self.targets, &item.name, value, |entry| &entry.id),
            KIND_KEY => put_item(&mut self.keys, &item.name, value, |entry| &entry.key_id),
            KIND_DOMAIN_OUT => put_name(&mut self.out_domains, &item.name, value.is_some()),
            KIND_TARGET_OUT => put_name(&mut self.out_targets, &item.name, value.is_some()),
            _ => {}
        }
    }

    /// Items by which `text` differs from what is in force. Keys and placements are not part of the text.
    #[must_use]
    pub fn difference(&self, text: &ServicesText) -> Vec<ConfigurationItem> {
        let mut items = Vec::new();
        diff_items(&mut items, KIND_SERVICE, &self.services, &text.services, |entry| &entry.name);
        diff_items(&mut items, KIND_ROUTE, &self.routes, &text.routes, |entry| &entry.path);
        diff_items(&mut items, KIND_ORGANISATION, &self.organisations, &text.organisations, |entry| &entry.name);
        diff_items(&mut items, KIND_TARGET, &self.targets, &text.targets, |entry| &entry.id);
        items
    }

    /// Service with this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        find_item(&self.services, name, |entry| &entry.name)
    }

    /// Engine service that runs this model.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| entry.model.as_deref() == Some(model))
    }

    /// Route with the longest path prefix of `path`.
    #[must_use]
    pub fn route_of_path(&self, path: &str) -> Option<&RouteEntry> {
        let matches = self.routes.iter().filter(|entry| is_path_prefix(&entry.path, path));
        matches.max_by_key(|entry| entry.path.len())
    }

    /// Target with this id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetEntry> {
        find_item(&self.targets, id, |entry| &entry.id)
    }

    /// Organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationEntry> {
        find_item(&self.organisations, name, |entry| &entry.name)
    }

    /// Granted key with this id.
    #[must_use]
    pub fn key(&self, key_id: &str) -> Option<&KeyRecord> {
        find_item(&self.keys, key_id, |entry| &entry.key_id)
    }

    /// Whether a target may get new work by the operator's word.
    #[must_use]
    pub fn is_in_rotation(&self, target: &TargetEntry) -> bool {
        self.out_domains.binary_search(&target.failure_domain).is_err()
            && self.out_targets.binary_search(&target.id).is_err()
    }
}

/// Whether `prefix` covers `path` at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

fn find_item<'a, T>(items: &'a [T], name: &str, name_of: fn(&T) -> &String) -> Option<&'a T> {
    let position = items.binary_search_by(|item| name_of(item).as_str().cmp(name)).ok()?;
    Some(&items[position])
}

fn put_item<T: DeserializeOwned>(items: &mut Vec<T>, name: &str, value: Option<&str>, name_of: fn(&T) -> &String) {
    let position = items.binary_search_by(|item| name_of(item).as_str().cmp(name));
    let entry = value.and_then(|value| serde_json::from_str::<T>(value).ok());
    match (position, entry) {
        (Ok(position), Some(entry)) => items[position] = entry,
        (Err(position), Some(entry)) => items.insert(position, entry),
        (Ok(position), None) if value.is_none() => {
            items.remove(position);
        }
        _ => {}
    }
}

fn put_name(names: &mut Vec<String>, name: &str, is_present: bool) {
    match (names.binary_search_by(|known| known.as_str().cmp(name)), is_present) {
        (Err(position), true) => names.insert(position, name.to_owned()),
        (Ok(position), false) => {
            names.remove(position);
        }
        _ => {}
    }
}

fn diff_items<T: PartialEq + Serialize>(
    items: &mut Vec<ConfigurationItem>,
    kind: &str,
    old: &[T],
    new: &[T],
    name_of: fn(&T) -> &String,
) {
    for entry in new {
        let name = name_of(entry);
        if find_item(old, name, name_of) != Some(entry) {
            let value = serde_json::to_string(entry).ok();
            items.push(ConfigurationItem { kind: kind.to_owned(), name: name.clone(), value });
        }
    }
    for entry in old {
        let name = name_of(entry);
        if !new.iter().any(|other| name_of(other) == name) {
            items.push(ConfigurationItem { kind: kind.to_owned(), name: name.clone(), value: None });
        }
    }
}
