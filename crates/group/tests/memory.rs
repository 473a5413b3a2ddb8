//! Restarted nodes without state: restarts, changes of voters, snapshots, and formation of groups.

mod network;

use std::time::Duration;

use network::{address, Network};
use quillhatch_group::{FormRequirements, GroupMechanisms, GroupSettings, ProposalRefusal, ProposalResult, Role};
use quillhatch_types::{Epoch, Formation, Generation, NodeId};
use test_case::test_case;

const SEEDS: std::ops::Range<u64> = 0..30;

fn without(change: impl Fn(&mut GroupMechanisms)) -> GroupSettings {
    let mut settings = GroupSettings::default();
    change(&mut settings.mechanisms);
    settings
}

fn refused(refusal: ProposalRefusal) -> ProposalResult {
    ProposalResult::Refused(refusal)
}

#[test]
fn a_complete_electorate_forms_the_first_generation() {
    for seed in SEEDS {
        let mut network = Network::new(3, Formation::New, GroupSettings::default(), seed);
        network.start_all();
        let elapsed = network.run_until(Duration::from_secs(2), |network| network.leader().is_some());
        assert!(elapsed.is_some(), "no group with seed {seed}");
        network.run_for(Duration::from_millis(500));
        for index in 0..3 {
            assert_eq!(network.group(index).generation(), Generation(1));
            assert!(!network.group(index).claims_lost());
        }
    }
}

#[test_case(Formation::New, 2, 0, 0; "one of the electorate is missing")]
#[test_case(Formation::Existing, 3, 0, 0; "the service has served before")]
#[test_case(Formation::New, 3, 7, 0; "a node remembers a generation")]
#[test_case(Formation::New, 3, 0, 4; "a node remembers an epoch")]
fn a_group_formed_without_proof_reports_lost_claims(formation: Formation, running: usize, generation: u64, epoch: u64) {
    let mut network = Network::new(3, formation, GroupSettings::default(), 1);
    let plain = network.requirements.clone();
    for index in 0..running {
        let remembers = index == 1;
        network.requirements = FormRequirements {
            minimum_generation: Generation(if remembers { generation } else { 0 }),
            minimum_epoch: Epoch(if remembers { epoch } else { 0 }),
            ..plain.clone()
        };
        network.start(index);
    }
    network.run_for(Duration::from_secs(8));
    let leader = network.leader().expect("a majority forms");
    assert!(network.group(leader).claims_lost());
    assert!(network.group(leader).generation() > Generation(generation));
}

#[test]
fn a_minority_of_the_electorate_forms_no_group() {
    let mut network = Network::new(5, Formation::New, GroupSettings::default(), 1);
    network.start(0);
    network.start(1);
    network.run_for(Duration::from_secs(60));
    assert_eq!((network.group(0).role(), network.group(1).role()), (Role::Outsider, Role::Outsider));
}

/// Restarts the only follower that stored a committed command, while it and the node that never received the command are
/// partitioned from the leader. Returns the number of violated invariants.
fn violations_by_restarts(settings: &GroupSettings) -> usize {
    let mut violations = 0;
    for seed in SEEDS {
        let mut network = Network::formed(3, settings.clone(), seed);
        let leader = network.leader().unwrap();
        let (other, partitioned) = ((leader + 1) % 3, (leader + 2) % 3);
        network.split(&[partitioned]);
        network.propose(leader);
        network.run_for(Duration::from_millis(300));
        network.split(&[leader]);
        network.start(other);
        network.run_for(Duration::from_secs(8));
        if let Some(index) = network.leader() {
            network.propose(index);
        }
        network.run_for(Duration::from_secs(1));
        network.heal();
        network.run_for(Duration::from_secs(8));
        violations += network.record.violations.len();
    }
    violations
}

#[test]
fn a_restarted_voter_does_not_vote_without_its_log() {
    assert_eq!(violations_by_restarts(&GroupSettings::default()), 0);
    assert!(violations_by_restarts(&without(|mechanisms| mechanisms.incarnation_identity = false)) > 0);
}

#[test]
fn a_rolling_restart_of_all_nodes_loses_no_command() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let identity = network.group(0).identity();
        for index in 0..3 {
            if let Some(leader) = network.leader() {
                network.propose(leader);
            }
            network.run_for(Duration::from_millis(200));
            network.start(index);
            let back = network.run_until(Duration::from_secs(5), |network| {
                let node = network.group(index).node();
                network.leader().is_some_and(|leader| {
                    let group = network.group(leader);
                    group.voters().voters.contains(&node) && group.readable_index(network.now).is_some()
                }) && network.group(index).role() != Role::Outsider
            });
            assert!(back.is_some(), "node {index} did not come back with seed {seed}");
            network.run_for(Duration::from_millis(500));
        }
        assert_eq!(network.group(0).identity(), identity);
        assert_eq!(network.distinct_applied_commands().len(), 1);
        assert_eq!(network.record.committed_count(identity.unwrap()), 3);
        assert_eq!(network.record.violations, Vec::<String>::new());
    }
}

#[test]
fn survivors_of_a_lost_majority_form_a_higher_generation_that_reports_lost_claims() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let leader = network.leader().unwrap();
        network.propose(leader);
        network.run_for(Duration::from_millis(300));
        let before = network.group(leader).generation();
        network.start((leader + 1) % 3);
        network.start((leader + 2) % 3);
        network.run_for(Duration::from_secs(8));
        let now_leading = network.leader().expect("the survivor takes part in a new group");
        let group = network.group(now_leading);
        assert!(group.claims_lost() && group.generation() > before);
        assert_eq!(now_leading, leader, "the node that retained the state founds the group");
        assert_eq!(network.record.violations, Vec::<String>::new());
    }
}

#[test]
fn members_of_a_replaced_group_join_the_newer_group() {
    let mut network = Network::formed(3, GroupSettings::default(), 2);
    let old = network.leader().unwrap();
    let others = [(old + 1) % 3, (old + 2) % 3];
    network.split(&[old]);
    others.into_iter().for_each(|index| network.start(index));
    network.run_for(Duration::from_secs(10));
    let newer = network.group(network.leader().expect("a majority forms anew")).identity();
    assert_ne!(network.group(old).identity(), newer);
    network.heal();
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.group(old).identity(), newer);
    assert_eq!(network.record.violations, Vec::<String>::new());
}

/// Three of five addresses form a group. Then a partition leaves two of its voters, with the leader, on one side, while
/// the third voter restarts on the other side together with the two unused addresses. Returns the number of violations.
fn violations_with_a_restart_during_a_partition(settings: &GroupSettings) -> usize {
    let mut network = Network::new(5, Formation::Existing, settings.clone(), 3);
    (0..3).for_each(|index| network.start(index));
    network.run_for(Duration::from_secs(8));
    let leader = network.leader().expect("three of five form a group");
    assert!(leader < 3);
    network.auto_join = false;
    let restarted = (leader + 1) % 3;
    network.split(&[restarted, 3, 4]);
    [restarted, 3, 4].into_iter().for_each(|index| network.start(index));
    network.run_for(Duration::from_secs(10));
    network.record.violations.len()
}

#[test]
fn electorate_quorum_allows_a_group_on_only_one_side_of_a_partition() {
    assert_eq!(violations_with_a_restart_during_a_partition(&GroupSettings::default()), 0);
    assert!(
        violations_with_a_restart_during_a_partition(&without(|mechanisms| mechanisms.electorate_quorum = false)) > 0
    );
}

#[test]
fn a_node_forms_no_second_group_while_a_group_exists() {
    let mut network = Network::formed(3, GroupSettings::default(), 6);
    network.auto_join = false;
    let identity = network.group(0).identity();
    let follower = (network.leader().unwrap() + 1) % 3;
    network.start(follower);
    network.run_for(Duration::from_secs(60));
    assert_eq!(network.group(follower).role(), Role::Outsider);
    assert_eq!(network.record.formations.len(), 1);
    assert_eq!(network.group(network.leader().unwrap()).identity(), identity);
}

#[test]
fn voters_change_one_at_a_time_and_only_joining_nodes_are_added() {
    let mut network = Network::formed(3, GroupSettings::default(), 7);
    network.auto_join = false;
    let leader = network.leader().unwrap();
    let others = [(leader + 1) % 3, (leader + 2) % 3].map(|index| network.group(index).node());
    let stranger = NodeId { address: address(9), incarnation: others[0].incarnation };
    assert_eq!(network.change(leader, Some(stranger), None), refused(ProposalRefusal::NotJoining));
    assert_eq!(network.change(leader, None, Some(stranger)), refused(ProposalRefusal::NothingToChange));
    assert!(matches!(network.change(leader, None, Some(others[0])), ProposalResult::Accepted { .. }));
    assert_eq!(network.change(leader, None, Some(others[1])), refused(ProposalRefusal::ChangePending));
    network.run_for(Duration::from_millis(300));
    assert_eq!(network.change(leader, None, Some(others[1])), refused(ProposalRefusal::InvalidVoters));
}

#[test]
fn a_removed_leader_is_replaced() {
    let mut network = Network::formed(3, GroupSettings::default(), 8);
    network.auto_join = false;
    let old = network.leader().unwrap();
    let node = network.group(old).node();
    network.change(old, None, Some(node));
    network.run_for(Duration::from_secs(3));
    assert_eq!(network.group(old).role(), Role::Outsider);
    assert!(network.leader().is_some());
    assert_eq!(network.record.violations, Vec::<String>::new());
}

#[test]
fn the_electorate_changes_to_the_configured_one() {
    let mut network = Network::formed(4, GroupSettings::default(), 9);
    network.requirements.electorate = vec![address(1), address(2), address(3)];
    for index in 0..4 {
        let form = quillhatch_group::GroupInput::Form(network.requirements.clone());
        network.step(index, form);
    }
    network.run_for(Duration::from_secs(2));
    let leader = network.leader().unwrap();
    let electorate: Vec<_> = network.group(leader).voters().electorate.into_iter().collect();
    assert_eq!(electorate, network.requirements.electorate);
}

#[test]
fn a_restarted_node_receives_a_chunked_snapshot_and_the_log_stays_bounded() {
    let settings = GroupSettings { log_entries: 32, ..GroupSettings::default() };
    let mut network = Network::formed(3, settings, 10);
    network.padding = 4_000;
    let leader = network.leader().unwrap();
    for _ in 0..200 {
        network.propose(leader);
        network.run_for(Duration::from_millis(10));
    }
    network.run_for(Duration::from_secs(1));
    let restarted = (leader + 1) % 3;
    network.start(restarted);
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.machines[restarted].applied.len(), 200);
    assert_eq!(network.distinct_applied_commands().len(), 1);
    assert!((0..3).all(|index| network.group(index).log_length() <= 64));
    assert!(network.largest_message < 72 * 1024, "{}", network.largest_message);
    assert_eq!(network.record.violations, Vec::<String>::new());
}

#[test]
fn proposals_are_refused_when_the_log_is_full_or_the_command_too_large() {
    let settings = GroupSettings { log_entries: 4, ..GroupSettings::default() };
    let mut network = Network::formed(3, settings, 11);
    let leader = network.leader().unwrap();
    network.split(&[leader]);
    for _ in 0..12 {
        network.propose(leader);
    }
    assert_eq!(network.last_result(leader), refused(ProposalRefusal::LogFull));
    network.padding = 64 * 1024;
    network.propose(leader);
    assert_eq!(network.last_result(leader), refused(ProposalRefusal::CommandTooLarge));
}
