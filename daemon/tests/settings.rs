//! Tests of the settings, their reference page and the example files.

#![allow(clippy::unwrap_used)] // test helpers may panic

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

const MINIMAL: &str = "[instance]\nname = \"a\"\nzone = \"z\"\n\
                     control = \"127.0.0.1:1\"\nrelay = \"127.0.0.1:2\"\n";

cases! {
    /// Guards against default values outside their own ranges.
    defaults_are_valid => { parse(MINIMAL).unwrap(); };
    /// Guards against ranges that are declared but not checked.
    every_range_is_checked => check_every_range();
    /// Guards against errors that name only the first of several invalid values.
    all_problems_are_reported_together => check_all_problems();
    /// Guards against error chains that print the reason of a parse error twice.
    parse_error_is_reported_once => check_parse_error();
    /// Guards against names that break log lines and metrics.
    invalid_zone_name_is_rejected => check_rejected(
        &MINIMAL.replace("\"z\"", "\"Z 1\""),
        "instance.zone is \"Z 1\", but must be 1 to 63 characters of a-z, 0-9, '-' and '.'",
    );
    /// Guards against an instance without a name.
    empty_instance_name_is_rejected => check_rejected(
        &MINIMAL.replace("\"a\"", "\"\""),
        "instance.name is \"\", but must be 1 to 63 characters of a-z, 0-9, '-' and '.'",
    );
    /// Guards against two owners that admit requests to a backend server at the same time.
    fence_not_shorter_than_takeover_is_rejected => check_rejected_values(
        &[("decisions.ownership.fence", "1500ms")],
        "decisions.ownership.fence is 1s 500ms, but must be shorter than \
         decisions.ownership.takeover",
    );
    /// Guards against members that are declared dead before their lease expires.
    failure_timeout_shorter_than_takeover_is_rejected => check_rejected_values(
        &[("decisions.membership.failure_timeout", "1s")],
        "decisions.membership.failure_timeout is 1s, but must be at least \
         decisions.ownership.takeover",
    );
    /// Guards against a jitter that lets a poll start before the previous one.
    jitter_not_shorter_than_period_is_rejected => check_rejected_values(
        &[("prober.jitter", "1s")],
        "prober.jitter is 1s, but must be shorter than prober.period",
    );
    /// Guards against retry delays that decrease.
    longest_pause_shorter_than_first_pause_is_rejected => check_rejected_values(
        &[("platform.longest_pause", "50ms")],
        "platform.longest_pause is 50ms, but must be at least platform.first_pause",
    );
    /// Guards against queue sizes that the links do not support.
    queue_size_not_a_power_of_two_is_rejected => check_rejected_values(
        &[("links.queue", "100")],
        "links.queue is 100, but must be a power of two",
    );
    /// Guards against durations and numbers without a range.
    every_number_has_a_range => check_every_number();
    /// Guards against misspelled keys whose defaults stay active.
    unknown_keys_are_rejected => check_unknown_keys();
    /// Guards against settings that the reference page omits or shows with another default or
    /// range.
    reference_is_complete => check_reference();
    /// Guards against example files that a daemon rejects.
    examples_are_valid => check_examples();
}

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(text, Path::new("file.toml"))
}

fn check_rejected(text: &str, reason: &str) {
    let error = parse(text).unwrap_err().to_string();
    assert_eq!(
        error,
        format!("settings file \"file.toml\" is not valid: {reason}")
    );
}

fn check_all_problems() {
    let text =
        with_values(&[("prober.period", "1ms"), ("links.queue", "100")]).replace("\"z\"", "\"Z\"");
    let problems = problems(&text);
    let keys: Vec<&str> = problems
        .iter()
        .filter_map(|p| p.split(' ').next())
        .collect();
    let expected = [
        "instance.zone",
        "prober.period",
        "prober.jitter",
        "links.queue",
    ];
    assert_eq!(keys, expected, "{problems:?}");
}

fn check_parse_error() {
    let error = anyhow::Error::from(parse("[instance]\nname = 1\n").unwrap_err());
    let text = format!("{error:#}");
    assert_eq!(text.matches("invalid type").count(), 1, "{text}");
}

/// Returns the descriptions of all invalid values in the text of a settings file.
fn problems(text: &str) -> Vec<String> {
    match parse(text).unwrap_err() {
        SettingsError::Problems { problems, .. } => problems,
        other => panic!("{other}"),
    }
}

fn check_rejected_values(changes: &[(&str, &str)], reason: &str) {
    check_rejected(&with_values(changes), reason);
}

/// Returns the minimal settings with other values. Values that consist of digits are written as
/// numbers, all others as strings.
fn with_values(changes: &[(&str, &str)]) -> String {
    let lines = changes.iter().map(|(key, value)| {
        if value.parse::<u64>().is_ok() {
            format!("{key} = {value}\n")
        } else {
            format!("{key} = \"{value}\"\n")
        }
    });
    lines.collect::<String>() + MINIMAL
}

fn check_every_range() {
    for limit in LIMITS {
        let (below, above) = match limit.range {
            Range::Time(_, minimum, maximum) => {
                let below = minimum.checked_sub(std::time::Duration::from_millis(1));
                let text = |d| humantime::format_duration(d).to_string();
                let above = maximum + std::time::Duration::from_secs(1);
                (below.map(text), Some(text(above)))
            }
            Range::Count(_, minimum, maximum) => {
                let above = maximum + 1;
                // 65536 does not fit into the setting's type and fails with another error.
                let above = (above != 65_536).then(|| above.to_string());
                (minimum.checked_sub(1).map(|v| v.to_string()), above)
            }
            Range::Real(_, minimum, maximum) => (
                Some((minimum - 1.0).to_string()),
                Some((maximum + 1.0).to_string()),
            ),
        };
        for value in [below, above].into_iter().flatten() {
            let reason = format!("{} is {value}, but must be {}", limit.key, limit.allowed());
            // The value may also violate a rule that compares it with other settings.
            let problems = problems(&with_values(&[(limit.key, &value)]));
            let count = problems.iter().filter(|p| **p == reason).count();
            assert_eq!(count, 1, "{reason} in {problems:?}");
        }
    }
}

fn check_every_number() {
    for (key, value) in flatten(&parse(MINIMAL).unwrap()) {
        let number = value.parse::<u64>().is_ok() || humantime::parse_duration(&value).is_ok();
        let limited = LIMITS.iter().any(|limit| limit.key == key);
        assert!(limited || !number, "{key} = {value} has no range");
    }
}

fn check_unknown_keys() {
    let tables = flatten(&parse(MINIMAL).unwrap()).into_keys();
    let mut tables: Vec<String> = tables
        .filter_map(|key| key.rsplit_once('.').map(|(table, _)| table.to_owned()))
        .collect();
    tables.dedup();
    tables.push("decisions".to_owned());
    for key in tables.iter().map(|table| format!("{table}.colour")) {
        let text = if key.starts_with("instance.") {
            format!("{MINIMAL}colour = 1\n")
        } else {
            format!("{key} = 1\n{MINIMAL}")
        };
        let error = parse(&text).unwrap_err().to_string();
        assert!(error.contains("unknown field `colour`"), "{key}: {error}");
        assert!(error.contains("\"file.toml\""), "{error}");
    }
    let error = parse(&format!("colour = 1\n{MINIMAL}")).unwrap_err();
    assert!(error.to_string().contains("unknown field `colour`"));
}

/// Returns all keys that have a value, each with its value as text.
fn flatten(settings: &Settings) -> BTreeMap<String, String> {
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

/// Returns the default and the allowed values that the reference page must show for each key.
fn expected_rows() -> BTreeMap<String, (String, Option<String>)> {
    let optional = with_values(&[
        ("log.file", "x"),
        ("metrics.endpoint", "http://127.0.0.1:1"),
    ]);
    let keys = flatten(&parse(&optional).unwrap()).into_keys();
    let defaults = flatten(&parse(MINIMAL).unwrap());
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

fn check_reference() {
    let page = std::fs::read_to_string(repository_root().join("docs/settings.md")).unwrap();
    let mut rows = BTreeMap::new();
    for line in page.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [_, key, meaning, default, allowed, _] = cells[..] else {
            panic!("{line} does not have four cells");
        };
        assert!(!meaning.is_empty() && !allowed.is_empty(), "{line}");
        let key = key.trim_matches('`').to_owned();
        let previous = rows.insert(key, (default.to_owned(), allowed.to_owned()));
        assert!(previous.is_none(), "{line} appears twice");
    }
    let expected = expected_rows();
    assert!(rows.keys().eq(expected.keys()), "{:?}", expected.keys());
    for (key, (default, allowed)) in expected {
        let row = &rows[&key];
        assert_eq!(row.0, default, "default of {key}");
        if let Some(allowed) = allowed {
            assert!(
                row.1.starts_with(&allowed),
                "{key}: expected {allowed}, found {}",
                row.1
            );
        }
    }
}

fn check_examples() {
    for name in ["settings-waipuna-a.toml", "settings-thrissur.toml"] {
        Settings::read(&repository_root().join("examples").join(name)).unwrap();
    }
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
