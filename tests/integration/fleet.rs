//! A host's view of its installation, the loads of its targets, and its reads of the store.

pub mod builders;
mod crashes;
mod feed_pace;
mod limits;
mod load;
mod restarts;
mod state;
mod store_path;
