//! Types, constants and clock functions that most modules import.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::clock::{BootTime, TimeSource, boot_time, whole_millis};
pub use crate::constants::*;
pub use crate::ids::*;
pub use crate::result_code::{ExecutionStatus, ResultCode};
