//! Caller and operator interfaces.
