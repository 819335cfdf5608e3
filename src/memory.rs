//! Memory and connections that callers and other hosts may take, summed over all listeners of a process.
//!
//! The sum ends a process, so there is one [`MemoryBudget`], and each connection and each body takes a lease from it before
//! it uses memory. When the budget is used up, whatever wastes most of it yields: a connection without a complete request
//! or a body without its end, by its bytes times the time since its last progress. A part of the budget is reserved for
//! small leases, so that large bodies cannot keep ordinary requests out.
//!
//! A lease whose request is complete is settled and does not yield, unless the other end does not read its answer. Bytes that wait
//! to be sent count too. Jobs that a host runs are kept: they have no lease, and what they need is taken off the budget.
//! `lease_table` decides, without I/O; `memory_budget` shares the table between threads and tells the holders.

pub mod connection_lease;
pub mod lease_table;
pub mod memory_budget;
pub mod memory_metrics;
pub mod received_body;

pub use connection_lease::{ConnectionLease, LeasedBody, accept_connection};
pub use memory_budget::{KeptMemory, MemoryBudget, MemoryExhausted, MemoryLease};
pub use memory_metrics::MemoryMetrics;
pub use received_body::{ReceiveError, ReceivedBody, SegmentReader, SendBody, linger, receive_body};
