//! Usage of this host that is not known to be in the store. Makes no calls and reads no clock.
//!
//! The usage of requests is added up until it is sealed into a row. A sealed row never changes: its name and value are
//! the same at this host, at the peers that hold a replica, and in the store.

use crate::generated::peer_messages::UsageRow;
use crate::prelude::*;
use crate::usage::UsageEvent;
use crate::usage::usage_rows::{IncrementFigure, IncrementRow, WindowStart, increment_name, window_key};

/// Number of unflushed rows above which usage is sealed less often, so that rows do not fill the memory during a long
/// outage of the store.
const UNFLUSHED_ROWS_THRESHOLD: usize = 64;

/// Period in which usage is sealed while there are more than [`UNFLUSHED_ROWS_THRESHOLD`] unflushed rows.
const OUTAGE_SEAL_PERIOD: Duration = Duration::from_mins(1);

/// Usage of one organisation and service in one window that is not sealed yet.
#[derive(Debug, Clone)]
struct OpenFigure {
    window: WindowStart,
    organisation: OrganisationId,
    service: ServiceId,
    requests: u64,
    tokens: u64,
    target_time: Duration,
}

/// Sealed row that is not known to be in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct UnflushedRow {
    /// Window in which the requests finished.
    pub window: WindowStart,
    /// Name of the increment; part of the key.
    pub name: String,
    /// Key and value to write to the store.
    pub row: UsageRow,
    /// Peers to which a replica was sent; a replica may have been lost on the way.
    pub sent_to: Vec<HostId>,
}

/// Open usage and unflushed rows of one host.
#[derive(Debug)]
pub struct UsageLedger {
    host: HostId,
    incarnation: Incarnation,
    next_sequence: u64,
    /// Sorted by window, organisation and service.
    open: Vec<OpenFigure>,
    /// Oldest first.
    unflushed: Vec<UnflushedRow>,
    last_seal: Option<BootTime>,
}

impl UsageLedger {
    /// Creates a ledger without usage. Host and incarnation make the names of the increments unique.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        let host = host.to_owned();
        Self { host, incarnation, next_sequence: 0, open: Vec::new(), unflushed: Vec::new(), last_seal: None }
    }

    /// Adds the usage of a request that finished in `window`.
    pub fn record(&mut self, event: UsageEvent, window: WindowStart) {
        let order = |figure: &OpenFigure| {
            let key = (figure.window, figure.organisation.as_str(), figure.service.as_str());
            key.cmp(&(window, event.organisation.as_str(), event.service.as_str()))
        };
        match self.open.binary_search_by(order) {
            Ok(position) => {
                let figure = &mut self.open[position];
                figure.requests = figure.requests.saturating_add(event.requests);
                figure.tokens = figure.tokens.saturating_add(event.tokens);
                figure.target_time = figure.target_time.saturating_add(event.target_time);
            }
            Err(position) => {
                let UsageEvent { organisation, service, requests, tokens, target_time } = event;
                let figure = OpenFigure { window, organisation, service, requests, tokens, target_time };
                self.open.insert(position, figure);
            }
        }
    }

    /// Seals the open usage as [`Self::seal_open_usage`] does; while there are more than `UNFLUSHED_ROWS_THRESHOLD`
    /// unflushed rows, this is done only once each `OUTAGE_SEAL_PERIOD`.
    ///
    /// # Errors
    ///
    /// As [`Self::seal_open_usage`].
    pub fn seal_if_due(&mut self, now: BootTime) -> Result<(), ResultCode> {
        let since_seal = self.last_seal.map(|last| now.saturating_sub(last));
        let is_early = since_seal.is_some_and(|since| since < OUTAGE_SEAL_PERIOD);
        if self.unflushed.len() > UNFLUSHED_ROWS_THRESHOLD && is_early {
            return Ok(());
        }
        self.seal_open_usage(now)
    }

    /// Seals the open usage into one unflushed row for each window.
    ///
    /// # Errors
    ///
    /// [`ResultCode::Internal`] when an increment cannot be encoded; usage that is not sealed stays open.
    pub fn seal_open_usage(&mut self, now: BootTime) -> Result<(), ResultCode> {
        self.last_seal = Some(now);
        while let Some(window) = self.open.first().map(|figure| figure.window) {
            let end = self.open.partition_point(|figure| figure.window == window);
            let increment = IncrementRow { window, figures: self.open[..end].iter().map(increment_figure).collect() };
            let value = serde_json::to_string(&increment).map_err(|_| ResultCode::Internal)?;
            self.open.drain(..end);
            let name = increment_name(&self.host, self.incarnation, self.next_sequence);
            self.next_sequence += 1;
            let row = UsageRow { key: format!("{}/{name}", window_key(window)), value };
            self.unflushed.push(UnflushedRow { window, name, row, sent_to: Vec::new() });
        }
        Ok(())
    }

    /// Rows that are not known to be in the store, oldest first.
    #[must_use]
    pub fn unflushed(&self) -> &[UnflushedRow] {
        &self.unflushed
    }

    /// Whether there is neither open usage nor an unflushed row.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.unflushed.is_empty()
    }

    /// Records that replicas of the rows with these keys were sent to a peer.
    pub fn record_sent(&mut self, peer: &str, keys: &[String]) {
        for unflushed in self.unflushed.iter_mut().filter(|unflushed| keys.contains(&unflushed.row.key)) {
            if !unflushed.sent_to.iter().any(|known| known == peer) {
                unflushed.sent_to.push(peer.to_owned());
            }
        }
    }

    /// Removes a row that is in the store from the ledger; returns the peers to which a replica was sent, or none when
    /// the key is unknown.
    pub fn remove_row(&mut self, key: &str) -> Vec<HostId> {
        match self.unflushed.iter().position(|unflushed| unflushed.row.key == key) {
            Some(position) => self.unflushed.remove(position).sent_to,
            None => Vec::new(),
        }
    }
}

fn increment_figure(figure: &OpenFigure) -> IncrementFigure {
    IncrementFigure {
        organisation: figure.organisation.clone(),
        service: figure.service.clone(),
        requests: figure.requests,
        tokens: figure.tokens,
        target_ms: whole_millis(figure.target_time),
    }
}
