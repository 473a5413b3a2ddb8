//! Who reads the store, who asks whom, and what is done when they fail.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_mesh::feed::{
    FeedCandidate, FeedRole, FeedTree, ReadReason, ReadSchedule, ReadScheduleInputs, SoloReads, SourceChoice,
    StoreAccessLoss, FANOUT, PARTITION_TIMEOUT,
};
use quillhatch_mesh::targets::{Registration, Target};
use quillhatch_types::Timestamp;
use test_case::test_case;

use crate::{registration, BOUNDS};

const fn ms(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

/// `each` machines in each of `zones`.
fn fleet(zones: usize, each: usize) -> Vec<Arc<Target>> {
    let mut targets = Vec::new();
    for zone in 0..zones {
        for number in 0..each {
            let address = format!("10.{zone}.{}.{}:80", number / 250, number % 250);
            let registration = registration("alpha", &address, &format!("zone-{zone}"));
            let id = Arc::from(format!("t{zone}-{number}"));
            let (cold_until, listed_at) = (Timestamp::ZERO, Timestamp::ZERO);
            targets.push(Arc::new(Target { id, registration, cold_until, listed_at }));
        }
    }
    targets
}

fn places(targets: &[Arc<Target>]) -> HashMap<IpAddr, FeedRole> {
    let tree = FeedTree::new(targets.iter());
    let place = |target: &Arc<Target>| {
        let machine = target.registration.address.ip();
        (machine, tree.role_of(machine, &target.registration.zone))
    };
    targets.iter().map(place).collect()
}

#[test_case(1, 2, 2; "as many as there are")]
#[test_case(3, 4, 3; "three zones")]
#[test_case(1, 100, 3; "one zone")]
#[test_case(5, 200, 3; "five zones")]
#[test_case(15, 1000, 3; "a large fleet")]
fn few_nodes_read_the_store(zones: usize, each: usize, readers: usize) {
    let targets = fleet(zones, each);
    let places = places(&targets);
    assert_eq!(places.values().filter(|place| place.is_reader).count(), readers);
}

#[test_case(3, 4, 1)]
#[test_case(5, 200, 3)]
#[test_case(15, 1000, 4)]
fn each_node_is_a_few_steps_from_a_reader_and_few_ask_one(zones: usize, each: usize, deepest: usize) {
    let targets = fleet(zones, each);
    let places = places(&targets);
    let mut askers: HashMap<IpAddr, usize> = HashMap::new();
    for (machine, place) in &places {
        let (mut at, mut steps) = (*machine, 0);
        while !places[&at].is_reader {
            at = places[&at].candidates[0].machine;
            steps += 1;
            assert!(steps <= deepest, "{machine} is {steps} steps from a reader");
        }
        *askers.entry(place.candidates[0].machine).or_default() += 1;
        assert!(place.candidates.iter().all(|candidate| candidate.machine != *machine), "{machine} asks itself");
    }
    // A reader is asked by its zone's nodes, by another reader and by its part of the other heads.
    let heads = zones.saturating_sub(3).div_ceil(3);
    assert!(askers.values().all(|count| *count <= FANOUT + 1 + heads), "{askers:?}");
}

#[test]
fn readers_ask_each_other_in_a_ring() {
    let targets = fleet(5, 50);
    let places = places(&targets);
    let readers: HashSet<IpAddr> =
        places.iter().filter(|(_, place)| place.is_reader).map(|(machine, _)| *machine).collect();
    let mut at = *readers.iter().next().expect("a reader");
    let mut seen = HashSet::new();
    while seen.insert(at) {
        at = places[&at].candidates[0].machine;
        assert!(readers.contains(&at));
    }
    assert_eq!(seen, readers, "the ring goes round all readers");
}

#[test]
fn the_children_of_a_lost_parent_spread() {
    let targets = fleet(1, 1000);
    let places = places(&targets);
    let mut first: HashMap<IpAddr, Vec<&FeedRole>> = HashMap::new();
    for place in places.values().filter(|place| !place.is_reader) {
        first.entry(place.candidates[0].machine).or_default().push(place);
    }
    for (parent, children) in first {
        let second: HashSet<IpAddr> = children.iter().map(|place| place.candidates[1].machine).collect();
        assert!(!second.contains(&parent));
    }
}

#[test]
fn a_leaving_machine_reads_no_longer_and_the_next_one_does() {
    let mut targets = fleet(3, 10);
    let reader = places(&targets).into_iter().find(|(_, place)| place.is_reader).map(|(machine, _)| machine);
    let reader = reader.expect("a reader");
    for target in &mut targets {
        if target.registration.address.ip() == reader {
            let registration = Registration { draining: true, ..target.registration.clone() };
            *target = Arc::new(Target { registration, ..Target::clone(target) });
        }
    }
    let places = places(&targets);
    assert!(!places[&reader].is_reader);
    assert!(!places[&reader].candidates.is_empty(), "it still follows others");
    assert_eq!(places.values().filter(|place| place.is_reader).count(), 3);
    assert!(places.values().flat_map(|place| &place.candidates).all(|candidate| candidate.machine != reader));
}

#[test]
fn a_machine_that_is_not_listed_yet_follows_others() {
    let targets = fleet(3, 10);
    let tree = FeedTree::new(targets.iter());
    for number in 100..140 {
        let place = tree.role_of(format!("10.0.0.{number}").parse().expect("an address"), "zone-0");
        assert!(!place.is_reader && !place.candidates.is_empty(), "{place:?}");
    }
}

fn machines(count: u8) -> Vec<FeedCandidate> {
    let candidate = |number| FeedCandidate { machine: IpAddr::from([10, 0, 0, number]), is_upstream: true };
    (1..=count).map(candidate).collect()
}

#[test]
fn nobody_follows_in_a_circle() {
    let places = places(&fleet(5, 200));
    for (machine, place) in &places {
        for candidate in place.candidates.iter().filter(|candidate| candidate.is_upstream) {
            let back = places[&candidate.machine].candidates.iter().find(|other| other.machine == *machine);
            assert!(back.is_none_or(|back| !back.is_upstream), "{machine} and {} follow each other", candidate.machine);
        }
        assert!(place.is_reader || place.candidates[0].is_upstream, "{place:?}");
    }
}

#[test]
fn a_source_that_fails_is_left_and_tried_again_later() {
    let candidates = machines(3);
    let mut choice = SourceChoice::default();
    assert_eq!(choice.next(&candidates, ms(0)), Some(candidates[0]));
    choice.failed(ms(1000));
    assert_eq!(choice.next(&candidates, ms(1000)), Some(candidates[1]));
    assert!(choice.is_searching(), "it is not known whether the next one is well");
    choice.answered();
    assert!(!choice.is_searching());
    assert_eq!(choice.next(&candidates, ms(2000)), Some(candidates[1]), "it stays for a while");
    assert_eq!(choice.next(&candidates, ms(9000)), Some(candidates[0]));
    assert!(choice.is_searching(), "a silent one is not to hold the question");
    choice.failed(ms(9100));
    assert_eq!(choice.next(&candidates, ms(9100)), Some(candidates[1]));
    assert!(!choice.all_failed(&candidates));
    choice.failed(ms(9200));
    choice.failed(ms(9300));
    assert!(choice.all_failed(&candidates));
    assert_eq!(choice.next(&candidates, ms(9400)), Some(candidates[0]), "round again");
    assert_eq!(choice.next(&[], ms(9400)), None);
}

#[test]
fn two_nodes_with_only_each_others_word_are_both_cut_off() {
    let mut loss = StoreAccessLoss::default();
    loss.store_call_failed(ms(1000), Some(ms(900)));
    loss.source_available(Some(ms(900)));
    assert_eq!(loss.since(), Some(ms(1000)), "what the other one tells was read before the store went");
    assert!(loss.is_partitioned(ms(1000) + PARTITION_TIMEOUT));
    loss.source_available(Some(ms(1100)));
    assert_eq!(loss.since(), None, "someone has read it since");
}

#[test]
fn a_node_that_alone_is_turned_away_sees_no_outage() {
    let mut loss = StoreAccessLoss::default();
    loss.store_call_failed(ms(1000), Some(ms(1200)));
    assert_eq!(loss.since(), None, "someone has read the store after the call was sent");
    loss.store_call_failed(ms(2000), Some(ms(1200)));
    assert_eq!((loss.since(), loss.outage_since()), (Some(ms(2000)), None));
    assert_eq!(loss.source_available(Some(ms(2500))), None);
    assert_eq!(loss.since(), None);
}

#[test]
fn an_outage_is_as_long_as_it_was_for_those_that_read() {
    let mut loss = StoreAccessLoss::default();
    loss.all_sources_failed(ms(2000));
    loss.all_sources_failed(ms(1500));
    loss.store_call_failed(ms(3000), None);
    assert_eq!(loss.source_available(Some(ms(2900))), None, "its own call has failed since");
    assert_eq!(loss.store_read(), Some(ms(1500)));
    assert_eq!(loss.store_read(), None);
    assert!(!loss.is_partitioned(ms(9000)));
}

#[test_case(true, None, ReadSchedule::Now(ReadReason::Once); "others have read the store since")]
#[test_case(true, Some(500), ReadSchedule::After(Duration::from_millis(300)); "nobody can, as far as it knows")]
#[test_case(false, None, ReadSchedule::OnChange; "no call has failed")]
fn a_node_whose_call_has_failed_calls_again_once_others_can(
    own_call_failed: bool,
    lost_at: Option<u64>,
    expected: ReadSchedule,
) {
    let mut loss = StoreAccessLoss::default();
    if let Some(at) = lost_at {
        loss.store_call_failed(ms(at), None);
    }
    let place = FeedRole { nodes_ahead: 0, candidates: machines(2), ..FeedRole::default() };
    let inputs = ReadScheduleInputs {
        has_view: true,
        must_probe: false,
        own_call_failed,
        role: &place,
        loss,
        store_read_at: None,
        is_isolated: false,
        solo_reads: SoloReads::default(),
        proof_renewal_in: None,
        jitter: 0.0,
    };
    assert_eq!(inputs.schedule(&BOUNDS, ms(500)), expected);
}
