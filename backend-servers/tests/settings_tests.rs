//! Tests of settings in TOML.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

use std::time::Duration;

use lovagespindle_backend_servers::{
    ProberSettings,
    Settings, //
};
use lovagespindle_stand_ins::cases;

/// Guards against defaults that change accidentally or are lost when another setting is present.
fn keeps_defaults() {
    let settings: ProberSettings = toml::from_str("period = \"2s\"").unwrap();
    assert_eq!(settings.period, Duration::from_secs(2));
    assert_eq!(settings.jitter, Duration::from_millis(100));
    assert_eq!(settings.timeout, Duration::from_millis(500));
}

/// Guards against misspelled settings that are ignored.
fn rejects_unknown() {
    assert!(toml::from_str::<ProberSettings>("periods = \"2s\"").is_err());
    assert!(toml::from_str::<Settings>("listens = \"0.0.0.0:1\"").is_err());
}

cases! {
    other_settings_keep_their_defaults => keeps_defaults();
    unknown_settings_are_rejected => rejects_unknown();
}
