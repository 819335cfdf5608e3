//! Follower of the configuration log: applies changes in order, never moves back, serves peers that are behind.

use std::collections::VecDeque;

use crate::control::configuration::Configuration;
use crate::control::configuration_snapshot::restore_configuration;
use crate::generated::peer_messages::{ChangesAnswer, ConfigurationChange, ConfigurationItem};
use crate::prelude::*;

/// Changes kept for peers that are behind; twelve minutes at one change in a second and a half.
const KEPT_CHANGES: usize = 500;

/// Bytes of kept changes; one change of a whole text would otherwise hold megabytes.
const KEPT_BYTES: usize = 2 * 1024 * 1024;

/// Bytes of items in one answer, below [`PEER_FRAME_LIMIT`] by more than the encoding adds.
pub(super) const ANSWER_BYTES: usize = PEER_FRAME_LIMIT / 2;

/// Configuration in force, with the changes that led to it.
#[derive(Debug, Default)]
pub struct ConfigurationLog {
    configuration: Arc<Configuration>,
    recent: VecDeque<ConfigurationChange>,
    recent_bytes: usize,
}

impl ConfigurationLog {
    /// Configuration in force.
    #[must_use]
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Version in force.
    #[must_use]
    pub fn version(&self) -> ConfigurationVersion {
        self.configuration.version
    }

    /// Applies those of `changes` that follow on, in order; returns whether the version rose.
    pub fn apply(&mut self, changes: &[ConfigurationChange]) -> bool {
        let before = self.version();
        for change in changes {
            if change.version != self.version() + 1 {
                continue;
            }
            Arc::make_mut(&mut self.configuration).apply(change);
            self.keep(change.clone());
        }
        self.version() > before
    }

    /// Takes a whole configuration if its version is higher; returns whether it was taken.
    pub fn install(&mut self, version: ConfigurationVersion, items: Vec<ConfigurationItem>) -> bool {
        if version <= self.version() {
            return false;
        }
        self.configuration = Arc::new(restore_configuration(version, items));
        self.recent.clear();
        self.recent_bytes = 0;
        true
    }

    /// Changes after `version` for a peer, as many as fit in a frame; none when a snapshot is needed.
    #[must_use]
    pub fn changes_after(&self, version: ConfigurationVersion) -> ChangesAnswer {
        let mut changes = Vec::new();
        let is_kept = self.recent.front().is_some_and(|first| first.version <= version + 1);
        let mut bytes = 0;
        for change in self.recent.iter().filter(|change| is_kept && change.version > version) {
            bytes += change_bytes(change);
            if bytes > ANSWER_BYTES {
                break;
            }
            changes.push(change.clone());
        }
        ChangesAnswer { changes }
    }

    fn keep(&mut self, change: ConfigurationChange) {
        self.recent_bytes += change_bytes(&change);
        self.recent.push_back(change);
        while self.recent.len() > KEPT_CHANGES || self.recent_bytes > KEPT_BYTES {
            let Some(dropped) = self.recent.pop_front() else { break };
            self.recent_bytes -= change_bytes(&dropped);
        }
    }
}

fn change_bytes(change: &ConfigurationChange) -> usize {
    change.items.iter().map(item_bytes).sum::<usize>() + 16
}

/// Approximate bytes of an item in a frame.
pub(super) fn item_bytes(item: &ConfigurationItem) -> usize {
    item.kind.len() + item.name.len() + item.value.as_ref().map_or(0, String::len) + 32
}
