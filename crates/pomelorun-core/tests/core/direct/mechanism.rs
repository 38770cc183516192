//! Switches of mechanisms.

use pomelorun_core::direct::{Disabled, Mechanism};

#[test]
fn each_mechanism_can_be_switched_off_by_its_name() {
    for it in Mechanism::ALL {
        assert_eq!(format!("{it:?}").parse(), Ok(Disabled::new(vec![*it])));
    }
    let both = Disabled::new(vec![Mechanism::Suspicion, Mechanism::ZoneProbe]);
    assert_eq!(" ZoneProbe,Suspicion ,Suspicion".parse(), Ok(both));
}

#[test]
fn nothing_is_switched_off_by_default() {
    assert_eq!("".parse(), Ok(Disabled::default()));
}

#[test]
fn unknown_names_are_rejected_and_named() {
    let error = "ZoneProbe,Luck".parse::<Disabled>().unwrap_err();
    assert_eq!(error.to_string(), "unknown mechanism `Luck`");
}
