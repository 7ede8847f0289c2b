//! Checks of settings, their reference page and the example files.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::collections::BTreeMap;
use std::path::{
    Path,
    PathBuf, //
};

use lovagespindle_daemon::limits::{
    LIMITS,
    Range, //
};
use lovagespindle_daemon::settings::{
    Settings,
    SettingsError, //
};
use lovagespindle_stand_ins::cases;
use toml::Value;

const LEAST: &str = "[instance]\nname = \"a\"\nzone = \"z\"\n\
                     control = \"127.0.0.1:1\"\nrelay = \"127.0.0.1:2\"\n";

cases! {
    /// Guards against defaults that are out of their own range.
    defaults_are_valid => { parse(LEAST).unwrap(); };
    /// Guards against a range that is written down but not checked.
    every_range_is_checked => every_range();
    /// Guards against operators who mend one fault only to be told the next.
    all_faults_are_told_at_once => all_faults();
    /// Guards against a fault of the file that is printed twice.
    broken_file_is_told_once => broken_file();
    /// Guards against names that break log lines and metrics.
    wrong_zone_is_refused => refused(
        &LEAST.replace("\"z\"", "\"Z 1\""),
        "instance.zone is \"Z 1\", but must be 1 to 63 characters of a-z, 0-9, '-' and '.'",
    );
    /// Guards against an instance without a name.
    empty_name_is_refused => refused(
        &LEAST.replace("\"a\"", "\"\""),
        "instance.name is \"\", but must be 1 to 63 characters of a-z, 0-9, '-' and '.'",
    );
    /// Guards against two owners that admit at once.
    late_fence_is_refused => changed(
        &[("decisions.ownership.fence", "1500ms")],
        "decisions.ownership.fence is 1s 500ms, but must be shorter than \
         decisions.ownership.takeover",
    );
    /// Guards against members that are buried before their lease lapses.
    early_failure_is_refused => changed(
        &[("decisions.membership.failure_timeout", "1s")],
        "decisions.membership.failure_timeout is 1s, but must be at least \
         decisions.ownership.takeover",
    );
    /// Guards against polls before the one before.
    wide_jitter_is_refused => changed(
        &[("prober.jitter", "1s")],
        "prober.jitter is 1s, but must be shorter than prober.period",
    );
    /// Guards against pauses that shrink.
    short_pause_is_refused => changed(
        &[("platform.longest_pause", "50ms")],
        "platform.longest_pause is 50ms, but must be at least platform.first_pause",
    );
    /// Guards against a queue that the links can't make.
    odd_queue_is_refused => changed(
        &[("links.queue", "100")],
        "links.queue is 100, but must be a power of two",
    );
    /// Guards against durations and numbers without a range.
    every_number_has_a_range => every_number();
    /// Guards against typing errors that leave a default in force.
    unknown_keys_are_refused => unknown_keys();
    /// Guards against a reference page that differs from the settings.
    reference_is_complete => reference();
    /// Guards against example files that no daemon takes.
    examples_are_valid => examples();
}

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text, Path::new("file.toml"))
}

fn refused(text: &str, reason: &str) {
    let error = parse(text).unwrap_err().to_string();
    assert_eq!(
        error,
        format!("settings file \"file.toml\" is not valid: {reason}")
    );
}

fn all_faults() {
    let text = with(&[("prober.period", "1ms"), ("links.queue", "100")]).replace("\"z\"", "\"Z\"");
    let faults = faults(&text);
    let keys: Vec<&str> = faults.iter().filter_map(|f| f.split(' ').next()).collect();
    let expected = [
        "instance.zone",
        "prober.period",
        "prober.jitter",
        "links.queue",
    ];
    assert_eq!(keys, expected, "{faults:?}");
}

fn broken_file() {
    let error = anyhow::Error::from(parse("[instance]\nname = 1\n").unwrap_err());
    let text = format!("{error:#}");
    assert_eq!(text.matches("invalid type").count(), 1, "{text}");
}

fn faults(text: &str) -> Vec<String> {
    match parse(text).unwrap_err() {
        SettingsError::Problems { problems, .. } => problems,
        other => panic!("{other}"),
    }
}

fn changed(changes: &[(&str, &str)], reason: &str) {
    refused(&with(changes), reason);
}

/// Returns the least settings with other values; numbers are told by their digits.
fn with(changes: &[(&str, &str)]) -> String {
    let lines = changes.iter().map(|(key, value)| {
        if value.parse::<u64>().is_ok() {
            format!("{key} = {value}\n")
        } else {
            format!("{key} = \"{value}\"\n")
        }
    });
    lines.collect::<String>() + LEAST
}

fn every_range() {
    for limit in LIMITS {
        let (below, above) = match limit.range {
            Range::Time(_, least, most) => {
                let below = least.checked_sub(std::time::Duration::from_millis(1));
                let text = |d| humantime::format_duration(d).to_string();
                let above = most + std::time::Duration::from_secs(1);
                (below.map(text), Some(text(above)))
            }
            Range::Count(_, least, most) => {
                let above = most + 1;
                // The type of the value ends with the range.
                let above = (above != 65_536).then(|| above.to_string());
                (least.checked_sub(1).map(|v| v.to_string()), above)
            }
            Range::Real(_, least, most) => (
                Some((least - 1.0).to_string()),
                Some((most + 1.0).to_string()),
            ),
        };
        for value in [below, above].into_iter().flatten() {
            let reason = format!("{} is {value}, but must be {}", limit.key, limit.allowed());
            // The value may also stand in a wrong relation to others.
            let faults = faults(&with(&[(limit.key, &value)]));
            let told = faults.iter().filter(|fault| **fault == reason).count();
            assert_eq!(told, 1, "{reason} in {faults:?}");
        }
    }
}

fn every_number() {
    for (key, value) in flat(&parse(LEAST).unwrap()) {
        let number = value.parse::<u64>().is_ok() || humantime::parse_duration(&value).is_ok();
        let limited = LIMITS.iter().any(|limit| limit.key == key);
        assert!(limited || !number, "{key} = {value} has no range");
    }
}

fn unknown_keys() {
    let tables = flat(&parse(LEAST).unwrap()).into_keys();
    let mut tables: Vec<String> = tables
        .filter_map(|key| key.rsplit_once('.').map(|(table, _)| table.to_owned()))
        .collect();
    tables.dedup();
    tables.push("decisions".to_owned());
    for key in tables.iter().map(|table| format!("{table}.colour")) {
        let text = if key.starts_with("instance.") {
            format!("{LEAST}colour = 1\n")
        } else {
            format!("{key} = 1\n{LEAST}")
        };
        let error = parse(&text).unwrap_err().to_string();
        assert!(error.contains("unknown field `colour`"), "{key}: {error}");
        assert!(error.contains("\"file.toml\""), "{error}");
    }
    let error = parse(&format!("colour = 1\n{LEAST}")).unwrap_err();
    assert!(error.to_string().contains("unknown field `colour`"));
}

/// Returns all keys with a value.
fn flat(settings: &Settings) -> BTreeMap<String, String> {
    fn walk(path: &str, value: &Value, out: &mut BTreeMap<String, String>) {
        match value {
            Value::Table(table) => {
                for (key, value) in table {
                    let path = format!("{path}.{key}");
                    walk(path.trim_start_matches('.'), value, out);
                }
            }
            Value::String(text) => drop(out.insert(path.to_owned(), text.clone())),
            other => drop(out.insert(path.to_owned(), other.to_string())),
        }
    }
    let mut out = BTreeMap::new();
    walk("", &Value::try_from(settings).unwrap(), &mut out);
    out
}

/// Returns what the page should say of each key: its default and what is allowed.
fn expected() -> BTreeMap<String, (String, Option<String>)> {
    let optional = with(&[
        ("log.file", "x"),
        ("metrics.endpoint", "http://127.0.0.1:1"),
    ]);
    let keys = flat(&parse(&optional).unwrap()).into_keys();
    let defaults = flat(&parse(LEAST).unwrap());
    keys.map(|key| {
        let required = key.starts_with("instance.");
        let default = match defaults.get(&key) {
            _ if required => "required".to_owned(),
            Some(value) => format!("`{value}`"),
            None => "none".to_owned(),
        };
        let limit = LIMITS.iter().find(|limit| limit.key == key);
        (key, (default, limit.map(|limit| limit.allowed())))
    })
    .collect()
}

fn reference() {
    let page = std::fs::read_to_string(root().join("docs/settings.md")).unwrap();
    let mut rows = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, key, meaning, default, allowed, _] = cells[..] else {
            panic!("{line} does not have four cells");
        };
        assert!(!meaning.is_empty() && !allowed.is_empty(), "{line}");
        let key = key.trim_matches('`').to_owned();
        let twice = rows.insert(key, (default.to_owned(), allowed.to_owned()));
        assert!(twice.is_none(), "{line} is there twice");
    }
    let expected = expected();
    assert!(rows.keys().eq(expected.keys()), "{:?}", expected.keys());
    for (key, (default, allowed)) in expected {
        let row = &rows[&key];
        assert_eq!(row.0, default, "default of {key}");
        if let Some(allowed) = allowed {
            assert!(
                row.1.starts_with(&allowed),
                "{key}: {allowed}, not {}",
                row.1
            );
        }
    }
}

fn examples() {
    for name in ["settings-waipuna-a.toml", "settings-thrissur.toml"] {
        Settings::read(&root().join("examples").join(name)).unwrap();
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
