//! Follows the configuration log: applies changes in order, never goes back to an earlier version, and keeps recent
//! changes for peers that are behind.

use std::collections::VecDeque;

use crate::control::configuration::Configuration;
use crate::control::configuration_snapshot::restore_configuration;
use crate::generated::peer_messages::{ChangesAnswer, ConfigurationChange, ConfigurationItem};
use crate::prelude::*;

/// Greatest number of changes kept for peers that are behind: twelve minutes at one change per 1.5 s.
const MAX_KEPT_CHANGES: usize = 500;

/// Limit of the approximate size of the kept changes, since one change that replaces a whole text can have megabytes.
const MAX_KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Limit of the approximate size of the items in one answer. It leaves half of [`PEER_FRAME_LIMIT`] for the encoding,
/// which needs less.
pub(super) const MAX_ANSWER_BYTES: usize = PEER_FRAME_LIMIT / 2;

/// Configuration that this host has in force, with the latest changes that led to it.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    configuration: Arc<Configuration>,
    recent: VecDeque<ConfigurationChange>,
    recent_bytes: usize,
}

impl ConfigurationLog {
    /// Immutable configuration in force; later changes go into a copy while others still use it.
    #[must_use]
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Version of the configuration in force; 0 before the first change.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// Applies `changes` in order and skips each whose version does not directly follow the one in force. Returns
    /// whether the version rose.
    pub fn apply(&mut self, changes: &[ConfigurationChange]) -> bool {
        let before = self.version();
        for change in changes {
            if change.version != self.version() + 1 {
                continue;
            }
            Arc::make_mut(&mut self.configuration).apply(change);
            self.keep_change(change.clone());
        }
        self.version() > before
    }

    /// Replaces the whole configuration if `version` is higher than the one in force; returns whether it did.
    pub fn install(&mut self, version: ConfigurationVersion, items: Vec<ConfigurationItem>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.configuration = Arc::new(restore_configuration(version, items));
        self.recent.clear();
        self.recent_bytes = 0;
        true
    }

    /// Changes that follow `version`, as many as fit in a frame. Empty when no change follows `version`. Empty also
    /// when the first that does is no longer kept or does not fit; the peer then needs a snapshot.
    #[must_use]
    pub fn changes_after(&self, version: ConfigurationVersion) -> ChangesAnswer {
        let mut changes = Vec::new();
        let has_next_change = self.recent.front().is_some_and(|first| first.version <= version + 1);
        let mut bytes = 0;
        for change in self.recent.iter().filter(|change| has_next_change && change.version > version) {
            bytes += change_bytes(change);
            if bytes > MAX_ANSWER_BYTES {
                break;
            }
            changes.push(change.clone());
        }
        ChangesAnswer { changes }
    }

    fn keep_change(&mut self, change: ConfigurationChange) {
        self.recent_bytes += change_bytes(&change);
        self.recent.push_back(change);
        while self.recent.len() > MAX_KEPT_CHANGES || self.recent_bytes > MAX_KEPT_BYTES {
            let Some(dropped) = self.recent.pop_front() else { break };
            self.recent_bytes -= change_bytes(&dropped);
        }
    }
}

fn change_bytes(change: &ConfigurationChange) -> usize {
    change.items.iter().map(item_bytes).sum::<usize>() + 16
}

/// Approximate size of an item in a frame.
pub(super) fn item_bytes(item: &ConfigurationItem) -> usize {
    item.kind.len() + item.name.len() + item.value.as_ref().map_or(0, String::len) + 32
}
