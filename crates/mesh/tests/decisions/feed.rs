//! Which nodes read the store, which nodes follow which, and what they do when others fail.

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

/// The targets of `each` machines in each of `zones` zones.
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

fn roles(targets: &[Arc<Target>]) -> HashMap<IpAddr, FeedRole> {
    let tree = FeedTree::new(targets.iter());
    let role = |target: &Arc<Target>| {
        let machine = target.registration.address.ip();
        (machine, tree.role_of(machine, &target.registration.zone))
    };
    targets.iter().map(role).collect()
}

#[test_case(1, 2, 2; "fewer nodes than readers")]
#[test_case(3, 4, 3; "three zones")]
#[test_case(1, 100, 3; "one zone")]
#[test_case(5, 200, 3; "five zones")]
#[test_case(15, 1000, 3; "a large fleet")]
fn the_store_has_few_readers(zones: usize, each: usize, readers: usize) {
    let targets = fleet(zones, each);
    let roles = roles(&targets);
    assert_eq!(roles.values().filter(|role| role.is_reader).count(), readers);
}

#[test]
fn readers_continue_at_different_times_after_the_first_of_several_changes() {
    let window = BOUNDS.batch_window();
    let roles = roles(&fleet(3, 4));
    let readers: Vec<&FeedRole> = roles.values().filter(|role| role.is_reader).collect();
    let mut pauses: Vec<Duration> = readers.iter().map(|role| role.batch_pause(false, &BOUNDS)).collect();
    pauses.sort_unstable();
    assert_eq!(pauses.len(), 3);
    assert!(pauses.windows(2).all(|pair| pair[1] - pair[0] >= window / 4), "{pauses:?}");
    assert_eq!(pauses[2], window, "no pause is longer than the window");
    assert!(readers.iter().all(|role| role.batch_pause(true, &BOUNDS) == window), "and no reader calls more often");
}

#[test_case(3, 4, 1)]
#[test_case(5, 200, 3)]
#[test_case(15, 1000, 4)]
fn each_node_is_a_few_steps_from_a_reader_and_few_nodes_query_the_same_one(
    zones: usize,
    each: usize,
    max_steps: usize,
) {
    let targets = fleet(zones, each);
    let roles = roles(&targets);
    let mut queriers: HashMap<IpAddr, usize> = HashMap::new();
    for (machine, role) in &roles {
        let (mut at, mut steps) = (*machine, 0);
        while !roles[&at].is_reader {
            at = roles[&at].candidates[0].machine;
            steps += 1;
            assert!(steps <= max_steps, "{machine} is {steps} steps from a reader");
        }
        *queriers.entry(role.candidates[0].machine).or_default() += 1;
        assert!(role.candidates.iter().all(|candidate| candidate.machine != *machine), "{machine} queries itself");
    }
    // A reader is queried by its children in its zone, by another reader and by its part of the other heads.
    let heads = zones.saturating_sub(3).div_ceil(3);
    assert!(queriers.values().all(|count| *count <= FANOUT + 1 + heads), "{queriers:?}");
}

#[test]
fn readers_query_each_other_in_a_ring() {
    let targets = fleet(5, 50);
    let roles = roles(&targets);
    let readers: HashSet<IpAddr> =
        roles.iter().filter(|(_, role)| role.is_reader).map(|(machine, _)| *machine).collect();
    let mut at = *readers.iter().next().expect("a reader");
    let mut seen = HashSet::new();
    while seen.insert(at) {
        at = roles[&at].candidates[0].machine;
        assert!(readers.contains(&at));
    }
    assert_eq!(seen, readers, "the ring contains all readers");
}

#[test]
fn the_children_of_a_lost_parent_are_spread_over_other_parents() {
    let targets = fleet(1, 1000);
    let roles = roles(&targets);
    let mut children_of: HashMap<IpAddr, Vec<&FeedRole>> = HashMap::new();
    for role in roles.values().filter(|role| !role.is_reader) {
        children_of.entry(role.candidates[0].machine).or_default().push(role);
    }
    for (parent, children) in children_of {
        let substitutes: HashSet<IpAddr> = children.iter().map(|role| role.candidates[1].machine).collect();
        assert!(!substitutes.contains(&parent));
    }
}

#[test]
fn a_draining_reader_is_replaced_by_the_next_node() {
    let mut targets = fleet(3, 10);
    let reader = roles(&targets).into_iter().find(|(_, role)| role.is_reader).map(|(machine, _)| machine);
    let reader = reader.expect("a reader");
    for target in &mut targets {
        if target.registration.address.ip() == reader {
            let registration = Registration { draining: true, ..target.registration.clone() };
            *target = Arc::new(Target { registration, ..Target::clone(target) });
        }
    }
    let roles = roles(&targets);
    assert!(!roles[&reader].is_reader);
    assert!(!roles[&reader].candidates.is_empty(), "it still has candidates");
    assert_eq!(roles.values().filter(|role| role.is_reader).count(), 3);
    assert!(roles.values().flat_map(|role| &role.candidates).all(|candidate| candidate.machine != reader));
}

#[test]
fn a_node_that_is_not_listed_yet_follows_others() {
    let targets = fleet(3, 10);
    let tree = FeedTree::new(targets.iter());
    for number in 100..140 {
        let role = tree.role_of(format!("10.0.0.{number}").parse().expect("an address"), "zone-0");
        assert!(!role.is_reader && !role.candidates.is_empty(), "{role:?}");
    }
}

fn upstream_candidates(count: u8) -> Vec<FeedCandidate> {
    let candidate = |number| FeedCandidate { machine: IpAddr::from([10, 0, 0, number]), is_upstream: true };
    (1..=count).map(candidate).collect()
}

#[test]
fn no_two_nodes_are_upstream_of_each_other() {
    let roles = roles(&fleet(5, 200));
    for (machine, role) in &roles {
        for candidate in role.candidates.iter().filter(|candidate| candidate.is_upstream) {
            let back = roles[&candidate.machine].candidates.iter().find(|other| other.machine == *machine);
            assert!(
                back.is_none_or(|back| !back.is_upstream),
                "{machine} and {} are upstream of each other",
                candidate.machine
            );
        }
        assert!(role.is_reader || role.candidates[0].is_upstream, "{role:?}");
    }
}

#[test]
fn a_failed_source_is_replaced_and_retried_later() {
    let candidates = upstream_candidates(3);
    let mut choice = SourceChoice::default();
    assert_eq!(choice.next(&candidates, ms(0)), Some(candidates[0]));
    choice.failed(ms(1000));
    assert_eq!(choice.next(&candidates, ms(1000)), Some(candidates[1]));
    assert!(choice.is_searching(), "it is unknown whether the next one is usable");
    choice.succeeded();
    assert!(!choice.is_searching());
    assert_eq!(choice.next(&candidates, ms(2000)), Some(candidates[1]), "it stays selected for a while");
    assert_eq!(choice.next(&candidates, ms(9000)), Some(candidates[0]));
    assert!(choice.is_searching(), "a query to the first one must not be a long poll, since it may time out");
    choice.failed(ms(9100));
    assert_eq!(choice.next(&candidates, ms(9100)), Some(candidates[1]));
    assert!(!choice.all_failed(&candidates));
    choice.failed(ms(9200));
    choice.failed(ms(9300));
    assert!(choice.all_failed(&candidates));
    assert_eq!(choice.next(&candidates, ms(9400)), Some(candidates[0]), "the first one again after the last one");
    assert_eq!(choice.next(&[], ms(9400)), None);
}

#[test]
fn two_nodes_that_only_have_each_other_as_source_are_both_partitioned() {
    let mut loss = StoreAccessLoss::default();
    loss.store_call_failed(ms(1000), Some(ms(900)));
    loss.source_available(Some(ms(900)));
    assert_eq!(loss.since(), Some(ms(1000)), "the other node read the store before the outage");
    assert!(loss.is_partitioned(ms(1000) + PARTITION_TIMEOUT));
    loss.source_available(Some(ms(1100)));
    assert_eq!(loss.since(), None, "a node has read the store since");
}

#[test]
fn a_node_that_is_the_only_one_refused_sees_no_outage() {
    let mut loss = StoreAccessLoss::default();
    loss.store_call_failed(ms(1000), Some(ms(1200)));
    assert_eq!(loss.since(), None, "a node has read the store after the call was sent");
    loss.store_call_failed(ms(2000), Some(ms(1200)));
    assert_eq!((loss.since(), loss.outage_since()), (Some(ms(2000)), None));
    assert_eq!(loss.source_available(Some(ms(2500))), None);
    assert_eq!(loss.since(), None);
}

#[test]
fn an_outage_starts_with_the_earliest_failure_of_all_sources() {
    let mut loss = StoreAccessLoss::default();
    loss.all_sources_failed(ms(2000));
    loss.all_sources_failed(ms(1500));
    loss.store_call_failed(ms(3000), None);
    assert_eq!(loss.source_available(Some(ms(2900))), None, "its own call failed after that");
    assert_eq!(loss.store_read(), Some(ms(1500)));
    assert_eq!(loss.store_read(), None);
    assert!(!loss.is_partitioned(ms(9000)));
}

#[test]
fn a_loss_that_sources_report_counts_from_the_last_known_read_and_only_while_this_node_has_no_access() {
    let mut loss = StoreAccessLoss::default();
    loss.source_reported_loss(ms(2000));
    loss.source_reported_loss(ms(2200));
    assert_eq!(loss.since_with_sources(None), None, "another source may have access");
    loss.source_failed(ms(3000));
    assert_eq!(loss.since(), Some(ms(3000)));
    assert_eq!(loss.since_with_sources(Some(ms(900))), Some(ms(2000)));
    assert_eq!(loss.since_with_sources(Some(ms(2500))), Some(ms(2500)), "a node has read the store meanwhile");
    assert_eq!(loss.since_with_sources(Some(ms(3500))), Some(ms(3000)));
    loss.source_available(Some(ms(3600)));
    loss.source_failed(ms(5000));
    assert_eq!(loss.since_with_sources(Some(ms(3600))), Some(ms(5000)), "the report was of an earlier loss");
}

#[test_case(true, None, ReadSchedule::Now(ReadReason::Once); "others have read the store since")]
#[test_case(true, Some(500), ReadSchedule::After(Duration::from_millis(300)); "as far as it knows, no node can read the store")]
#[test_case(false, None, ReadSchedule::OnChange; "no call has failed")]
fn a_node_whose_call_failed_calls_again_once_others_can_read_the_store(
    own_call_failed: bool,
    failed_at: Option<u64>,
    expected: ReadSchedule,
) {
    let mut loss = StoreAccessLoss::default();
    if let Some(at) = failed_at {
        loss.store_call_failed(ms(at), None);
    }
    let role = FeedRole { nodes_ahead: 0, candidates: upstream_candidates(2), ..FeedRole::default() };
    let inputs = ReadScheduleInputs {
        has_view: true,
        must_probe: false,
        own_call_failed,
        role: &role,
        loss,
        store_read_at: None,
        is_isolated: false,
        solo_reads: SoloReads::default(),
        proof_renewal_in: None,
        jitter: 0.0,
    };
    assert_eq!(inputs.schedule(&BOUNDS, ms(500)), expected);
}
