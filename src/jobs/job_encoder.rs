//! Encodes the items of a submitted job as rows while the request that brings them is decoded.
//!
//! A job is never in memory as a whole but in the request or in its rows, whatever the number and the size of its items.

use std::io::Write;

use crate::jobs::job_record::{ItemSpec, JobOutline};
use crate::memory::{MemoryBudget, MemoryLease};
use crate::prelude::*;

/// Maximum size of a row's value; the stores of installations accept values of up to 64 KiB.
pub const MAX_ROW_BYTES: usize = 60_000;

/// Job in the form in which it is stored.
#[derive(Debug)]
pub struct EncodedJob {
    /// What the job says beside its items.
    pub outline: JobOutline,
    /// Number of items.
    pub item_count: u32,
    /// Values of the rows that hold the encoded [`JobSpec`], in order.
    ///
    /// [`JobSpec`]: crate::jobs::job_record::JobSpec
    pub rows: Vec<Vec<u8>>,
    /// Memory that the host which runs the job needs for it, in bytes.
    pub run_bytes: usize,
    _lease: MemoryLease,
}

/// Rows of a job, of which further items may follow.
#[derive(Debug)]
pub struct JobEncoder {
    rows: Vec<Vec<u8>>,
    item_count: u32,
    run_bytes: usize,
    max_run_bytes: usize,
    lease: MemoryLease,
}

impl Write for JobEncoder {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if self.rows.last().is_none_or(|row| row.len() == MAX_ROW_BYTES) {
            self.lease.grow(MAX_ROW_BYTES).map_err(|_| std::io::ErrorKind::OutOfMemory)?;
            self.rows.push(Vec::with_capacity(MAX_ROW_BYTES));
        }
        let Some(row) = self.rows.last_mut() else { return Ok(0) };
        let length = bytes.len().min(MAX_ROW_BYTES - row.len());
        row.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl JobEncoder {
    /// Encoder without items, whose rows take their memory from a budget.
    ///
    /// # Errors
    ///
    /// [`ResultCode::HostBusy`]: the budget is used up.
    pub fn new(budget: &Arc<MemoryBudget>) -> Result<Self, ResultCode> {
        let lease = budget.lease_body();
        if !lease.settle() {
            return Err(ResultCode::HostBusy);
        }
        let mut encoder =
            Self { rows: Vec::new(), item_count: 0, run_bytes: 0, max_run_bytes: budget.max_bytes(), lease };
        encoder.add(b"{\"items\":[")?;
        Ok(encoder)
    }

    /// Adds the next item.
    ///
    /// # Errors
    ///
    /// [`ResultCode::TooLarge`]: no host of this size can run the job. [`ResultCode::HostBusy`]: the budget is used up.
    pub fn add_item(&mut self, item: &ItemSpec) -> Result<(), ResultCode> {
        self.run_bytes += item.run_bytes();
        if self.run_bytes > self.max_run_bytes {
            return Err(ResultCode::TooLarge);
        }
        if self.item_count > 0 {
            self.add(b",")?;
        }
        self.item_count += 1;
        // Encoding fails only for want of memory.
        serde_json::to_writer(self, item).map_err(|_| ResultCode::HostBusy)
    }

    /// Ends the rows.
    ///
    /// # Errors
    ///
    /// [`ResultCode::HostBusy`]: the budget is used up.
    pub fn finish(mut self, outline: JobOutline) -> Result<EncodedJob, ResultCode> {
        self.add(b"],")?;
        // The fields of the outline follow the items in the same object.
        let fields = serde_json::to_vec(&outline).map_err(|_| ResultCode::Internal)?;
        self.add(fields.strip_prefix(b"{").unwrap_or_default())?;
        let Self { rows, item_count, run_bytes, lease, .. } = self;
        Ok(EncodedJob { outline, item_count, rows, run_bytes, _lease: lease })
    }

    fn add(&mut self, bytes: &[u8]) -> Result<(), ResultCode> {
        self.write_all(bytes).map_err(|_| ResultCode::HostBusy)
    }
}
