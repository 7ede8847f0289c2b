//! Remote procedure calls for operators.

pub mod generated;
