//! Plain requests: target choice, and responses on connections in use again. The event stream parser.

pub mod answers;
mod attempts;
mod endless;
mod events;
mod links;
mod odd_statuses;
mod starts;
mod streams;
