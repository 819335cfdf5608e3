//! Usage of this host that is not in the store, as a pure state.
//!
//! Events add up until they are cut into rows. A row never changes after that: its name and bytes are the same at this
//! host, at the peer that holds its replica, and in the store.

use crate::generated::peer_messages::UsageRow;
use crate::prelude::*;
use crate::usage::UsageEvent;
use crate::usage::usage_rows::{FigureRow, IncrementRow, WindowStart, increment_name, window_key};

/// Rows that wait for the store beyond which rows are cut less often: a long outage must not fill the memory.
const UNFLUSHED_LIMIT: usize = 64;

/// Period in which rows are cut while more than [`UNFLUSHED_LIMIT`] wait.
const OUTAGE_CUT: Duration = Duration::from_mins(1);

/// Usage of one organisation and service that is in no row yet.
#[derive(Debug, Clone)]
struct OpenFigure {
    window: WindowStart,
    organisation: OrganisationId,
    service: ServiceId,
    requests: u64,
    tokens: u64,
    target_time: Duration,
}

/// A row that is not known to be in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct UnflushedRow {
    /// Window.
    pub window: WindowStart,
    /// Name of the increment.
    pub name: String,
    /// Key and bytes.
    pub row: UsageRow,
    /// Peers that were sent a replica.
    pub sent_to: Vec<HostId>,
}

/// Usage of this host that is not in the store.
#[derive(Debug)]
pub struct UsageLedger {
    host: HostId,
    incarnation: Incarnation,
    next_sequence: u64,
    /// Sorted by window, organisation and service.
    open: Vec<OpenFigure>,
    unflushed: Vec<UnflushedRow>,
    last_cut: Option<BootTime>,
}

impl UsageLedger {
    /// Ledger without usage.
    #[must_use]
    pub fn new(host: &str, incarnation: Incarnation) -> Self {
        let host = host.to_owned();
        Self { host, incarnation, next_sequence: 0, open: Vec::new(), unflushed: Vec::new(), last_cut: None }
    }

    /// Adds the usage of a request that finished in a window.
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

    /// Cuts the usage so far into one row for each window, unless too many rows wait for the store.
    ///
    /// # Errors
    ///
    /// A row has no JSON form.
    pub fn seal_open_rows(&mut self, now: BootTime) -> Result<(), ResultCode> {
        let since_cut = self.last_cut.map(|last| now.saturating_sub(last));
        let is_early = since_cut.is_some_and(|since| since < OUTAGE_CUT);
        if self.unflushed.len() > UNFLUSHED_LIMIT && is_early {
            return Ok(());
        }
        self.seal_all_rows(now)
    }

    /// Cuts the usage so far into one row for each window.
    ///
    /// # Errors
    ///
    /// A row has no JSON form.
    pub fn seal_all_rows(&mut self, now: BootTime) -> Result<(), ResultCode> {
        self.last_cut = Some(now);
        while let Some(window) = self.open.first().map(|figure| figure.window) {
            let end = self.open.partition_point(|figure| figure.window == window);
            let increment = IncrementRow { window, figures: self.open[..end].iter().map(figure_row).collect() };
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

    /// Whether nothing is left to write.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.unflushed.is_empty()
    }

    /// Takes note that a peer was sent replicas of rows.
    pub fn note_sent(&mut self, peer: &str, keys: &[String]) {
        for unflushed in self.unflushed.iter_mut().filter(|unflushed| keys.contains(&unflushed.row.key)) {
            if !unflushed.sent_to.iter().any(|known| known == peer) {
                unflushed.sent_to.push(peer.to_owned());
            }
        }
    }

    /// Takes a row out that is in the store; returns the peers that hold a replica.
    pub fn confirm(&mut self, key: &str) -> Vec<HostId> {
        match self.unflushed.iter().position(|unflushed| unflushed.row.key == key) {
            Some(position) => self.unflushed.remove(position).sent_to,
            None => Vec::new(),
        }
    }
}

fn figure_row(figure: &OpenFigure) -> FigureRow {
    FigureRow {
        organisation: figure.organisation.clone(),
        service: figure.service.clone(),
        requests: figure.requests,
        tokens: figure.tokens,
        target_ms: whole_millis(figure.target_time),
    }
}
