//! What a host knows of its installation: configuration, targets, hosts, named weight versions.
//!
//! Rows of the store are decoded by the installation's adapter into [`fleet_state::FleetChange`]s; [`fleet_state`]
//! folds them into an immutable [`fleet_view::FleetView`] that requests read without waiting.

pub mod fleet_state;
pub mod fleet_view;
pub mod member_row;
pub mod service_map;
pub mod target_load;
