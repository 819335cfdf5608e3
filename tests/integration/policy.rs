//! Property and example tests of the policy modules, which decide without side effects.

mod limit_shares;
mod limits;
mod queue;
mod routing;
mod shares;
