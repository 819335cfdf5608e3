//! Properties of the pure policy modules.

mod limits;
mod queue;
mod routing;
mod shares;
