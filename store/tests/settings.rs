//! Tests of the client's settings.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::time::Duration;

use lovagespindle_store::Settings;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

cases! {
    /// Guards against settings that are required although they have a default.
    missing_settings_have_defaults => {
        let settings: Settings = toml::from_str("call_timeout = \"500ms\"").unwrap();
        let expected = Settings {
            call_timeout: Duration::from_millis(500),
            ..Settings::default()
        };
        assert_eq!(settings, expected);
    };
    /// Guards against misspelled settings that are silently ignored.
    unknown_settings_are_rejected => {
        toml::from_str::<Settings>("call_timeot = \"1s\"").unwrap_err();
    };
}
