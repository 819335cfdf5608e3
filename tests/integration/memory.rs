//! Budget of memory and connections, and bodies that are received into it.

mod bodies;
mod leases;
