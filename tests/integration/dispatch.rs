//! Permits between hosts: over a simulated network that loses, delays, repeats and reorders frames, and with the real
//! threads.

mod faults;
mod network;
mod partitions;
mod threads;
