//! The configuration at one version: the entries of the services text (the settings that operators edit), the keys, and
//! the failure domains and targets out of rotation.
//!
//! The configuration results from a log of changes with consecutive versions. A change holds only the items that
//! differ, so that a host can follow tens of thousands of changes a day. The same log gives the same configuration on
//! every host.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::generated::peer_messages::{ConfigurationChange, ConfigurationItem};
use crate::generated::services_text::{OrganisationEntry, RouteEntry, ServiceEntry, ServicesText, TargetEntry};
use crate::prelude::*;

/// Kind of an item whose value is a [`ServiceEntry`].
pub const KIND_SERVICE: &str = "service";
/// Kind of an item whose value is a [`RouteEntry`].
pub const KIND_ROUTE: &str = "route";
/// Kind of an item whose value is an [`OrganisationEntry`].
pub const KIND_ORGANISATION: &str = "organisation";
/// Kind of an item whose value is a [`TargetEntry`].
pub const KIND_TARGET: &str = "target";
/// Kind of an item whose name is a failure domain: out of rotation with a value, back in rotation without one.
pub const KIND_DOMAIN_OUT: &str = "domain_out";
/// Kind of an item whose name is a target id: out of rotation with a value, back in rotation without one.
pub const KIND_TARGET_OUT: &str = "target_out";
/// Kind of an item whose value is a [`KeyRecord`].
pub const KIND_KEY: &str = "key";

/// A granted key, without its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public part of the key.
    pub key_id: KeyId,
    /// Organisation that the key was granted to.
    pub organisation: OrganisationId,
    /// SHA-256 of the secret, in lower-case hexadecimal.
    pub secret_sha256: String,
}

/// Everything in force at one version. Each list is sorted, for binary search; its field says by what.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version of the last change applied; 0 when empty.
    pub version: ConfigurationVersion,
    /// Services, sorted by name.
    pub services: Vec<ServiceEntry>,
    /// Routes, sorted by path.
    pub routes: Vec<RouteEntry>,
    /// Organisations, sorted by name.
    pub organisations: Vec<OrganisationEntry>,
    /// Targets, sorted by id.
    pub targets: Vec<TargetEntry>,
    /// Failure domains out of rotation, sorted.
    pub out_domains: Vec<DomainId>,
    /// Targets that were taken out of rotation individually, sorted; a failure domain in `out_domains` adds none.
    pub out_targets: Vec<TargetId>,
    /// Keys ever granted, sorted by id. Withdrawn keys are included, since a key id is never reused.
    pub keys: Vec<KeyRecord>,
}

impl Configuration {
    /// Applies a change if its version directly follows the current one; returns whether it did.
    ///
    /// An item whose value cannot be read is skipped: the host that accepted the change checked it against a newer
    /// schema, and an older host must still apply the other items.
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
            KIND_SERVICE => set_or_remove_item(&mut self.services, &item.name, value, |entry| &entry.name),
            KIND_ROUTE => set_or_remove_item(&mut self.routes, &item.name, value, |entry| &entry.path),
            KIND_ORGANISATION => set_or_remove_item(&mut self.organisations, &item.name, value, |entry| &entry.name),
            KIND_TARGET => set_or_remove_item(&mut self.targets, &item.name, value, |entry| &entry.id),
            KIND_KEY => set_or_remove_item(&mut self.keys, &item.name, value, |entry| &entry.key_id),
            KIND_DOMAIN_OUT => set_or_remove_name(&mut self.out_domains, &item.name, value.is_some()),
            KIND_TARGET_OUT => set_or_remove_name(&mut self.out_targets, &item.name, value.is_some()),
            _ => {}
        }
    }

    /// Items that change this configuration to what `text` says. Keys and rotation are not part of the text and stay.
    #[must_use]
    pub fn difference(&self, text: &ServicesText) -> Vec<ConfigurationItem> {
        let mut items = Vec::new();
        diff_items(&mut items, KIND_SERVICE, &self.services, &text.services, |entry| &entry.name);
        diff_items(&mut items, KIND_ROUTE, &self.routes, &text.routes, |entry| &entry.path);
        diff_items(&mut items, KIND_ORGANISATION, &self.organisations, &text.organisations, |entry| &entry.name);
        diff_items(&mut items, KIND_TARGET, &self.targets, &text.targets, |entry| &entry.id);
        items
    }

    /// Finds a service; `None` when the configuration has none of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        find_item(&self.services, name, |entry| &entry.name)
    }

    /// Finds the service of the engines that run this model.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|entry| entry.model.as_deref() == Some(model))
    }

    /// Finds the route with the longest path that is a prefix of `path` and ends at a `/` or at the end of `path`.
    #[must_use]
    pub fn route_of_path(&self, path: &str) -> Option<&RouteEntry> {
        let matches = self.routes.iter().filter(|entry| is_path_prefix(&entry.path, path));
        matches.max_by_key(|entry| entry.path.len())
    }

    /// Finds a target, in or out of rotation; `None` when the configuration has none with this id.
    #[must_use]
    pub fn target(&self, id: &str) -> Option<&TargetEntry> {
        find_item(&self.targets, id, |entry| &entry.id)
    }

    /// Finds an organisation; `None` when the configuration has none of this name.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationEntry> {
        find_item(&self.organisations, name, |entry| &entry.name)
    }

    /// Finds a granted key by its id; withdrawn keys are found too.
    #[must_use]
    pub fn key(&self, key_id: &str) -> Option<&KeyRecord> {
        find_item(&self.keys, key_id, |entry| &entry.key_id)
    }

    /// Whether neither the target nor its failure domain was taken out of rotation.
    #[must_use]
    pub fn is_in_rotation(&self, target: &TargetEntry) -> bool {
        self.out_domains.binary_search(&target.failure_domain).is_err()
            && self.out_targets.binary_search(&target.id).is_err()
    }
}

/// Whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}

fn find_item<'a, T>(items: &'a [T], name: &str, name_of: fn(&T) -> &String) -> Option<&'a T> {
    let position = items.binary_search_by(|item| name_of(item).as_str().cmp(name)).ok()?;
    Some(&items[position])
}

fn set_or_remove_item<T: DeserializeOwned>(
    items: &mut Vec<T>,
    name: &str,
    value: Option<&str>,
    name_of: fn(&T) -> &String,
) {
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

fn set_or_remove_name(names: &mut Vec<String>, name: &str, is_present: bool) {
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
