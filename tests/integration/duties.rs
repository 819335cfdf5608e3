//! Leader tasks: the leader lease, notices of weight loads and weight orders.

mod lease;
mod notices;
mod weights;
