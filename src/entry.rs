//! A host that runs in front of an installation whose platform lists targets and keeps rows.
//!
//! The installation's adapter passes in the store, the codecs and the names of its tables; everything that is decided,
//! kept or recovered is here and in `fleet`, `relay`, `jobs` and `duties`. One thread follows the store and decides
//! about duties, another one carries traffic.

pub mod fleet_follower;
pub mod host_context;
pub mod host_metrics;
pub mod host_start;
pub mod request_entry;
pub mod settings;
