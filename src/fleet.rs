//! A host's view of its installation: configuration, targets, hosts, announced weight versions; load and announced rate
//! limits of targets; requests under which targets crash.
//!
//! A [`fleet_state::RowDecoder`] of the installation's platform decodes rows of the store into
//! [`fleet_state::FleetChange`]s. [`fleet_state`] merges them into an immutable [`fleet_view::FleetView`] that requests
//! read without waiting.

pub mod crash_table;
pub mod fleet_state;
pub mod fleet_view;
pub mod member_row;
pub mod restart_watch;
pub mod service_map;
pub mod share_table;
pub mod target_limit;
pub mod target_load;
