//! Settings of the client.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::time::Duration;

use lovagespindle_store::Settings;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

cases! {
    /// Guards against settings that have to be written out in full.
    absent_settings_have_defaults => {
        let settings: Settings = toml::from_str("call_timeout = \"500ms\"").unwrap();
        let wanted = Settings {
            call_timeout: Duration::from_millis(500),
            ..Settings::default()
        };
        assert_eq!(settings, wanted);
    };
    /// Guards against misspelt settings that have no effect.
    unknown_settings_are_refused => {
        toml::from_str::<Settings>("call_timeot = \"1s\"").unwrap_err();
    };
}
