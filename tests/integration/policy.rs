//! Property and example tests of the policy modules, which decide without side effects.

mod limits;
mod queue;
mod routing;
mod shares;
