//! The agreed (committed) states of the two sites' groups, interned, and the result of each command on them.

use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::rc::Rc;

use derive_more::Display;
use quillhatch_control::state::{Command, ServiceState, SlotHome, SlotRecord, SlotTransfer};
use quillhatch_control::ControlMechanisms;
use quillhatch_types::{
    Epoch, GateEntry, GateStatus, Generation, Incarnation, NodeAddress, NodeId, ServiceName, SiteName, SlotId,
    SlotState, ZoneName,
};

use crate::intern::{InternedId, Interner};

/// The number of gates at each site.
const GATES_PER_SITE: u8 = 2;
/// The slot that moves, the only one of the service.
const SLOT: SlotId = SlotId(0);
const FIRST_EPOCH: Epoch = Epoch(1);
const SITES: [&str; 2] = ["one", "two"];

/// A command that a group agrees on for the slot.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum SlotCommand {
    #[display("seal")]
    Seal,
    #[display("open again after seal {_0}")]
    Unseal(Epoch),
    #[display("give up after seal {_0}")]
    Complete(Epoch),
    #[display("accept seal {seal} for gate {gate}")]
    Accept { seal: Epoch, gate: u8 },
    #[display("open under epoch {epoch} at gate {gate}")]
    Open { epoch: Epoch, gate: u8 },
    #[display("refuse seal {_0}")]
    Refuse(Epoch),
}

/// An agreed state. Equality ignores the history, on which no decision depends.
#[derive(Debug)]
struct AgreedState(ServiceState);

impl AgreedState {
    fn identity(&self) -> (&SiteName, Epoch, Option<&SlotRecord>) {
        (self.0.site(), self.0.epoch(), self.0.slot(SLOT))
    }
}

impl PartialEq for AgreedState {
    fn eq(&self, other: &Self) -> bool {
        self.identity() == other.identity()
    }
}

impl Eq for AgreedState {}

impl Hash for AgreedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.site().hash(hasher);
        self.0.epoch().hash(hasher);
        self.0.slot(SLOT).map(|record| (record.epoch, record.refused_seal)).hash(hasher);
    }
}

/// The states reached so far and the cached results of commands.
#[derive(Default)]
pub(super) struct AgreedStates {
    states: Interner<AgreedState>,
    applied: HashMap<(InternedId, SlotCommand), Option<InternedId>>,
}

impl AgreedStates {
    /// Returns the state of a site's group after its founding, with its gates. The first site owns the slot.
    pub fn founded_state(&mut self, site: usize, mechanisms: ControlMechanisms) -> InternedId {
        let service = ServiceName::new("service").expect("a valid name");
        let mut state = ServiceState::new(service, site_name(site), mechanisms);
        let homes = vec![SlotHome { site: site_name(0), floor: Epoch(0) }];
        let found = Command::Found { generation: Generation(1), epoch: FIRST_EPOCH, claims_lost: false, homes };
        let zone = ZoneName::new("zone").expect("a valid name");
        let entry = |number| GateEntry {
            node: gate_node(site, number),
            zone: zone.clone(),
            status: GateStatus::Serving,
            connections: 1,
        };
        let gates = (0..GATES_PER_SITE).map(|number| Command::SetGate(entry(number)));
        for command in std::iter::once(found).chain(gates) {
            state.apply(&command).expect("a new state takes its first commands");
        }
        self.states.id(AgreedState(state))
    }

    /// Applies a command to the real state machine; returns the new state, or `None` if the command is rejected.
    pub fn apply(&mut self, before: InternedId, command: SlotCommand) -> Option<InternedId> {
        if let Some(cached) = self.applied.get(&(before, command)) {
            return *cached;
        }
        let mut state = self.states.value(before).0.clone();
        let site = usize::from(*state.site() == site_name(1));
        let applied = state.apply(&real_command(site, command)).is_ok();
        let after = applied.then(|| self.states.id(AgreedState(state)));
        self.applied.insert((before, command), after);
        after
    }

    /// Returns the record of the slot.
    pub fn record(&self, state: InternedId) -> SlotRecord {
        self.state(state).0.slot(SLOT).expect("a founded state has its slots").clone()
    }

    /// Whether the group's table contains an owner of the slot.
    pub fn has_owner(&self, state: InternedId) -> bool {
        let table = self.state(state).0.table();
        table.slots.iter().any(|assignment| matches!(assignment.state, SlotState::Owned { .. }))
    }

    /// Returns the command that reassigns a pending import to the site's other gate, as if the first had failed.
    pub fn reassignment(&self, state: InternedId) -> Option<SlotCommand> {
        let record = self.record(state);
        let import = record.pending_import()?;
        Some(SlotCommand::Accept { seal: import.seal_epoch, gate: GATES_PER_SITE - 1 - gate_number(import.owner) })
    }

    fn state(&self, state: InternedId) -> Rc<AgreedState> {
        self.states.value(state)
    }
}

fn site_name(site: usize) -> SiteName {
    SiteName::new(SITES[site]).expect("a valid name")
}

fn gate_node(site: usize, number: u8) -> NodeId {
    let address = NodeAddress(std::net::SocketAddr::from(([10, 0, site as u8, number], 7000)));
    NodeId { address, incarnation: Incarnation(1) }
}

/// Returns the number of a gate at its site.
pub(super) fn gate_number(gate: NodeId) -> u8 {
    match gate.address.0.ip() {
        std::net::IpAddr::V4(address) => address.octets()[3],
        std::net::IpAddr::V6(_) => 0,
    }
}

fn real_command(site: usize, command: SlotCommand) -> Command {
    let other_site = site_name(1 - site);
    let transfer = |seal_epoch| SlotTransfer { slot: SLOT, seal_epoch };
    match command {
        SlotCommand::Seal => Command::Seal { plan: None, slots: vec![SLOT], destination: other_site },
        SlotCommand::Unseal(seal) => Command::Unseal(transfer(seal)),
        SlotCommand::Complete(seal) => Command::Complete(transfer(seal)),
        SlotCommand::Accept { seal, gate: number } => {
            Command::Accept { transfer: transfer(seal), from: other_site, owner: gate_node(site, number) }
        }
        SlotCommand::Open { epoch, gate: number } => {
            Command::Open { slot: SLOT, epoch, owner: gate_node(site, number) }
        }
        SlotCommand::Refuse(seal) => Command::Refuse(transfer(seal)),
    }
}
