//! Entry of the `camphorspring` binary.

fn main() {}
