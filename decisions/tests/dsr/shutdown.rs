//! Planned stops: when the process of an instance may end.

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::shutdown::{
    Shutdown,
    ShutdownSettings, //
};

use crate::rig::{
    cases,
    ms, //
};

const START: Time = Time::from_millis(1_000);

/// Returns a shutdown whose routers checked it twice, half a second apart, and sent the last packet
/// `last_packet` ms after the start.
fn checked_twice(last_packet: u64) -> Shutdown {
    let mut shutdown = Shutdown::new(START);
    shutdown.record_failed_check();
    shutdown.record_failed_check();
    shutdown.record_packet(START + ms(last_packet));
    shutdown
}

cases! {
    /// Guards against packets that reach an ended process while a second instance of the zone stops
    /// as well: the routers then use all instances again.
    process_runs_while_packets_arrive => {
        let settings = ShutdownSettings::default();
        for last_packet in (1_000..4_600).step_by(200) {
            let shutdown = checked_twice(last_packet);
            assert!(!shutdown.is_complete(START + ms(last_packet + 200), &settings));
        }
    }

    /// Guards against a stop that outlasts the routers' use of the instance, so that the next
    /// instance stops before this one is back.
    process_ends_soon_after_the_last_packet => {
        let settings = ShutdownSettings::default();
        assert!(checked_twice(1_000).is_complete(START + ms(1_300), &settings));
    }

    /// Guards against an end between two checks: the routers still send packets, although none came
    /// for a moment.
    process_waits_for_two_checks => {
        let settings = ShutdownSettings::default();
        let mut shutdown = Shutdown::new(START);
        shutdown.record_failed_check();
        assert!(!shutdown.is_complete(START + ms(900), &settings));
    }

    /// Guards against a process that the platform kills while it forwards packets, and against one
    /// that waits for checks that never come.
    process_ends_before_it_is_killed => {
        let settings = ShutdownSettings::default();
        assert!(checked_twice(4_900).is_complete(START + ms(5_000), &settings));
        assert!(Shutdown::new(START).is_complete(START + ms(5_000), &settings));
    }
}
