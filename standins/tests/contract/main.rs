//! Contract tests of the stand-ins: a test of the product proves nothing when its stand-in does not do what is asked.

mod engine;
mod faults;
mod load;
mod plain;
mod platform;
mod processes;
mod relay;
mod support;
mod weights;
