//! Days of the emulated platform: the rules hold on drawn days and on deployments of all sizes, and
//! the emulator accounts for each request.

use lovagespindle_decisions::dsr::settings::Settings;
use lovagespindle_scenarios::dsr::{
    Day,
    Fault,
    Policy,
    Report,
    Rule,
    Site,
    Trouble,
    World,
    compare,
    plot, //
};
use strum::IntoEnumIterator;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $check:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $check })*
    };
}

cases! {
    /// Guards against requests lost on a day without troubles.
    quiet_days_are_served => {
        for site in [Site::waipuna(), Site::tsb()] {
            let report = play(&site, &Day::quiet(), 1);
            assert!(report.served >= 0.985, "{}: {}", site.name, report.served);
        }
    };
    /// Guards against rules that are broken under troubles at any moment.
    drawn_days_break_no_rule => {
        for seed in 1..=12 {
            for site in [Site::waipuna(), Site::tsb()] {
                play(&site, &Day::drawn(&site, seed), seed);
            }
        }
    };
    /// Guards against a store that was restored from a copy: changes that are lost for good, and
    /// backend servers, zones or routes that come back.
    days_with_a_restored_store_break_no_rule => {
        for seed in 1..=12 {
            for site in [Site::waipuna(), Site::tsb()] {
                play(&site, &Day::drawn_with_restoration(&site, seed), seed);
            }
        }
    };
    /// Guards against decisions that fit only the deployments that were measured.
    drawn_deployments_break_no_rule => {
        for seed in 1..=12 {
            let site = Site::drawn(seed);
            play(&site, &Day::drawn(&site, seed), seed);
        }
    };
    /// Guards against an emulator that drops the timers of a frozen instance: after waking, it would
    /// never ask for updates again and use backend servers that have left.
    woken_instances_ask_for_updates => {
        for seed in [5_040, 7_007] {
            let site = Site::drawn(seed);
            play(&site, &Day::drawn(&site, seed), seed);
        }
    };
    /// Guards against a judge that counts resets of an instance that is cut off from all backend
    /// servers for longer than the time after which others count as undisturbed.
    instances_cut_off_from_servers_may_reset_flows => {
        let site = Site::drawn(30_054);
        play(&site, &Day::drawn(&site, 30_054), 30_054);
    };
    /// Guards against a judge that counts the refusal of a new route while every zone with backend
    /// servers of its service is evacuated.
    services_in_evacuated_zones_may_be_refused => {
        for seed in [25_092, 45_130, 45_145] {
            let site = Site::drawn(seed);
            play(&site, &Day::drawn(&site, seed), seed);
        }
    };
    /// Guards against rules that are broken on flows that clients keep for later requests: their
    /// backend server may leave, die or be cut off between two of them.
    kept_flows_break_no_rule => {
        for seed in 1..=12 {
            let site = Site::pooled(seed);
            play(&site, &Day::drawn(&site, seed), seed);
        }
    };
    /// Guards against callers with long flows that wait where they could be served: on each standard
    /// day, at most a quarter of what the omniscient policy gains over backend servers in turn may
    /// be missed. Also guards against a bound that is none.
    long_flows_come_near_the_bound => {
        for name in ["trouble-1", "trouble-2", "trouble-3", "scale-2"] {
            let file = format!("{}/days/padana-{name}.toml", env!("CARGO_MANIFEST_DIR"));
            let day = Day::load(std::path::Path::new(&file)).expect("a day");
            let decisions = Policy::Decisions(Box::default());
            let [in_turn, served, bound] = [Policy::InTurn, decisions, Policy::Omniscient]
                .map(|policy| mean_served(&Site::padana(), &day, &policy));
            let missed = bound - served;
            assert!(missed > -0.002, "{name}: {served} of {bound}");
            assert!(missed <= (bound - in_turn) / 4.0, "{name}: {in_turn}, {served}, {bound}");
        }
    };
    /// Guards against a single fault, of any kind, that breaks a rule or ends the service.
    each_fault_is_survived => {
        for fault in Fault::iter() {
            let report = play(&Site::waipuna(), &day(fault), 3);
            assert!(report.served >= 0.9, "{fault}: {}", report.served);
        }
    };
    /// Guards against requests that the emulator forgets.
    requests_are_accounted_for => {
        for seed in 1..=6 {
            let report = play(&Site::tsb(), &Day::drawn(&Site::tsb(), seed), seed);
            let lost: u64 = report.losses.values().sum();
            assert_eq!(report.answered + lost, report.requests);
        }
    };
    /// Guards against a balance that leaves out windows, or counts flows where clients keep them.
    balance_is_sampled_over_the_day => {
        let balance = play(&Site::padana(), &Day::quiet(), 1).balance;
        assert!((24..=26).contains(&balance.len()), "{balance:?}");
        assert!(balance.iter().all(|ratio| (1.0..=14.0).contains(ratio)), "{balance:?}");
    };
    /// Guards against an emulator whose days cannot be played again.
    days_repeat => {
        let day = Day::drawn(&Site::tsb(), 5);
        let [first, second] = [5, 5].map(|seed| play(&Site::tsb(), &day, seed));
        assert_eq!(format!("{first:?}"), format!("{second:?}"));
    };
    /// Guards against an emulator that cannot tell policies apart, and against evidence about silent
    /// backend servers that brings nothing.
    evidence_helps_against_silent_servers => {
        let decisions = Policy::Decisions(Box::default());
        let policies = (&Policy::InTurn, &decisions);
        let found = compare(&Site::waipuna(), &day(Fault::ServerGone), policies, 1..=5);
        assert!(found.gain > found.margin, "{found:?}");
    };
    /// Guards against judges that see nothing: without a wait, the backend servers of a zone that
    /// comes back cold are used at once by those who have not read that they are cold.
    broken_rules_are_seen => {
        let settings = Settings {
            zone_return: std::time::Duration::ZERO,
            ..Settings::default()
        };
        let policy = Policy::Decisions(Box::new(settings));
        let world = World::play(&Site::tsb(), &day(Fault::Evacuate), policy, 1);
        let cold = world.breaches().iter().filter(|breach| breach.rule == Rule::Cold);
        assert!(cold.count() > 0, "{:?}", world.breaches());
    };
    /// Guards against a plot that no viewer opens.
    plots_are_closed => {
        let report = play(&Site::tsb(), &Day::quiet(), 1);
        let svg = plot("a < b", &[("decisions".to_owned(), report)]);
        assert!(svg.starts_with("<svg") && svg.ends_with("</svg>\n"));
        assert!(svg.contains("a &lt; b") && svg.contains("polyline"));
    };
    /// Guards against day files that are not understood.
    day_files_are_valid => {
        let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("days");
        let files = std::fs::read_dir(folder).expect("a folder");
        let days = files.map(|file| Day::load(&file.expect("a file").path()).expect("a day"));
        for day in days {
            play(&Site::tsb(), &day, 1);
        }
    };
}

fn day(fault: Fault) -> Day {
    Day {
        name: fault.to_string(),
        troubles: vec![Trouble {
            at: 8.0,
            fault,
            lasts: 4.0,
            share: 0.3,
        }],
        closing: false,
    }
}

/// Returns the mean share served over five seeds.
fn mean_served(site: &Site, day: &Day, policy: &Policy) -> f64 {
    let served = (1..=5).map(|seed| World::play(site, day, policy.clone(), seed).report().served);
    served.sum::<f64>() / 5.0
}

/// Plays a day that must break no rule.
fn play(site: &Site, day: &Day, seed: u64) -> Report {
    let world = World::play(site, day, Policy::Decisions(Box::default()), seed);
    let breaches = world.breaches();
    assert!(
        breaches.is_empty(),
        "{} {} {seed}: {breaches:?}",
        site.name,
        day.name
    );
    world.report()
}
