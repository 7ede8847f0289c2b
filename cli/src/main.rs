//! The operator command line of lovagespindle.

fn main() {}
