//! What a host knows of its installation.

pub mod builders;
mod load;
mod state;
