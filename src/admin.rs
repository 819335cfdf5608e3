//! Operator commands.
