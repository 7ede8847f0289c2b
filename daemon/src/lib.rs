//! The lovagespindle daemon.
