//! How long a configuration is assumed to be the newest one.

use std::time::Duration;

use quillhatch_mesh::freshness::{FreshnessLease, FreshnessProof};
use test_case::test_case;

use crate::milliseconds;

const REVOCATION: Duration = Duration::from_secs(5);
/// The duration of the lease: the bound less the maximum lag of a watch, reduced by one hundredth for clock drift.
const LEASE_MS: u64 = 3960;

fn lease() -> FreshnessLease {
    FreshnessLease::new(Some(REVOCATION), 0.0)
}

#[test]
fn without_a_bound_it_never_expires() {
    let lease = FreshnessLease::new(None, 0.0);
    assert!(lease.is_valid(milliseconds(1_000_000)));
    assert_eq!(lease.renew_in(milliseconds(0)), None);
}

#[test]
fn a_node_that_has_read_nothing_accepts_no_key() {
    assert!(!lease().is_valid(milliseconds(0)));
    assert_eq!(lease().renew_in(milliseconds(0)), Some(Duration::ZERO));
}

#[test]
fn it_starts_when_the_read_was_sent() {
    let mut lease = lease();
    lease.record_read(4, milliseconds(1000));
    assert!(lease.is_valid(milliseconds(1000 + LEASE_MS - 1)));
    assert!(!lease.is_valid(milliseconds(1000 + LEASE_MS)));
    lease.record_read(4, milliseconds(500));
    assert!(lease.is_valid(milliseconds(1000 + LEASE_MS - 1)), "an older read does not shorten the lease");
}

#[test_case(7, 7, true; "the same configuration")]
#[test_case(8, 7, true; "a newer one than that of the other node")]
#[test_case(6, 7, false; "an older one, which the proof is not about")]
#[test_case(0, 0, false; "no configuration")]
fn the_proof_of_another_node_counts_only_for_its_configuration(own: u64, proved: u64, counts: bool) {
    let mut lease = lease();
    lease.record_proof(FreshnessProof { version: proved, age_at_arrival_ms: 200 }, own, milliseconds(10_000));
    assert_eq!(lease.is_valid(milliseconds(10_001)), counts);
}

// A node that a restored store served renewed its lease on the older configuration by its own reads, although another
// node had proved a newer one.
#[test]
fn a_read_proves_nothing_about_a_configuration_older_than_another_nodes() {
    let mut lease = lease();
    lease.record_read(6, milliseconds(1_000));
    lease.record_proof(FreshnessProof { version: 7, age_at_arrival_ms: 200 }, 6, milliseconds(2_000));
    lease.record_read(6, milliseconds(4_000));
    assert!(lease.is_valid(milliseconds(1_000 + LEASE_MS - 1)), "an earlier proof holds");
    assert!(!lease.is_valid(milliseconds(1_000 + LEASE_MS)));
    lease.record_read(7, milliseconds(6_000));
    assert!(lease.is_valid(milliseconds(6_001)));
}

#[test]
fn ages_add_up_over_hops() {
    let (mut first, mut second, mut third) = (lease(), lease(), lease());
    first.record_read(4, milliseconds(10_000));
    // The clocks of the three nodes start at different times. Each call takes 40 ms to arrive and lasts 500 ms.
    let proof = first.proof(4, milliseconds(10_700)).expect("a proof");
    assert_eq!(proof.age_at_arrival_ms, 701);
    second.record_proof(proof, 4, milliseconds(20_660));
    let proof = second.proof(4, milliseconds(21_000)).expect("a proof");
    assert_eq!(proof.age_at_arrival_ms, 701 + 340 + 1);
    third.record_proof(proof, 4, milliseconds(30_000));
    assert_eq!(third.age(milliseconds(30_000)), Some(Duration::from_millis(1042)));
}

#[test]
fn a_proof_made_after_the_call_arrived_has_a_negative_age() {
    let (mut first, mut second) = (lease(), lease());
    first.record_read(4, milliseconds(10_000));
    let proof = first.proof(4, milliseconds(9_000)).expect("a proof");
    assert_eq!(proof.age_at_arrival_ms, -999);
    second.record_proof(proof, 4, milliseconds(50_000));
    assert_eq!(second.age(milliseconds(51_000)), Some(Duration::from_millis(1)));
}

#[test]
fn a_proof_from_before_the_start_of_the_process_keeps_its_age() {
    let mut lease = lease();
    lease.record_proof(FreshnessProof { version: 4, age_at_arrival_ms: 3900 }, 4, milliseconds(100));
    assert!(lease.is_valid(milliseconds(159)));
    assert!(!lease.is_valid(milliseconds(160)), "3.8 s before its start, the clock has no time");
}

#[test]
fn nodes_renew_before_the_lease_expires_and_at_different_times() {
    for jitter in [0.0, 0.5, 1.0] {
        let mut lease = FreshnessLease::new(Some(REVOCATION), jitter);
        lease.record_read(4, milliseconds(0));
        let at = lease.renew_in(milliseconds(0)).expect("a bound").as_millis() as u64;
        assert!((LEASE_MS / 2..LEASE_MS * 9 / 10).contains(&at), "{at}");
    }
}
