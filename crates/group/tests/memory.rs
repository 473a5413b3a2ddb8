//! Nodes that lose their memory: restarts, changes of voters, and groups formed from nothing.

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
fn all_of_the_electorate_together_form_the_first_generation() {
    for seed in SEEDS {
        let mut network = Network::new(3, Formation::New, GroupSettings::default(), seed);
        network.start_all();
        let taken = network.run_until(Duration::from_secs(2), |network| network.leader().is_some());
        assert!(taken.is_some(), "no group with seed {seed}");
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
fn a_group_without_proof_says_that_claims_are_lost(formation: Formation, running: usize, generation: u64, epoch: u64) {
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
fn less_than_a_majority_of_the_electorate_forms_nothing() {
    let mut network = Network::new(5, Formation::New, GroupSettings::default(), 1);
    network.start(0);
    network.start(1);
    network.run_for(Duration::from_secs(60));
    assert_eq!((network.group(0).role(), network.group(1).role()), (Role::Outsider, Role::Outsider));
}

/// Broken promises when nodes restart one after the other, at awkward moments, while commands are agreed.
fn broken_by_restarts(settings: &GroupSettings) -> usize {
    let mut broken = 0;
    for seed in SEEDS {
        let mut network = Network::formed(3, settings.clone(), seed);
        let leader = network.leader().unwrap();
        let (other, cut_off) = ((leader + 1) % 3, (leader + 2) % 3);
        network.split(&[cut_off]);
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
        broken += network.record.broken.len();
    }
    broken
}

#[test]
fn a_restarted_voter_does_not_vote_with_a_forgotten_log() {
    assert_eq!(broken_by_restarts(&GroupSettings::default()), 0);
    assert!(broken_by_restarts(&without(|mechanisms| mechanisms.incarnation_identity = false)) > 0);
}

#[test]
fn all_nodes_are_replaced_one_by_one_and_nothing_is_lost() {
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
        assert_eq!(network.applied_everywhere().len(), 1);
        assert_eq!(network.record.agreed_count(identity.unwrap()), 3);
        assert_eq!(network.record.broken, Vec::<String>::new());
    }
}

#[test]
fn survivors_of_a_lost_majority_form_a_higher_generation_that_says_so() {
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
        assert_eq!(now_leading, leader, "who kept the state founds");
        assert_eq!(network.record.broken, Vec::<String>::new());
    }
}

#[test]
fn members_of_a_replaced_group_leave_it_for_the_newer() {
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
    assert_eq!(network.record.broken, Vec::<String>::new());
}

/// Two of five keep their memory with the leader; the fifth voter restarts on the other side of a partition.
fn two_sides_after_a_restart(settings: &GroupSettings) -> usize {
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
    network.record.broken.len()
}

#[test]
fn only_one_side_of_a_partition_has_a_group_thanks_to_the_electorate_quorum() {
    assert_eq!(two_sides_after_a_restart(&GroupSettings::default()), 0);
    assert!(two_sides_after_a_restart(&without(|mechanisms| mechanisms.electorate_quorum = false)) > 0);
}

#[test]
fn a_node_that_asks_while_a_group_exists_never_forms_another() {
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
fn one_change_of_voters_at_a_time_and_only_of_nodes_that_ask() {
    let mut network = Network::formed(3, GroupSettings::default(), 7);
    network.auto_join = false;
    let leader = network.leader().unwrap();
    let others = [(leader + 1) % 3, (leader + 2) % 3].map(|index| network.group(index).node());
    let stranger = NodeId { address: address(9), incarnation: others[0].incarnation };
    assert_eq!(network.change(leader, Some(stranger), None), refused(ProposalRefusal::NotAsking));
    assert_eq!(network.change(leader, None, Some(stranger)), refused(ProposalRefusal::NothingToChange));
    assert!(matches!(network.change(leader, None, Some(others[0])), ProposalResult::Accepted { .. }));
    assert_eq!(network.change(leader, None, Some(others[1])), refused(ProposalRefusal::ChangePending));
    network.run_for(Duration::from_millis(300));
    assert_eq!(network.change(leader, None, Some(others[1])), refused(ProposalRefusal::CannotDecide));
}

#[test]
fn a_removed_leader_leaves_the_lead_to_another() {
    let mut network = Network::formed(3, GroupSettings::default(), 8);
    network.auto_join = false;
    let old = network.leader().unwrap();
    let node = network.group(old).node();
    network.change(old, None, Some(node));
    network.run_for(Duration::from_secs(3));
    assert_eq!(network.group(old).role(), Role::Outsider);
    assert!(network.leader().is_some());
    assert_eq!(network.record.broken, Vec::<String>::new());
}

#[test]
fn the_electorate_follows_the_configuration_one_address_at_a_time() {
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
fn a_newcomer_gets_a_snapshot_in_pieces_and_the_log_stays_bounded() {
    let settings = GroupSettings { log_entries: 32, ..GroupSettings::default() };
    let mut network = Network::formed(3, settings, 10);
    network.padding = 4_000;
    let leader = network.leader().unwrap();
    for _ in 0..200 {
        network.propose(leader);
        network.run_for(Duration::from_millis(10));
    }
    network.run_for(Duration::from_secs(1));
    let newcomer = (leader + 1) % 3;
    network.start(newcomer);
    network.run_for(Duration::from_secs(5));
    assert_eq!(network.machines[newcomer].applied.len(), 200);
    assert_eq!(network.applied_everywhere().len(), 1);
    assert!((0..3).all(|index| network.group(index).log_length() <= 64));
    assert!(network.largest_message < 72 * 1024, "{}", network.largest_message);
    assert_eq!(network.record.broken, Vec::<String>::new());
}

#[test]
fn a_full_log_and_a_large_command_are_refused() {
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
