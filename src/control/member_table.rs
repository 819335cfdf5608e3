//! Members of the own failure domain: heartbeats, suspicion, death, planned stops, lives.

use crate::control::control_view::{MemberRecord, MemberState};
use crate::control::stable_hash::list_hash;
use crate::generated::peer_messages::{MemberDigest, MemberRoster};
use crate::prelude::*;

/// Time after which a dead member is forgotten. Until then its old heartbeats, which may still be on their way, do not
/// make it look alive.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Earlier lives remembered for each member.
const PAST_LIVES: usize = 4;

/// A gap between two ticks that shows that this host itself was paused.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct MemberEntry {
    host: HostId,
    incarnation: Incarnation,
    beat: u32,
    heard_at: BootTime,
    is_leaving: bool,
    past_lives: Vec<Incarnation>,
}

/// One heartbeat, direct or relayed.
#[derive(Debug, Clone, Copy)]
pub struct MemberBeat<'a> {
    /// Member.
    pub host: &'a str,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its counter.
    pub beat: u32,
    /// Whether it announced a planned stop.
    pub is_leaving: bool,
    /// Whether it came from the member itself.
    pub is_direct: bool,
}

/// Members of the own failure domain, the own host among them.
#[derive(Debug)]
pub struct MemberTable {
    own_host: HostId,
    entries: Vec<MemberEntry>,
    last_tick: BootTime,
}

impl MemberTable {
    /// Table that knows only the own host.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation, now: BootTime) -> Self {
        let own = MemberEntry {
            host: host.to_owned(),
            incarnation,
            beat: 1,
            heard_at: now,
            is_leaving: false,
            past_lives: Vec::new(),
        };
        Self { own_host: host.to_owned(), entries: vec![own], last_tick: now }
    }

    /// Advances the own heartbeat and forgets members that have been dead for long.
    ///
    /// Time in which this host was paused is not held against the others, since it could not hear them.
    pub fn tick(&mut self, now: BootTime) {
        let gap = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        let paused = if gap > PAUSE_LIMIT { gap.saturating_sub(GOSSIP_PERIOD) } else { Duration::ZERO };
        for entry in &mut self.entries {
            entry.heard_at = (entry.heard_at + paused).min(now);
            if entry.host == self.own_host {
                entry.beat += 1;
                entry.heard_at = now;
            }
        }
        self.entries.retain(|entry| now.saturating_sub(entry.heard_at) < FORGET_AFTER);
    }

    /// Announces the planned stop of this host.
    pub fn leave(&mut self) {
        let own_host = self.own_host.clone();
        if let Some(own) = self.entries.iter_mut().find(|entry| entry.host == own_host) {
            own.is_leaving = true;
        }
    }

    /// Own heartbeat counter.
    #[must_use]
    pub fn own_beat(&self) -> u32 {
        self.find(&self.own_host).map_or(0, |position| self.entries[position].beat)
    }

    /// Takes a heartbeat.
    ///
    /// A higher incarnation replaces a lower one. A lower one replaces a dead member, or one that speaks for itself:
    /// a host that starts while the store is down cannot draw an ordered incarnation. A life that was replaced never
    /// returns, so that a paused process that resumes does not displace its successor.
    pub fn observe(&mut self, beat: MemberBeat<'_>, now: BootTime) {
        if beat.host == self.own_host {
            return;
        }
        let Ok(position) = self.find(beat.host) else {
            self.insert(beat, now);
            return;
        };
        let entry = &mut self.entries[position];
        if entry.incarnation == beat.incarnation {
            entry.is_leaving |= beat.is_leaving;
            if beat.beat > entry.beat {
                entry.beat = beat.beat;
                entry.heard_at = now;
            }
            return;
        }
        let is_dead = now.saturating_sub(entry.heard_at) >= DEAD_AFTER;
        let is_newer = beat.incarnation > entry.incarnation || beat.is_direct || is_dead;
        if is_newer && !entry.past_lives.contains(&beat.incarnation) {
            entry.past_lives.push(entry.incarnation);
            if entry.past_lives.len() > PAST_LIVES {
                entry.past_lives.remove(0);
            }
            entry.incarnation = beat.incarnation;
            entry.beat = beat.beat;
            entry.heard_at = now;
            entry.is_leaving = beat.is_leaving;
        }
    }

    fn insert(&mut self, beat: MemberBeat<'_>, now: BootTime) {
        let position = self.find(beat.host).unwrap_or_else(|position| position);
        let entry = MemberEntry {
            host: beat.host.to_owned(),
            incarnation: beat.incarnation,
            beat: beat.beat,
            heard_at: now,
            is_leaving: beat.is_leaving,
            past_lives: Vec::new(),
        };
        self.entries.insert(position, entry);
    }

    /// Hash of the roster: all members that are not dead, with their lives.
    #[must_use]
    pub fn roster_hash(&self, now: BootTime) -> u32 {
        let lives: Vec<Incarnation> = self.roster(now).map(|entry| entry.incarnation).collect();
        list_hash(self.roster(now).map(|entry| entry.host.as_str()), &lives)
    }

    /// Digest for an asker whose roster has the hash `asker_roster`.
    #[must_use]
    pub fn digest(&self, asker_roster: u32, now: BootTime) -> MemberDigest {
        let members: Vec<&MemberEntry> = self.roster(now).collect();
        let positions = members.iter().enumerate().filter(|(_, entry)| entry.is_leaving);
        let leaving = positions.filter_map(|(position, _)| u16::try_from(position).ok()).collect();
        let roster = (self.roster_hash(now) != asker_roster).then(|| MemberRoster {
            hosts: members.iter().map(|entry| entry.host.clone()).collect(),
            lives: members.iter().map(|entry| entry.incarnation).collect(),
        });
        MemberDigest { beats: members.iter().map(|entry| entry.beat).collect(), leaving, roster }
    }

    /// Takes a digest. `asked_roster` is the hash that was sent with the request; a digest without names is dropped
    /// when the roster has changed since, since its positions would mean other hosts.
    pub fn merge(&mut self, digest: &MemberDigest, asked_roster: u32, now: BootTime) {
        let roster = match &digest.roster {
            Some(roster) => roster.clone(),
            None if self.roster_hash(now) == asked_roster => self.own_roster(now),
            None => return,
        };
        if roster.hosts.len() != digest.beats.len() || roster.lives.len() != digest.beats.len() {
            return;
        }
        for (position, host) in roster.hosts.iter().enumerate() {
            let is_leaving = digest.leaving.iter().any(|leaving| usize::from(*leaving) == position);
            let incarnation = roster.lives[position];
            let beat = digest.beats[position];
            self.observe(MemberBeat { host, incarnation, beat, is_leaving, is_direct: false }, now);
        }
    }

    fn own_roster(&self, now: BootTime) -> MemberRoster {
        MemberRoster {
            hosts: self.roster(now).map(|entry| entry.host.clone()).collect(),
            lives: self.roster(now).map(|entry| entry.incarnation).collect(),
        }
    }

    /// All members with their states, sorted by host. `listed_leaving` says whether the host list has a host as
    /// leaving.
    #[must_use]
    pub fn records(&self, now: BootTime, listed_leaving: impl Fn(&str) -> bool) -> Vec<MemberRecord> {
        let records = self.entries.iter().map(|entry| MemberRecord {
            host: entry.host.clone(),
            incarnation: entry.incarnation,
            state: state_of(entry, now, listed_leaving(&entry.host)),
            heard_at: entry.heard_at,
        });
        records.collect()
    }

    fn roster(&self, now: BootTime) -> impl Iterator<Item = &MemberEntry> {
        self.entries.iter().filter(move |entry| now.saturating_sub(entry.heard_at) < DEAD_AFTER)
    }

    fn find(&self, host: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.host.as_str().cmp(host))
    }
}

fn state_of(entry: &MemberEntry, now: BootTime, is_listed_leaving: bool) -> MemberState {
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
