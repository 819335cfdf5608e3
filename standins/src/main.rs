//! Entry of the stand-ins.

fn main() {}
