//! Tests of the settings in direct server return mode, their reference page and the template.

use std::path::Path;

use lovagespindle_daemon::dsr::settings::Settings;
use lovagespindle_daemon::limits::{
    DSR_LIMITS,
    Range, //
};
use lovagespindle_stand_ins::cases;
use toml::Value;

const MINIMAL: &str = "[instance]\nname = \"a\"\nzone = \"z\"\n\
                     [listen]\nclients = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\n\
                     peers = \"127.0.0.1:3\"\n[store]\naddress = \"127.0.0.1:4\"\n";

cases! {
    /// Guards against default values outside their own ranges.
    defaults_are_valid => { parse(MINIMAL).expect("settings are not valid"); };
    /// Guards against errors that name only the first of several invalid values.
    all_problems_are_reported_together => check_all_problems();
    /// Guards against ranges that are declared but not checked.
    every_range_is_checked => check_every_range();
    /// Guards against durations and numbers without a range.
    every_number_has_a_range => check_every_number();
    /// Guards against misspelled keys whose defaults stay active.
    unknown_keys_are_rejected => check_unknown_keys();
    /// Guards against settings that the reference page omits or shows with another range.
    reference_is_complete => check_reference();
    /// Guards against panics on malformed settings files, and errors that do not name the file.
    malformed_files_are_rejected => check_malformed_files();
    /// Guards against a template whose result is not valid.
    template_is_valid => check_template();
}

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new("file.toml")).map_err(|error| error.to_string())
}

/// Returns the minimal settings with another value of one key.
fn with_value(key: &str, value: &str) -> String {
    let mut settings =
        Value::try_from(parse(MINIMAL).expect("settings are not valid")).expect("not a table");
    let mut target = &mut settings;
    for part in key.split('.') {
        target = &mut target[part];
    }
    let number: Result<Value, _> = value.parse::<i64>().map(Value::Integer);
    let number = number.or_else(|_| value.parse().map(Value::Float));
    *target = number.unwrap_or_else(|_| Value::String(value.to_owned()));
    toml::to_string(&settings).expect("settings cannot be encoded")
}

fn check_malformed_files() {
    fn property(replaced: Vec<(usize, u8)>, cut: usize) -> bool {
        let mut bytes = MINIMAL.as_bytes().to_vec();
        let length = bytes.len();
        for (at, value) in replaced.into_iter().take(4) {
            bytes[at % length] = value;
        }
        bytes.truncate(cut % (length + 1));
        // The result must be valid, or the error must name the file.
        match parse(&String::from_utf8_lossy(&bytes)) {
            Ok(_) => true,
            Err(error) => error.contains("file.toml"),
        }
    }
    let mut check = quickcheck::QuickCheck::new().tests(2_000);
    check.quickcheck(property as fn(Vec<(usize, u8)>, usize) -> bool);
}

fn check_all_problems() {
    let text = MINIMAL.replace("\"z\"", "\"Z 1\"") + "watch_wait = \"1ms\"\ngather = \"1h\"\n";
    let error = parse(&text).expect_err("three invalid values were accepted");
    for part in [
        "instance.zone is \"Z 1\"",
        "store.watch_wait is 1ms, but must be 100ms to 30s",
        "store.gather is 1h, but must be 0s to 2s",
    ] {
        assert_eq!(error.matches(part).count(), 1, "{part} in {error}");
    }
    let error = parse(&(MINIMAL.to_owned() + "[decisions]\nshortest_wait = \"1s\"\n"));
    let error = error.expect_err("a shortest wait above the longest was accepted");
    assert!(error.contains("decisions.shortest_wait"), "{error}");
}

fn check_every_range() {
    for limit in DSR_LIMITS {
        let values = match limit.range {
            Range::Time(_, _, maximum) => {
                let above = maximum + std::time::Duration::from_secs(1);
                vec![humantime::format_duration(above).to_string()]
            }
            Range::Count(_, minimum, maximum) => vec![
                minimum
                    .checked_sub(1)
                    .map_or_else(|| (maximum + 1).to_string(), |v| v.to_string()),
                (maximum + 1).to_string(),
            ],
            Range::Real(_, minimum, maximum) => {
                vec![(minimum - 0.5).to_string(), (maximum + 0.5).to_string()]
            }
        };
        for value in values {
            let error = parse(&with_value(limit.key, &value)).expect_err(limit.key);
            assert!(
                error.contains(limit.key),
                "{} = {value}: {error}",
                limit.key
            );
        }
    }
}

fn keys(path: &str, value: &Value, out: &mut Vec<(String, Value)>) {
    match value {
        Value::Table(table) => {
            for (key, value) in table {
                keys(format!("{path}.{key}").trim_start_matches('.'), value, out);
            }
        }
        other => out.push((path.to_owned(), other.clone())),
    }
}

fn all_keys() -> Vec<(String, Value)> {
    let text =
        MINIMAL.replace("peers =", "metrics = \"127.0.0.1:5\"\npeers =") + "[log]\nfile = \"x\"\n";
    let settings =
        Value::try_from(parse(&text).expect("settings are not valid")).expect("not a table");
    let mut out = Vec::new();
    keys("", &settings, &mut out);
    out
}

fn check_every_number() {
    for (key, value) in all_keys() {
        let text = value.as_str().unwrap_or_default();
        let number = value.is_integer() || value.is_float();
        let number = number || humantime::parse_duration(text).is_ok();
        let limited = DSR_LIMITS.iter().any(|limit| limit.key == key);
        assert!(limited || !number, "{key} = {value} has no range");
    }
}

fn check_unknown_keys() {
    for table in [
        "instance",
        "listen",
        "store",
        "peers",
        "shutdown",
        "log",
        "decisions",
    ] {
        let mut settings =
            Value::try_from(parse(MINIMAL).expect("settings are not valid")).expect("not a table");
        settings[table]
            .as_table_mut()
            .expect("not a table")
            .insert("colour".to_owned(), Value::Integer(1));
        let error = parse(&toml::to_string(&settings).expect("settings cannot be encoded"))
            .expect_err(table);
        assert!(error.contains("unknown field `colour`"), "{table}: {error}");
    }
}

fn read(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("..").join(file);
    std::fs::read_to_string(path).expect(file)
}

fn check_reference() {
    let page = read("docs/settings-dsr.md");
    for (key, _) in all_keys() {
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{key}` |")));
        let row = row.unwrap_or_else(|| panic!("{key} is missing on the reference page"));
        if let Some(limit) = DSR_LIMITS.iter().find(|limit| limit.key == key) {
            assert!(row.contains(&limit.allowed()), "{row}: {}", limit.allowed());
        }
    }
}

/// Returns a value that the platform may insert into the template for a setting.
fn example_value(key: &str) -> &'static str {
    match key {
        "name" => "\"front-a-1\"",
        "zone" => "\"a\"",
        "seeds" => "[\"10.1.0.10:8166\",\"10.2.0.40:8166\"]",
        "drain_bound" | "config_bound" => "\"3000ms\"",
        "clients" | "readiness" | "peers" | "metrics" | "address" => "\"10.1.0.10:8167\"",
        other => panic!("the template sets {other}, which has no example value"),
    }
}

fn check_template() {
    let template = read("deploy/settings.template");
    // A section that covers a whole line is left out where the platform has no value.
    let lines = template.lines().map(|line| match line.strip_prefix("{{#") {
        Some(section) => {
            let (name, rest) = section.split_once("}}").expect("a name");
            let end = format!("{{{{/{name}}}}}");
            rest.strip_suffix(end.as_str())
                .expect("the end of the section")
        }
        None => line,
    });
    let lines = lines.map(|line| match line.split_once(" = ") {
        Some((key, placeholder)) => {
            assert!(
                placeholder.contains("{{") && placeholder.contains("}}"),
                "{line}"
            );
            format!("{key} = {}\n", example_value(key))
        }
        None => format!("{line}\n"),
    });
    parse(&lines.collect::<String>()).expect("settings are not valid");
}
