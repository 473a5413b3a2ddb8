//! Random faults from fixed seeds: the outputs to the hosts must never violate an invariant of the record.

mod network;

use std::time::Duration;

use network::Network;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use quillhatch_group::{GroupInput, GroupMechanisms, GroupMessage, GroupSettings};
use quillhatch_types::Formation;
use test_case::test_case;

#[derive(Clone, Debug)]
enum Fault {
    Restart(usize),
    Kill(usize),
    Pause(usize, u64),
    Split(Vec<usize>),
    Heal,
    Links { loss: f64, duplication: f64, slowest: u64 },
    Stop(usize),
    Remove(usize),
}

#[derive(Clone, Debug)]
struct FaultSchedule {
    seed: u64,
    nodes: usize,
    /// The faults, each with the milliseconds to wait before it.
    faults: Vec<(u64, Fault)>,
}

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => (0..nodes).prop_map(Fault::Restart),
        1 => (0..nodes).prop_map(Fault::Kill),
        2 => (0..nodes, 50u64..4_000).prop_map(|(node, span)| Fault::Pause(node, span)),
        3 => prop::collection::vec(0..nodes, 1..nodes).prop_map(Fault::Split),
        2 => Just(Fault::Heal),
        2 => (0.0..0.4, 0.0..0.4, 1_000u64..300_000)
            .prop_map(|(loss, duplication, slowest)| Fault::Links { loss, duplication, slowest }),
        1 => (0..nodes).prop_map(Fault::Stop),
        1 => (0..nodes).prop_map(Fault::Remove),
    ]
}

fn fault_schedule() -> impl Strategy<Value = FaultSchedule> {
    (any::<u64>(), prop_oneof![Just(3usize), Just(5usize)]).prop_flat_map(|(seed, nodes)| {
        let faults = prop::collection::vec((0u64..3_000, fault(nodes)), 5..30);
        faults.prop_map(move |faults| FaultSchedule { seed, nodes, faults })
    })
}

fn apply(network: &mut Network, fault: Fault) {
    match fault {
        Fault::Restart(node) => network.start(node),
        Fault::Kill(node) => network.kill(node),
        Fault::Pause(node, span) => network.pause(node, Duration::from_millis(span)),
        Fault::Split(side) => network.split(&side),
        Fault::Heal => network.heal(),
        Fault::Links { loss, duplication, slowest } => {
            network.links = network::Links { loss, duplication, delay: 500..slowest };
        }
        Fault::Stop(node) => network.step(node, GroupInput::Stop),
        Fault::Remove(node) => {
            let removed = network.machines[node].group.as_ref().map(|group| group.node());
            if let (Some(leader), Some(_)) = (network.leader(), removed) {
                network.change(leader, None, removed);
            }
        }
    }
}

/// Runs a schedule with continuous proposals. Returns the network at the first violation, or after all faults have been
/// repaired and the group has had 50 seconds to recover.
fn run(schedule: &FaultSchedule, mechanisms: GroupMechanisms) -> Network {
    let settings = GroupSettings { log_entries: 24, mechanisms, ..GroupSettings::default() };
    let mut network = Network::new(schedule.nodes, Formation::New, settings, schedule.seed);
    network.start_all();
    network.run_for(Duration::from_secs(2));
    // The configuration marks the service as new only until it has served calls.
    network.requirements.formation = Formation::Existing;
    for (wait, fault) in schedule.faults.clone() {
        for _ in 0..4 {
            let proposers = network.leased_leaders();
            proposers.into_iter().for_each(|leader| {
                network.propose(leader);
            });
            network.run_for(Duration::from_millis(wait / 4));
            if !network.record.violations.is_empty() {
                return network;
            }
        }
        apply(&mut network, fault);
    }
    network.heal();
    network.links = network::Links::default();
    // Stopped and killed nodes are restarted; the others retain their state.
    for index in 0..schedule.nodes {
        let runs = network.machines[index].group.as_ref().is_some_and(|group| !group.is_stopping());
        if !runs {
            network.start(index);
        }
    }
    network.run_for(Duration::from_secs(50));
    network
}

fn runner(cases: u32) -> TestRunner {
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x51_1e_7c_4e),
        ..ProptestConfig::default()
    };
    TestRunner::new(config)
}

#[test]
fn random_faults_violate_no_invariant_and_the_group_recovers() {
    let check = |schedule: FaultSchedule| {
        let network = run(&schedule, GroupMechanisms::default());
        prop_assert_eq!(&network.record.violations, &Vec::<String>::new());
        prop_assert!(network.leader().is_some(), "no leader after all faults were repaired");
        let applied = network.distinct_applied_commands();
        prop_assert_eq!(applied.len(), 1, "members differ after all faults were repaired");
        let identity = network.group(network.leader().unwrap()).identity().unwrap();
        let committed: Vec<Vec<u8>> =
            network.record.committed_commands(identity).into_iter().map(|(_, command)| command).collect();
        prop_assert_eq!(applied.first(), Some(&committed), "a committed command is lost");
        Ok(())
    };
    runner(200).run(&fault_schedule(), check).unwrap();
}

/// Whether any of the schedules violates an invariant.
fn some_schedule_violates_an_invariant(mechanisms: GroupMechanisms) -> bool {
    let config = ProptestConfig { max_shrink_iters: 0, ..runner(120).config().clone() };
    let check = |schedule: FaultSchedule| {
        prop_assert!(run(&schedule, mechanisms).record.violations.is_empty());
        Ok(())
    };
    TestRunner::new(config).run(&fault_schedule(), check).is_err()
}

#[test_case(|all: &mut GroupMechanisms| all.complete_log_vote = false; "complete_log_vote")]
#[test_case(|all: &mut GroupMechanisms| all.incarnation_identity = false; "incarnation_identity")]
#[test_case(|all: &mut GroupMechanisms| all.loss_statement = false; "loss_statement")]
fn random_faults_detect_a_disabled_mechanism(disable: fn(&mut GroupMechanisms)) {
    let mut mechanisms = GroupMechanisms::default();
    disable(&mut mechanisms);
    assert!(some_schedule_violates_an_invariant(mechanisms));
}

#[test]
fn truncated_messages_are_refused_and_damaged_ones_never_panic() {
    let strategy = (prop::collection::vec(any::<u8>(), 0..200), any::<prop::sample::Index>(), any::<u8>());
    let sample = sample_message().encode();
    let check = |(noise, place, value): (Vec<u8>, prop::sample::Index, u8)| {
        drop(GroupMessage::decode(&noise));
        let position = place.index(sample.len());
        prop_assert!(GroupMessage::decode(&sample[..position]).is_err() || position == 0);
        let mut damaged = sample.clone();
        damaged[position] = value;
        drop(GroupMessage::decode(&damaged));
        Ok(())
    };
    runner(5_000).run(&strategy, check).unwrap();
    assert!(GroupMessage::decode(&[]).is_err());
}

fn sample_message() -> GroupMessage {
    let mut network = Network::formed(3, GroupSettings::default(), 1);
    let leader = network.leader().unwrap();
    let mut outputs = Vec::new();
    let group = network.machines[leader].group.as_mut().unwrap();
    group.step(network.now, GroupInput::Propose { ticket: 1, command: vec![7; 30] }, &mut outputs);
    let sent = outputs.into_iter().find_map(|output| match output {
        quillhatch_group::GroupOutput::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.expect("the leader replicates a proposal immediately")
}
