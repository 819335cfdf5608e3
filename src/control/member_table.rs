//! Members of the own failure domain: heartbeats, incarnations and planned stops, and the states that follow from them.

use crate::control::control_view::{MemberRecord, MemberState};
use crate::control::stable_hash::list_hash;
use crate::generated::peer_messages::{MemberDigest, MemberRoster};
use crate::prelude::*;

/// Time without a heartbeat after which a member is forgotten. Until then, old heartbeats that are still in transit do
/// not make a dead member look live.
const FORGET_TIMEOUT: Duration = Duration::from_mins(10);

/// Most replaced incarnations remembered for each member; beyond that the oldest is forgotten.
const MAX_PAST_INCARNATIONS: usize = 4;

/// Time between two ticks beyond which this host must have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct MemberEntry {
    host: HostId,
    incarnation: Incarnation,
    /// Highest counter received from the incarnation.
    heartbeat: u32,
    heard_at: BootTime,
    is_leaving: bool,
    /// Replaced incarnations, whose heartbeats are ignored.
    past_incarnations: Vec<Incarnation>,
}

/// Heartbeat of a member, received from the member itself or through another one.
#[derive(Debug, Clone, Copy)]
pub struct MemberHeartbeat<'a> {
    /// Member that the heartbeat is of.
    pub host: &'a str,
    /// Incarnation that sent the heartbeat.
    pub incarnation: Incarnation,
    /// Heartbeat counter, which the member increases once in each gossip round.
    pub beat: u32,
    /// Whether the member announced a planned stop.
    pub is_leaving: bool,
    /// Whether the heartbeat came from the member itself.
    pub is_direct: bool,
}

/// Known members of the own failure domain, the own host among them.
#[derive(Debug)]
pub struct MemberTable {
    own_host: HostId,
    entries: Vec<MemberEntry>,
    last_tick_at: BootTime,
}

impl MemberTable {
    /// Table with only the own host.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation, now: BootTime) -> Self {
        let own = MemberEntry {
            host: host.to_owned(),
            incarnation,
            heartbeat: 1,
            heard_at: now,
            is_leaving: false,
            past_incarnations: Vec::new(),
        };
        Self { own_host: host.to_owned(), entries: vec![own], last_tick_at: now }
    }

    /// Advances the own heartbeat, and forgets members without a heartbeat for ten minutes.
    ///
    /// The time for which this host was paused does not count as silence of the others, since it could not hear them.
    pub fn tick(&mut self, now: BootTime) {
        let gap = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        let pause = if gap > PAUSE_THRESHOLD { gap.saturating_sub(GOSSIP_PERIOD) } else { Duration::ZERO };
        for entry in &mut self.entries {
            entry.heard_at = (entry.heard_at + pause).min(now);
            if entry.host == self.own_host {
                entry.heartbeat += 1;
                entry.heard_at = now;
            }
        }
        self.entries.retain(|entry| now.saturating_sub(entry.heard_at) < FORGET_TIMEOUT);
    }

    /// Marks this host as leaving; gossip announces this to the others.
    pub fn begin_leaving(&mut self) {
        let own_host = self.own_host.clone();
        if let Some(own) = self.entries.iter_mut().find(|entry| entry.host == own_host) {
            own.is_leaving = true;
        }
    }

    /// Counter that the gossip frames of this host carry; each tick increases it.
    #[must_use]
    pub fn own_heartbeat(&self) -> u32 {
        self.find_entry(&self.own_host).map_or(0, |position| self.entries[position].heartbeat)
    }

    /// Merges a heartbeat. Heartbeats of the own host are ignored.
    ///
    /// A higher incarnation replaces a lower one. A lower one replaces a higher one only if the heartbeat comes from
    /// the member itself or the known incarnation is dead, since a host that starts while the store is down may get a
    /// lower incarnation. An incarnation that was replaced is not accepted again, so that a paused process that resumes
    /// does not displace the process that replaced it.
    pub fn observe(&mut self, beat: MemberHeartbeat<'_>, now: BootTime) {
        if beat.host == self.own_host {
            return;
        }
        let Ok(position) = self.find_entry(beat.host) else {
            self.insert_member(beat, now);
            return;
        };
        let entry = &mut self.entries[position];
        if entry.incarnation == beat.incarnation {
            entry.is_leaving |= beat.is_leaving;
            if beat.beat > entry.heartbeat {
                entry.heartbeat = beat.beat;
                entry.heard_at = now;
            }
            return;
        }
        let is_dead = now.saturating_sub(entry.heard_at) >= DEAD_AFTER;
        let can_replace = beat.incarnation > entry.incarnation || beat.is_direct || is_dead;
        if can_replace && !entry.past_incarnations.contains(&beat.incarnation) {
            entry.past_incarnations.push(entry.incarnation);
            if entry.past_incarnations.len() > MAX_PAST_INCARNATIONS {
                entry.past_incarnations.remove(0);
            }
            entry.incarnation = beat.incarnation;
            entry.heartbeat = beat.beat;
            entry.heard_at = now;
            entry.is_leaving = beat.is_leaving;
        }
    }

    fn insert_member(&mut self, beat: MemberHeartbeat<'_>, now: BootTime) {
        let position = self.find_entry(beat.host).unwrap_or_else(|position| position);
        let entry = MemberEntry {
            host: beat.host.to_owned(),
            incarnation: beat.incarnation,
            heartbeat: beat.beat,
            heard_at: now,
            is_leaving: beat.is_leaving,
            past_incarnations: Vec::new(),
        };
        self.entries.insert(position, entry);
    }

    /// Hash of the roster: the names and incarnations of all members that are not dead.
    #[must_use]
    pub fn roster_hash(&self, now: BootTime) -> u32 {
        let incarnations: Vec<Incarnation> = self.roster_entries(now).map(|entry| entry.incarnation).collect();
        list_hash(self.roster_entries(now).map(|entry| entry.host.as_str()), &incarnations)
    }

    /// Heartbeats of the roster, for a peer whose roster has the hash `peer_roster_hash`. The names are left out if the
    /// peer has the same roster.
    #[must_use]
    pub fn digest(&self, peer_roster_hash: u32, now: BootTime) -> MemberDigest {
        let members: Vec<&MemberEntry> = self.roster_entries(now).collect();
        let positions = members.iter().enumerate().filter(|(_, entry)| entry.is_leaving);
        let leaving = positions.filter_map(|(position, _)| u16::try_from(position).ok()).collect();
        let roster = (self.roster_hash(now) != peer_roster_hash).then(|| MemberRoster {
            hosts: members.iter().map(|entry| entry.host.clone()).collect(),
            lives: members.iter().map(|entry| entry.incarnation).collect(),
        });
        MemberDigest { beats: members.iter().map(|entry| entry.heartbeat).collect(), leaving, roster }
    }

    /// Merges the heartbeats in a digest. `sent_roster_hash` is the hash that the request carried. A digest without
    /// names is dropped if the roster has changed since then, because its positions would stand for other hosts. A
    /// digest with columns of different lengths is dropped too.
    pub fn merge_digest(&mut self, digest: &MemberDigest, sent_roster_hash: u32, now: BootTime) {
        let roster = match &digest.roster {
            Some(roster) => roster.clone(),
            None if self.roster_hash(now) == sent_roster_hash => self.build_roster(now),
            None => return,
        };
        if roster.hosts.len() != digest.beats.len() || roster.lives.len() != digest.beats.len() {
            return;
        }
        for (position, host) in roster.hosts.iter().enumerate() {
            let is_leaving = digest.leaving.iter().any(|leaving| usize::from(*leaving) == position);
            let incarnation = roster.lives[position];
            let beat = digest.beats[position];
            self.observe(MemberHeartbeat { host, incarnation, beat, is_leaving, is_direct: false }, now);
        }
    }

    fn build_roster(&self, now: BootTime) -> MemberRoster {
        MemberRoster {
            hosts: self.roster_entries(now).map(|entry| entry.host.clone()).collect(),
            lives: self.roster_entries(now).map(|entry| entry.incarnation).collect(),
        }
    }

    /// All members with their states, sorted by host. `is_leaving_in_list` tells whether the host list has a host as
    /// leaving.
    #[must_use]
    pub fn records(&self, now: BootTime, is_leaving_in_list: impl Fn(&str) -> bool) -> Vec<MemberRecord> {
        let records = self.entries.iter().map(|entry| MemberRecord {
            host: entry.host.clone(),
            incarnation: entry.incarnation,
            state: member_state(entry, now, is_leaving_in_list(&entry.host)),
            heard_at: entry.heard_at,
        });
        records.collect()
    }

    /// Members that are not dead, sorted by host.
    fn roster_entries(&self, now: BootTime) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter().filter(move |entry| now.saturating_sub(entry.heard_at) < DEAD_AFTER)
    }

    fn find_entry(&self, host: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.host.as_str().cmp(host))
    }
}

fn member_state(entry: &MemberEntry, now: BootTime, is_listed_leaving: bool) -> MemberState {
    let silence = now.saturating_sub(entry.heard_at);
    if silence >= DEAD_AFTER {
        MemberState::Dead
    } else if entry.is_leaving || is_listed_leaving {
        MemberState::Leaving
    } else if silence >= SUSPECT_AFTER {
        MemberState::Suspect
    } else {
        MemberState::Live
    }
}
