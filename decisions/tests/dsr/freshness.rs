//! Tests of when an instance asks the store itself.

use lovagespindle_decisions::Time;
use lovagespindle_decisions::dsr::freshness::Freshness;

use crate::rig::{
    cases,
    ms, //
};

const CONFIRMED: Time = Time::from_millis(10_000);

/// The timeout of a call, and the longest pause before the next one.
const FAILED_CALL: u64 = 700 + 75;

cases! {
    /// Guards against an instance that asks so late that one lost answer breaks the bound.
    second_call_fits_into_the_bound => {
        for bound in [3_000, 5_000, 6_000, 17_000] {
            let latest = Freshness::new(1.0).call_at(CONFIRMED, ms(bound));
            assert!(latest + ms(FAILED_CALL) < CONFIRMED + ms(bound), "{bound}");
        }
    }

    /// Guards against calls while a parent that failed is replaced: 1 s since the last confirmation,
    /// and two requests of which the first times out after 0.9 s.
    replacement_of_a_parent_causes_no_call_in_large_fleets => {
        let earliest = Freshness::new(0.0).call_at(CONFIRMED, ms(5_000));
        assert!(earliest > CONFIRMED + ms(1_000 + 900 + 500));
    }

    /// Guards against a fleet that calls the store at one moment after it lost it together.
    calls_are_spread => {
        let [first, last] = [0.0, 1.0].map(|s| Freshness::new(s).call_at(CONFIRMED, ms(17_000)));
        assert!(last.since(first) >= ms(2_000));
    }
}
