//! UDP socket towards callers.
