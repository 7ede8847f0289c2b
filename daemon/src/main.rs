//! The lovagespindle daemon.

fn main() {}
