//! Elections, leases and disturbance, on a network that loses and pauses.

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
fn default_settings_fit_each_other() {
    assert_eq!(GroupSettings::default().validate(), Ok(()));
    let longer_lease = GroupSettings { lease: Duration::from_millis(600), ..GroupSettings::default() };
    assert!(longer_lease.validate().is_err());
}

#[test]
fn another_leader_within_three_seconds() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let leader = network.leader().unwrap();
        network.kill(leader);
        let limit = Duration::from_secs(3);
        let taken = network.run_until(limit, |network| network.leader().is_some_and(|index| index != leader));
        assert!(taken.is_some(), "no leader after three seconds with seed {seed}");
        assert_eq!(network.record.broken, Vec::<String>::new());
    }
}

/// A node cut off for a while comes back; returns how often the others had to elect.
fn elections_caused_by_return(settings: &GroupSettings) -> usize {
    let mut elections = 0;
    for seed in SEEDS {
        let mut network = Network::formed(3, settings.clone(), seed);
        let cut_off = (network.leader().unwrap() + 1) % 3;
        let before = network.record.elections.len();
        network.split(&[cut_off]);
        network.run_for(Duration::from_secs(6));
        network.heal();
        network.run_for(Duration::from_secs(3));
        elections += network.record.elections.len() - before;
    }
    elections
}

#[test]
fn a_returning_node_disturbs_nothing_thanks_to_pre_vote() {
    assert_eq!(elections_caused_by_return(&GroupSettings::default()), 0);
    assert!(elections_caused_by_return(&without(|mechanisms| mechanisms.pre_vote = false)) > 0);
}

/// The number of broken promises when a leader is cut off from a majority that goes on.
fn promises_broken_by_cut_off_leader(settings: &GroupSettings) -> (usize, bool) {
    let mut network = Network::formed(3, settings.clone(), 1);
    let old = network.leader().unwrap();
    network.split(&[old]);
    network.run_for(Duration::from_secs(4));
    let still_leads = network.group(old).role() == Role::Leader;
    (network.record.broken.len(), still_leads)
}

#[test]
fn a_leader_cut_off_from_the_majority_steps_down_thanks_to_check_quorum() {
    assert_eq!(promises_broken_by_cut_off_leader(&GroupSettings::default()), (0, false));
    let (_, still_leads) = promises_broken_by_cut_off_leader(&without(|mechanisms| mechanisms.check_quorum = false));
    assert!(still_leads);
}

/// Terms with two leaders when all voters but the lost leader campaign in the same moment.
fn broken_by_campaigns_at_once(change: impl Fn(&mut GroupMechanisms)) -> usize {
    let settings = GroupSettings { election_timeout_maximum: Duration::from_millis(600), ..without(change) };
    let mut broken = 0;
    for seed in SEEDS {
        let mut network = Network::formed(5, settings.clone(), seed);
        network.kill(network.leader().unwrap());
        network.run_for(Duration::from_secs(5));
        broken += network.record.broken.len();
    }
    broken
}

#[test]
fn a_voter_votes_once_in_a_term() {
    assert_eq!(broken_by_campaigns_at_once(|_| {}), 0);
    assert!(broken_by_campaigns_at_once(|mechanisms| mechanisms.single_vote = false) > 0);
}

#[test]
fn a_node_that_still_hears_the_leader_elects_no_other() {
    // A candidate meets a follower that heard the leader just now, and the leader is cut off in the same moment.
    let run = |settings: GroupSettings| {
        let mut broken = 0;
        for seed in SEEDS {
            let mut network = Network::formed(3, settings.clone(), seed);
            let leader = network.leader().unwrap();
            network.split(&[(leader + 1) % 3]);
            network.run_for(Duration::from_secs(3));
            network.split(&[leader]);
            network.run_for(Duration::from_secs(3));
            broken += network.record.broken.len();
        }
        broken
    };
    assert_eq!(run(GroupSettings::default()), 0);
    let reckless = without(|mechanisms| {
        mechanisms.check_quorum = false;
        mechanisms.pre_vote = false;
    });
    assert!(run(reckless) > 0);
}

#[test_case(GroupInput::Tick; "on its timer")]
#[test_case(GroupInput::Propose { ticket: 9, command: vec![1] }; "on a proposal")]
fn a_paused_leader_does_not_act_on_its_old_view(first_input: GroupInput) {
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
fn a_paused_follower_does_not_campaign_before_it_read_its_messages() {
    let mut network = Network::formed(3, without(|mechanisms| mechanisms.pre_vote = false), 4);
    let elections = network.record.elections.len();
    let follower = (network.leader().unwrap() + 1) % 3;
    network.pause(follower, Duration::from_secs(5));
    network.run_for(Duration::from_secs(8));
    assert_eq!(network.record.elections.len(), elections);
}

#[test]
fn a_planned_stop_hands_leadership_on_at_once() {
    for seed in SEEDS {
        let mut network = Network::formed(3, GroupSettings::default(), seed);
        let old = network.leader().unwrap();
        network.step(old, GroupInput::Stop);
        let limit = Duration::from_millis(100);
        let taken = network.run_until(limit, |network| network.leader().is_some_and(|index| index != old));
        assert!(taken.is_some(), "no new leader with seed {seed}");
        network.run_for(Duration::from_secs(3));
        assert_ne!(network.group(old).role(), Role::Leader);
        assert_eq!(network.record.broken, Vec::<String>::new());
    }
}

#[test]
fn a_stopping_node_that_alone_has_the_last_entry_is_elected_and_hands_over() {
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
        let taken = network.run_until(Duration::from_secs(10), |network| network.leader() == Some(behind));
        assert!(taken.is_some(), "nobody leads with seed {seed}");
        assert_eq!(network.record.broken, Vec::<String>::new());
    }
}

#[test]
fn an_idle_group_says_little() {
    let mut network = Network::new(3, Formation::New, GroupSettings::default(), 5);
    network.start_all();
    network.run_for(Duration::from_secs(5));
    let (before, largest) = (network.bytes_sent, network.largest_message);
    network.run_for(Duration::from_secs(10));
    let per_node_and_second = (network.bytes_sent - before) / 30;
    println!("idle group: {per_node_and_second} B/s sent per node, largest message {largest} B");
    assert!(per_node_and_second < 1_500, "{per_node_and_second} bytes per second and node");
}
