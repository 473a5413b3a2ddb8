//! Tests that random commands keep the state's invariants, give every member the same state, and that a snapshot
//! restores it unchanged.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use quillhatch_types::{
    Epoch, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId, Revision, ServiceName, SiteName,
    SlotId, SlotState, ZoneName,
};

use crate::mechanisms::ControlMechanisms;
use crate::state::{Command, ServiceState, SlotHome, SlotTransfer};

const SLOTS: u16 = 12;

fn config() -> Config {
    let rng_seed = RngSeed::Fixed(7);
    Config { cases: 300, failure_persistence: None, rng_seed, rng_algorithm: RngAlgorithm::ChaCha, ..Config::default() }
}

fn node(number: u8) -> NodeId {
    let address = NodeAddress(([10, 0, 0, number], 1).into());
    NodeId { address, incarnation: Incarnation(u64::from(number)) }
}

fn site(name: &str) -> SiteName {
    SiteName::new(name).unwrap()
}

fn gate(number: u8, status: GateStatus) -> GateEntry {
    GateEntry { node: node(number), zone: ZoneName::new("a").unwrap(), status, connections: 10 }
}

fn founded_state() -> ServiceState {
    let service = ServiceName::new("giving").unwrap();
    let mut state = ServiceState::new(service, site("here"), ControlMechanisms::default());
    let home = |slot: u16| SlotHome { site: site(if slot < 8 { "here" } else { "there" }), floor: Epoch(2) };
    let homes = (0..SLOTS).map(home).collect();
    let found = Command::Found { generation: Generation(1), epoch: Epoch(5), claims_lost: false, homes };
    state.apply(&found).unwrap();
    state
}

fn commands() -> impl Strategy<Value = Command> {
    let status = prop_oneof![Just(GateStatus::Serving), Just(GateStatus::Draining)];
    let transfer =
        (0..SLOTS, 0..40u64).prop_map(|(slot, epoch)| SlotTransfer { slot: SlotId(slot), seal_epoch: Epoch(epoch) });
    let owner = (1..5u8).prop_map(node);
    prop_oneof![
        3 => (1..5u8, status).prop_map(|(number, status)| Command::SetGate(gate(number, status))),
        1 => owner.clone().prop_map(Command::RemoveGate),
        1 => prop::collection::vec(1..6u8, 1..4)
            .prop_map(|numbers| Command::SetVoters(numbers.into_iter().map(node).collect())),
        2 => (owner.clone(), 0..60u64).prop_map(|(owner, epoch)| Command::Settled { owner, epoch: Epoch(epoch) }),
        2 => prop::collection::vec(0..SLOTS, 1..4).prop_map(|slots| Command::Seal {
            plan: None,
            slots: slots.into_iter().map(SlotId).collect(),
            destination: site("there"),
        }),
        2 => transfer.clone().prop_map(Command::Unseal),
        2 => transfer.clone().prop_map(Command::Complete),
        3 => (transfer.clone(), owner.clone())
            .prop_map(|(transfer, owner)| Command::Accept { transfer, from: site("there"), owner }),
        3 => (0..SLOTS, 0..60u64, owner)
            .prop_map(|(slot, epoch, owner)| Command::Open { slot: SlotId(slot), epoch: Epoch(epoch), owner }),
        1 => transfer.prop_map(Command::Refuse),
        1 => (1..4u64).prop_map(|revision| Command::SetRevision(Revision(revision))),
    ]
}

fn slot_counts_by_gate(state: &ServiceState) -> BTreeMap<NodeId, usize> {
    let mut counts: BTreeMap<NodeId, usize> = state.serving_gates().map(|gate| (gate.node, 0)).collect();
    for (_, record) in state.numbered_slots() {
        if let SlotState::Owned { owner } = &record.state {
            *counts.get_mut(owner).expect("only a serving gate owns slots") += 1;
        }
    }
    counts
}

fn check_invariants(before: &ServiceState, after: &ServiceState, changed: bool) {
    assert!(after.epoch() >= before.epoch());
    if !changed {
        assert_eq!(before, after, "a rejected command changes nothing");
    }
    let counts = slot_counts_by_gate(after);
    let spread = counts.values().max().unwrap_or(&0) - counts.values().min().unwrap_or(&0);
    assert!(spread <= 1, "owners are balanced: {counts:?}");
    for ((slot, old), (_, new)) in before.numbered_slots().zip(after.numbered_slots()) {
        let moved = old.state != new.state;
        let gained_owner = matches!(new.state, SlotState::Owned { .. }) && moved;
        assert!(new.epoch >= old.epoch, "slot {slot}: its epoch never decreases");
        if gained_owner && old.pending_import().is_none() {
            assert!(new.epoch > old.epoch, "slot {slot}: a new owner has a new epoch");
        }
        assert!(new.refused_seal >= old.refused_seal, "slot {slot}: a refusal is permanent");
    }
    if after.table() != before.table() {
        assert!(after.epoch() > before.epoch(), "a changed table has a higher epoch");
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn random_commands_keep_the_invariants(commands in prop::collection::vec(commands(), 1..60)) {
        let mut state = founded_state();
        let mut follower = founded_state();
        for command in commands {
            let before = state.clone();
            let changed = state.apply(&command).is_ok();
            check_invariants(&before, &state, changed);
            let decoded = Command::decode(&command.encode()).unwrap();
            prop_assert_eq!(&decoded, &command);
            let _ = follower.apply(&decoded);
            prop_assert_eq!(&follower, &state);
        }
        let service = state.service().clone();
        let bytes = state.encode();
        let copy = ServiceState::decode(&bytes, service, site("here"), ControlMechanisms::default()).unwrap();
        prop_assert_eq!(copy, state);
    }

    #[test]
    fn corrupt_commands_and_snapshots_do_not_panic(cut in 0..400usize, at in 0..400usize, byte: u8) {
        let mut bytes = founded_state().encode();
        let position = at % bytes.len();
        bytes[position] ^= byte;
        bytes.truncate(bytes.len().saturating_sub(cut % 50));
        let service = ServiceName::new("giving").unwrap();
        let _ = ServiceState::decode(&bytes, service, site("here"), ControlMechanisms::default());
        let _ = Command::decode(&bytes);
    }
}

#[test]
fn a_joining_gate_causes_a_minimal_number_of_slot_moves() {
    let mut state = founded_state();
    for number in 1..4 {
        state.apply(&Command::SetGate(gate(number, GateStatus::Serving))).unwrap();
    }
    let before = state.table();
    state.apply(&Command::SetGate(gate(4, GateStatus::Serving))).unwrap();
    let changed = before.slots.iter().zip(&state.table().slots).filter(|(old, new)| old.state != new.state).count();
    assert_eq!(changed, 2, "eight slots over four gates: the new gate gets two, and no other slot moves");
}

#[test]
fn a_delayed_duplicate_of_an_offer_is_not_accepted() {
    let mut state = founded_state();
    state.apply(&Command::SetGate(gate(1, GateStatus::Serving))).unwrap();
    let accept = |seal| Command::Accept {
        transfer: SlotTransfer { slot: SlotId(9), seal_epoch: Epoch(seal) },
        from: site("there"),
        owner: node(1),
    };
    assert!(state.apply(&accept(2)).is_err(), "the seal predates the founding");
    state.apply(&accept(30)).unwrap();
    let epoch = state.slot(SlotId(9)).unwrap().epoch;
    assert!(epoch > Epoch(30));
    state.apply(&Command::Open { slot: SlotId(9), epoch, owner: node(1) }).unwrap();
    let seal = Command::Seal { plan: None, slots: vec![SlotId(9)], destination: site("there") };
    state.apply(&seal).unwrap();
    let seal_epoch = state.slot(SlotId(9)).unwrap().epoch;
    state.apply(&Command::Complete(SlotTransfer { slot: SlotId(9), seal_epoch })).unwrap();
    assert!(state.apply(&accept(30)).is_err(), "the slot was opened at this site and has returned since");
    state.apply(&accept(seal_epoch.0 + 1)).unwrap();
}

/// Found by the model `slot-move-again`: if unsealing a slot dropped the record of its earlier transfer, this site
/// would refuse a seal that it had accepted, and both sites would own the slot.
#[test]
fn a_slot_unsealed_after_an_import_keeps_the_record_of_the_import() {
    let mut state = founded_state();
    state.apply(&Command::SetGate(gate(1, GateStatus::Serving))).unwrap();
    let slot = SlotId(SLOTS - 1);
    let taken = SlotTransfer { slot, seal_epoch: Epoch(20) };
    state.apply(&Command::Accept { transfer: taken.clone(), from: site("there"), owner: node(1) }).unwrap();
    let epoch = state.slot(slot).unwrap().epoch;
    state.apply(&Command::Open { slot, epoch, owner: node(1) }).unwrap();
    state.apply(&Command::Seal { plan: None, slots: vec![slot], destination: site("there") }).unwrap();
    let seal_epoch = state.slot(slot).unwrap().epoch;
    state.apply(&Command::Unseal(SlotTransfer { slot, seal_epoch })).unwrap();
    assert!(state.apply(&Command::Refuse(taken)).is_err(), "with a refusal the other site would open the slot as well");
}
