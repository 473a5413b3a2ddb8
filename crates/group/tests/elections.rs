//! Elections, leases and leadership transfer, with partitions, killed nodes and paused nodes.

mod network;

use std::time::Duration;

use network::Network;
use quillhatch_group::{GroupInput, GroupMechanisms, GroupSettings, ProposalRefusal, ProposalResult, Role};
use quillhatch_types::Formation;
use test_case::test_case;

const SEEDS: std::ops::Range<u64> = 0..40;

fn without(change: impl Fn(&mut GroupMechanisms)) -> GroupSettings {
    let mut settings = GroupSettings::default();
    change(&mut settings.mechanisms);
    settings
}

#[test]
fn default_settings_are_valid() {
    assert_eq!(GroupSettings::default().validate(), Ok(()));
    let longer_lease = GroupSettings { lease: Duration::from_millis(600), ..GroupSettings::default() };
    assert!(longer_lease.validate().is_err());
}

#[test]
fn a_killed_leader_is_replaced_within_three_seconds() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let leader = network.leader().unwrap();
        network.kill(leader);
        let limit = Duration::from_secs(3);
        let elapsed = network.run_until(limit, |network| network.leader().is_some_and(|index| index != leader));
        assert!(elapsed.is_some(), "no leader after three seconds with seed {seed}");
        assert_eq!(network.record.violations, Vec::<String>::new());
    }
}

/// Partitions a follower from the others for six seconds, then heals the partition; returns the number of elections.
fn elections_after_partition(settings: &GroupSettings) -> usize {
    let mut elections = 0;
    for seed in SEEDS {
        let mut network = Network::formed(3, settings.clone(), seed);
        let partitioned = (network.leader().unwrap() + 1) % 3;
        let before = network.record.elections.len();
        network.split(&[partitioned]);
        network.run_for(Duration::from_secs(6));
        network.heal();
        network.run_for(Duration::from_secs(3));
        elections += network.record.elections.len() - before;
    }
    elections
}

#[test]
fn pre_vote_prevents_elections_after_a_partition_heals() {
    assert_eq!(elections_after_partition(&GroupSettings::default()), 0);
    assert!(elections_after_partition(&without(|mechanisms| mechanisms.pre_vote = false)) > 0);
}

/// Partitions the leader from the majority. Returns the number of violated invariants and whether it still leads.
fn violations_by_partitioned_leader(settings: &GroupSettings) -> (usize, bool) {
    let mut network = Network::formed(3, settings.clone(), 1);
    let old = network.leader().unwrap();
    network.split(&[old]);
    network.run_for(Duration::from_secs(4));
    let still_leads = network.group(old).role() == Role::Leader;
    (network.record.violations.len(), still_leads)
}

#[test]
fn check_quorum_makes_a_partitioned_leader_step_down() {
    assert_eq!(violations_by_partitioned_leader(&GroupSettings::default()), (0, false));
    let (_, still_leads) = violations_by_partitioned_leader(&without(|mechanisms| mechanisms.check_quorum = false));
    assert!(still_leads);
}

/// The number of violated invariants when the leader is killed and all other voters start an election at the same time.
fn violations_with_simultaneous_elections(change: impl Fn(&mut GroupMechanisms)) -> usize {
    let settings = GroupSettings { election_timeout_maximum: Duration::from_millis(600), ..without(change) };
    let mut violations = 0;
    for seed in SEEDS {
        let mut network = Network::formed(5, settings.clone(), seed);
        network.kill(network.leader().unwrap());
        network.run_for(Duration::from_secs(5));
        violations += network.record.violations.len();
    }
    violations
}

#[test]
fn a_voter_votes_once_in_a_term() {
    assert_eq!(violations_with_simultaneous_elections(|_| {}), 0);
    assert!(violations_with_simultaneous_elections(|mechanisms| mechanisms.single_vote = false) > 0);
}

#[test]
fn a_follower_in_contact_with_the_leader_elects_no_other() {
    // A candidate reaches a follower that was in contact with the leader until the leader was partitioned just now.
    let run = |settings: GroupSettings| {
        let mut violations = 0;
        for seed in SEEDS {
            let mut network = Network::formed(3, settings.clone(), seed);
            let leader = network.leader().unwrap();
            network.split(&[(leader + 1) % 3]);
            network.run_for(Duration::from_secs(3));
            network.split(&[leader]);
            network.run_for(Duration::from_secs(3));
            violations += network.record.violations.len();
        }
        violations
    };
    assert_eq!(run(GroupSettings::default()), 0);
    let unsafe_settings = without(|mechanisms| {
        mechanisms.check_quorum = false;
        mechanisms.pre_vote = false;
    });
    assert!(run(unsafe_settings) > 0);
}

#[test_case(GroupInput::Tick; "on its timer")]
#[test_case(GroupInput::Propose { ticket: 9, command: vec![1] }; "on a proposal")]
fn a_leader_that_resumes_after_a_pause_steps_down_before_it_acts(first_input: GroupInput) {
    let mut network = Network::formed(3, GroupSettings::default(), 3);
    let old = network.leader().unwrap();
    network.pause(old, Duration::from_secs(5));
    network.run_for(Duration::from_millis(4_999));
    assert!(network.leader().is_some_and(|index| index != old));
    network.step(old, first_input.clone());
    assert_ne!(network.group(old).role(), Role::Leader);
    assert_eq!(network.group(old).readable_index(network.now), None);
    if matches!(first_input, GroupInput::Propose { .. }) {
        let refused = ProposalResult::Refused(ProposalRefusal::NotLeader { leader: None });
        assert_eq!(network.last_result(old), refused);
    }
}

#[test]
fn a_follower_that_resumes_after_a_pause_reads_its_messages_before_an_election() {
    let mut network = Network::formed(3, without(|mechanisms| mechanisms.pre_vote = false), 4);
    let elections = network.record.elections.len();
    let follower = (network.leader().unwrap() + 1) % 3;
    network.pause(follower, Duration::from_secs(5));
    network.run_for(Duration::from_secs(8));
    assert_eq!(network.record.elections.len(), elections);
}

#[test]
fn a_planned_stop_transfers_leadership_immediately() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let old = network.leader().unwrap();
        network.step(old, GroupInput::Stop);
        let limit = Duration::from_millis(100);
        let elapsed = network.run_until(limit, |network| network.leader().is_some_and(|index| index != old));
        assert!(elapsed.is_some(), "no new leader with seed {seed}");
        network.run_for(Duration::from_secs(3));
        assert_ne!(network.group(old).role(), Role::Leader);
        assert_eq!(network.record.violations, Vec::<String>::new());
    }
}

#[test]
fn a_stopping_node_with_the_only_complete_log_is_elected_and_transfers_leadership() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let leader = network.leader().unwrap();
        let (stopping, behind) = ((leader + 1) % 3, (leader + 2) % 3);
        network.split(&[behind]);
        network.propose(leader);
        network.run_for(Duration::from_millis(300));
        network.kill(leader);
        network.step(stopping, GroupInput::Stop);
        network.heal();
        let elapsed = network.run_until(Duration::from_secs(10), |network| network.leader() == Some(behind));
        assert!(elapsed.is_some(), "nobody leads with seed {seed}");
        assert_eq!(network.record.violations, Vec::<String>::new());
    }
}

#[test]
fn an_idle_group_sends_little_traffic() {
    let mut network = Network::new(3, Formation::New, GroupSettings::default(), 5);
    network.start_all();
    network.run_for(Duration::from_secs(5));
    let (before, largest) = (network.bytes_sent, network.largest_message);
    network.run_for(Duration::from_secs(10));
    let per_node_and_second = (network.bytes_sent - before) / 30;
    println!("idle group: {per_node_and_second} B/s sent per node, largest message {largest} B");
    assert!(per_node_and_second < 1_500, "{per_node_and_second} bytes per second and node");
}
