//! Metrics as text over HTTP.
