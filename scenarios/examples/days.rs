//! Plays days of the emulated platform and prints what was served, as a markdown table.

use std::path::{
    Path,
    PathBuf, //
};
use std::process::ExitCode;

use anyhow::{
    Context,
    bail, //
};
use lovagespindle_scenarios::dsr::{
    Day,
    Policy,
    Report,
    Site,
    World,
    compare,
    plot, //
};

const HELP: &str = "\
days: plays days of the emulated platform

Usage: days [--site SITE] [--day DAY]... [--seeds N] [--first SEED] [--svg FILE] [--detail]
       days --compare [--site SITE] [--day DAY] [--seeds N]
       days --hunt N [--first SEED] [--pooled] [--restored]

  --site SITE   waipuna (default), tsb, padana, drawn:N for deployment N, or pooled:N for the same
                with flows that clients keep
  --day DAY     quiet (default), drawn:N for day N, or a TOML file
  --seeds N     seeds to play (default 1); the table shows the mean
  --first SEED  the first seed (default 1)
  --svg FILE    draws the share served over the first day, a line for each policy
  --detail      also shows classes, zones and imbalance under the decisions, for the first seed
  --compare     the decisions against taking backend servers in turn, with a 95 % interval
  --hunt N      N drawn days on drawn deployments; prints the rules that were broken
  --pooled      with --hunt: clients keep their flows for later requests
  --restored    with --hunt: on each day, the store is also restored from a copy

Exit codes: 0 ok, 1 failure or a broken rule.
";

fn main() -> ExitCode {
    match run(pico_args::Arguments::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("days: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether no rule was broken.
fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<bool> {
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(true);
    }
    let pooled = arguments.contains("--pooled");
    let restored = arguments.contains("--restored");
    let detailed = arguments.contains("--detail");
    let compared = arguments.contains("--compare");
    let hunted: Option<u64> = arguments.opt_value_from_str("--hunt")?;
    let site: Option<String> = arguments.opt_value_from_str("--site")?;
    let days: Vec<String> = arguments.values_from_str("--day")?;
    let count: u64 = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let first: u64 = arguments.opt_value_from_str("--first")?.unwrap_or(1);
    let svg: Option<PathBuf> = arguments.opt_value_from_str("--svg")?;
    if let Some(other) = arguments.finish().into_iter().next() {
        bail!("unknown argument {other:?}; see days --help");
    }
    if let Some(count) = hunted {
        return Ok(hunt(first..first + count, pooled, restored));
    }
    let site = parse_site(site.as_deref().unwrap_or("waipuna"))?;
    let days = match days.is_empty() {
        true => vec!["quiet".to_owned()],
        false => days,
    };
    let days: anyhow::Result<Vec<Day>> = days.iter().map(|day| parse_day(&site, day)).collect();
    let (days, seeds) = (days?, first..first + count);
    if compared {
        return Ok(print_comparison(&site, &days, seeds));
    }
    let clean = print_table(&site, &days, seeds, svg.as_deref())?;
    if detailed {
        print_details(&site, &days, first);
    }
    Ok(clean)
}

fn parse_site(text: &str) -> anyhow::Result<Site> {
    match text.split_once(':') {
        Some(("drawn", number)) => Ok(Site::drawn(number.parse().context("--site")?)),
        Some(("pooled", number)) => Ok(Site::pooled(number.parse().context("--site")?)),
        None if text == "waipuna" => Ok(Site::waipuna()),
        None if text == "tsb" => Ok(Site::tsb()),
        None if text == "padana" => Ok(Site::padana()),
        _ => bail!("unknown site {text:?}; see days --help"),
    }
}

fn parse_day(site: &Site, text: &str) -> anyhow::Result<Day> {
    match text.split_once(':') {
        Some(("drawn", number)) => Ok(Day::drawn(site, number.parse().context("--day")?)),
        None if text == "quiet" => Ok(Day::quiet()),
        _ => Ok(Day::load(Path::new(text))?),
    }
}

fn policies() -> [(&'static str, Policy); 3] {
    [
        ("in turn", Policy::InTurn),
        ("decisions", Policy::Decisions(Box::default())),
        ("omniscient", Policy::Omniscient),
    ]
}

fn print_table(
    site: &Site,
    days: &[Day],
    seeds: std::ops::Range<u64>,
    svg: Option<&Path>,
) -> anyhow::Result<bool> {
    println!(
        "| day | policy | served | worst windows | worst zone | worst class | lost, by cause | \
         broken rules | channels a request | store calls | questions | probes |"
    );
    println!("|---|---|---:|---:|---:|---:|---|---:|---:|---:|---:|---:|");
    let (mut clean, mut drawn) = (true, Vec::new());
    for day in days {
        for (name, policy) in policies() {
            let worlds: Vec<World> = seeds
                .clone()
                .map(|seed| World::play(site, day, policy.clone(), seed))
                .collect();
            let breaches: usize = worlds.iter().map(|world| world.breaches().len()).sum();
            clean &= breaches == 0 || name != "decisions";
            let reports: Vec<Report> = worlds.iter().map(World::report).collect();
            print_row(&day.name, name, &reports, breaches);
            if name == "decisions" {
                print_breaches(&worlds);
            }
            drawn.extend(
                reports
                    .into_iter()
                    .next()
                    .map(|first| (name.to_owned(), first)),
            );
        }
    }
    if let Some(path) = svg {
        drawn.truncate(policies().len());
        let title = format!("{}, {}: share served", site.name, days[0].name);
        std::fs::write(path, plot(&title, &drawn)).with_context(|| format!("{path:?}"))?;
    }
    Ok(clean)
}

fn print_details(site: &Site, days: &[Day], seed: u64) {
    println!("\n| day | class | served | median ms | 99th percentile ms |");
    println!("|---|---|---:|---:|---:|");
    let [_, decisions, _] = policies();
    let reports: Vec<(&Day, Report)> = days
        .iter()
        .map(|day| {
            (
                day,
                World::play(site, day, decisions.1.clone(), seed).report(),
            )
        })
        .collect();
    for (day, report) in &reports {
        for class in &report.classes {
            let (name, served) = (&class.name, class.served);
            let (median, p99) = (class.median, class.p99);
            println!("| {} | {name} | {served:.4} | {median} | {p99} |", day.name);
        }
    }
    println!("\n| day | busiest backend server over the mean, by windows of 2 s |\n|---|---|");
    for (day, report) in &reports {
        let ratios: Vec<String> = report.balance.iter().map(|r| format!("{r:.1}")).collect();
        println!("| {} | {} |", day.name, ratios.join(" "));
    }
    println!("\n| day | served by zone of clients | imbalance |\n|---|---|---:|");
    for (day, report) in &reports {
        let zones: Vec<String> = report
            .zones
            .iter()
            .map(|share| format!("{share:.4}"))
            .collect();
        println!(
            "| {} | {} | {:.2} |",
            day.name,
            zones.join(", "),
            report.imbalance
        );
    }
}

fn print_breaches(worlds: &[World]) {
    for breach in worlds.iter().flat_map(World::breaches).take(20) {
        eprintln!("{:.3} {}: {}", breach.at, breach.rule, breach.text);
    }
}

fn print_row(day: &str, policy: &str, reports: &[Report], breaches: usize) {
    let count = reports.len().max(1) as f64;
    let mean = |get: fn(&Report) -> f64| reports.iter().map(get).sum::<f64>() / count;
    let mut losses = std::collections::BTreeMap::new();
    for (loss, lost) in reports.iter().flat_map(|report| &report.losses) {
        *losses.entry(loss.to_string()).or_insert(0) += lost;
    }
    let losses: Vec<String> = losses
        .iter()
        .map(|(loss, lost)| format!("{loss} {lost}"))
        .collect();
    println!(
        "| {day} | {policy} | {:.4} | {:.3} | {:.4} | {:.4} | {} | {breaches} | {:.3} | {:.0} | \
         {:.0} | {:.0} |",
        mean(|r| r.served),
        mean(|r| r.worst_windows),
        mean(|r| r.worst_zone),
        mean(|r| r.worst_class),
        losses.join(", "),
        mean(|r| r.channels as f64) / mean(|r| r.requests as f64).max(1.0),
        mean(|r| r.store_calls as f64),
        mean(|r| r.peer_calls as f64),
        mean(|r| r.probes as f64),
    );
}

fn print_comparison(site: &Site, days: &[Day], seeds: std::ops::Range<u64>) -> bool {
    println!("| day | in turn | decisions | gain | 95 % interval | broken rules |");
    println!("|---|---:|---:|---:|---:|---:|");
    let [in_turn, decisions, _] = policies();
    let mut clean = true;
    for day in days {
        let found = compare(site, day, (&in_turn.1, &decisions.1), seeds.clone());
        clean &= found.breaches.1 == 0;
        println!(
            "| {} | {:.4} | {:.4} | {:+.4} | {:+.4} to {:+.4} | {}, {} |",
            day.name,
            found.means.0,
            found.means.1,
            found.gain,
            found.gain - found.margin,
            found.gain + found.margin,
            found.breaches.0,
            found.breaches.1,
        );
    }
    clean
}

/// Plays drawn days on drawn deployments.
fn hunt(seeds: std::ops::Range<u64>, pooled: bool, restored: bool) -> bool {
    let mut clean = true;
    println!("| deployment | zones | instances | served | omniscient | broken rules |");
    println!("|---|---:|---:|---:|---:|---|");
    for seed in seeds {
        let site = match pooled {
            true => Site::pooled(seed),
            false => Site::drawn(seed),
        };
        let day = match restored {
            true => Day::drawn_with_restoration(&site, seed),
            false => Day::drawn(&site, seed),
        };
        let [_, decisions, omniscient] = policies();
        let world = World::play(&site, &day, decisions.1, seed);
        let bound = World::play(&site, &day, omniscient.1, seed).report();
        let mut rules: Vec<String> = world
            .breaches()
            .iter()
            .map(|b| b.rule.to_string())
            .collect();
        rules.dedup();
        println!(
            "| {} | {} | {} | {:.4} | {:.4} | {} |",
            site.name,
            site.zones(),
            site.instances(),
            world.report().served,
            bound.served,
            rules.join(", "),
        );
        clean &= rules.is_empty();
        print_breaches(std::slice::from_ref(&world));
    }
    clean
}
