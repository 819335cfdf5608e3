//! Snapshots: the whole configuration as a list of items, stored as one object or sent to a peer in parts.

use serde::Serialize;

use crate::control::configuration::{
    Configuration, KIND_DOMAIN_OUT, KIND_KEY, KIND_ORGANISATION, KIND_ROUTE, KIND_SERVICE, KIND_TARGET, KIND_TARGET_OUT,
};
use crate::control::configuration_log::{MAX_ANSWER_BYTES, item_bytes};
use crate::generated::peer_messages::{ConfigurationChange, ConfigurationItem, SnapshotPart, SnapshotRequest};
use crate::prelude::*;

/// All items of a configuration. Their order depends on the configuration alone.
#[must_use]
pub fn snapshot_items(configuration: &Configuration) -> Vec<ConfigurationItem> {
    let mut items = Vec::new();
    push_entries(&mut items, KIND_SERVICE, &configuration.services, |entry| &entry.name);
    push_entries(&mut items, KIND_ROUTE, &configuration.routes, |entry| &entry.path);
    push_entries(&mut items, KIND_ORGANISATION, &configuration.organisations, |entry| &entry.name);
    push_entries(&mut items, KIND_TARGET, &configuration.targets, |entry| &entry.id);
    push_entries(&mut items, KIND_DOMAIN_OUT, &configuration.out_domains, |name| name);
    push_entries(&mut items, KIND_TARGET_OUT, &configuration.out_targets, |name| name);
    push_entries(&mut items, KIND_KEY, &configuration.keys, |entry| &entry.key_id);
    items
}

fn push_entries<T: Serialize>(
    items: &mut Vec<ConfigurationItem>,
    kind: &str,
    entries: &[T],
    name_of: fn(&T) -> &String,
) {
    for entry in entries {
        let value = serde_json::to_string(entry).ok();
        items.push(ConfigurationItem { kind: kind.to_owned(), name: name_of(entry).clone(), value });
    }
}

/// Builds the configuration at `version` from all its items.
#[must_use]
pub fn restore_configuration(version: ConfigurationVersion, items: Vec<ConfigurationItem>) -> Configuration {
    let mut configuration = Configuration { version: version.saturating_sub(1), ..Configuration::default() };
    configuration.apply(&ConfigurationChange { version, items });
    configuration
}

/// Encodes a configuration as the content of a snapshot object.
#[must_use]
pub fn encode_snapshot(configuration: &Configuration) -> Vec<u8> {
    let change = ConfigurationChange { version: configuration.version, items: snapshot_items(configuration) };
    serde_json::to_vec(&change).unwrap_or_default()
}

/// Decodes the content of a snapshot object into its version and items; `None` when it is malformed.
#[must_use]
pub fn decode_snapshot(bytes: &[u8]) -> Option<ConfigurationChange> {
    serde_json::from_slice(bytes).ok()
}

/// Sender side of a snapshot: one configuration in parts, for peers that are too far behind to be sent changes.
#[derive(Debug, Default)]
pub struct SnapshotSender {
    version: ConfigurationVersion,
    parts: Vec<Vec<ConfigurationItem>>,
}

impl SnapshotSender {
    /// Returns the requested part while its version is held. Any other request gets the first part of `configuration`,
    /// which is held from then on.
    pub fn part(&mut self, request: &SnapshotRequest, configuration: &Configuration) -> SnapshotPart {
        let is_held = self.version == request.version && (request.part as usize) < self.parts.len();
        let part = if is_held { request.part } else { 0 };
        if !is_held && self.version != configuration.version {
            self.version = configuration.version;
            self.parts = split_items(snapshot_items(configuration));
        }
        let parts = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        let items = self.parts.get(part as usize).cloned().unwrap_or_default();
        SnapshotPart { version: self.version, part, parts, items }
    }
}

fn split_items(items: Vec<ConfigurationItem>) -> Vec<Vec<ConfigurationItem>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for item in items {
        bytes += item_bytes(&item);
        if bytes > MAX_ANSWER_BYTES {
            parts.push(Vec::new());
            bytes = item_bytes(&item);
        }
        if let Some(part) = parts.last_mut() {
            part.push(item);
        }
    }
    parts
}

/// Receiver side of a snapshot: the parts received so far, all of one version.
#[derive(Debug, Default)]
pub struct SnapshotReceiver {
    version: ConfigurationVersion,
    next_part: u32,
    items: Vec<ConfigurationItem>,
}

impl SnapshotReceiver {
    /// Builds the request for the next part; version 0 and part 0 before the first.
    #[must_use]
    pub fn request(&self) -> SnapshotRequest {
        SnapshotRequest { version: self.version, part: self.next_part }
    }

    /// Adds a part; returns the whole snapshot after the last one. Part 0 starts over, and a part other than the next
    /// one is ignored.
    pub fn take(&mut self, part: SnapshotPart) -> Option<ConfigurationChange> {
        if part.part == 0 {
            *self = Self { version: part.version, next_part: 0, items: Vec::new() };
        }
        if part.version != self.version || part.part != self.next_part {
            return None;
        }
        self.items.extend(part.items);
        self.next_part += 1;
        if self.next_part < part.parts {
            return None;
        }
        let complete = std::mem::take(self);
        Some(ConfigurationChange { version: complete.version, items: complete.items })
    }
}
