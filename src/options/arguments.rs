//! Command line.
