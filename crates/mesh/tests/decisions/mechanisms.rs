//! Switching off mechanisms.

use quillhatch_mesh::mechanisms::{Mechanism, Mechanisms};

#[test]
fn each_mechanism_is_switched_off_by_its_name_alone() {
    for mechanism in Mechanism::ALL {
        let mechanisms = Mechanisms::without(mechanism.name()).expect("a known name");
        for other in Mechanism::ALL {
            assert_eq!(mechanisms.is_enabled(other), other != mechanism, "{mechanism:?} and {other:?}");
        }
        assert_eq!(mechanisms.disabled_names(), mechanism.name());
    }
    assert!(Mechanism::ALL.into_iter().all(|mechanism| Mechanisms::default().is_enabled(mechanism)));
}

#[test]
fn several_mechanisms_are_separated_by_commas_and_unknown_names_are_reported() {
    let mechanisms = Mechanisms::without("repeats, entry-cut").expect("known names");
    assert_eq!(mechanisms.disabled_names(), "entry-cut,repeats");
    let error = Mechanisms::without("repeats,hedges").expect_err("an unknown name").to_string();
    assert!(error.contains("\"hedges\"") && error.contains("slow-attempts"), "{error}");
}
