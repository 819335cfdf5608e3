//! Contract tests of the stand-ins. Tests of the product rely on the stand-ins to behave as configured; with a wrong
//! stand-in they could pass without testing anything.

mod engine;
mod faults;
mod load;
mod plain;
mod platform;
mod processes;
mod relay;
mod support;
mod weights;
