//! The `fescuewell` program.

fn main() {}
