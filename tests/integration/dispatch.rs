//! Permits between hosts, over a network that loses, delays, repeats and reorders frames.

mod faults;
mod network;
mod partitions;
mod threads;
