//! The world of the moves: two sites, every message ever sent and every command ever asked for.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use derive_more::Display;
use quillhatch_types::SlotState;

use crate::explore::{ActionLabel, Property, Specification};

use super::agreed::{AgreedStates, SlotCommand};
use super::checks::Checks;
use super::leader::Leader;
use super::site::{Message, Site};
use super::{CLAIMS_BEFORE_OPEN, ONE_OWNER, ONE_OWNER_AGAIN, REOPENED_AFTER_REFUSAL};

const SITES: usize = 2;

/// Rounds after which a move must have come to its end if all messages arrive.
const ROUNDS: usize = 20;

/// How often the world's faults and operators act.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Limits {
    /// How often a site seals the slot.
    pub seals: u8,
    /// How often a site gets another leader.
    pub leader_changes: u8,
    /// How often a leader gives a take-over to another gate.
    pub reassignments: u8,
}

/// One state. A message arrives, and a command is agreed, at any later time, any number of times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MoveState {
    sites: [Site; SITES],
    messages: BTreeSet<(usize, Message)>,
    proposed: BTreeSet<(usize, SlotCommand)>,
    left: Limits,
}

/// One thing that may happen at a site.
#[derive(Clone, Copy, Debug, Display)]
enum Action {
    #[display("agrees to seal the slot for the other site")]
    Seal,
    #[display("gets another leader")]
    ChangeLeader,
    #[display("hears nothing of the gate that takes the slot over, and agrees to {_0}")]
    Reassign(SlotCommand),
    #[display("collects the claims of the sealed slot")]
    Collect,
    #[display("wants the slot back")]
    Withdraw,
    #[display("no longer wants the slot back")]
    WithdrawNone,
    #[display("sends {_0}")]
    Send(Message),
    #[display("records the claims at its gate")]
    Record,
    #[display("receives {_0}")]
    Receive(Message),
    #[display("asks its group to {_0}")]
    Propose(SlotCommand),
    #[display("agrees to {_0}")]
    Agree(SlotCommand),
}

#[derive(Display)]
#[display("site {} {action}", site + 1)]
struct SiteAction {
    site: usize,
    action: Action,
}

/// The world.
pub(super) struct SlotWorld {
    limits: Limits,
    checks: Checks,
    properties: &'static [Property],
    agreed: RefCell<AgreedStates>,
    /// Whether the sites come to one owner from there.
    ends_well: RefCell<HashMap<[Site; SITES], bool>>,
}

impl SlotWorld {
    pub fn new(limits: Limits, checks: Checks, properties: &'static [Property]) -> Self {
        SlotWorld { limits, checks, properties, agreed: RefCell::default(), ends_well: RefCell::default() }
    }

    /// Lets a site's leader act by what is agreed.
    fn lead<T>(&self, site: &mut Site, act: impl FnOnce(&mut Leader<'_>) -> T) -> T {
        let record = self.agreed.borrow().record(site.agreed);
        act(&mut Leader { checks: self.checks, record, site })
    }

    fn agree(&self, site: &mut Site, command: SlotCommand) -> bool {
        let after = self.agreed.borrow_mut().apply(site.agreed, command);
        if let Some(after) = after {
            site.agreed = after;
            if let SlotCommand::Unseal(seal) = command {
                site.unsealed.insert(seal);
            }
            self.lead(site, |leader| leader.forget_finished());
        }
        after.is_some()
    }

    fn actions(&self, state: &MoveState, number: usize) -> Vec<Action> {
        let mut site = state.sites[number].clone();
        let mut actions = Vec::new();
        self.lead(&mut site, |leader| {
            if let Some(message) = leader.message() {
                actions.push(Action::Send(message));
            }
            actions.extend(leader.commands().into_iter().map(Action::Propose));
            if leader.seal().is_some() {
                let withdrawn = leader.site.export.withdrawn;
                actions.push(if withdrawn { Action::WithdrawNone } else { Action::Withdraw });
                actions.push(Action::Collect);
            }
            actions.push(Action::Record);
        });
        if state.left.seals > 0 {
            actions.push(Action::Seal);
        }
        if state.left.reassignments > 0 && site.import.gathered.is_some() {
            actions.extend(self.agreed.borrow().reassignment(site.agreed).map(Action::Reassign));
        }
        if state.left.leader_changes > 0 {
            actions.push(Action::ChangeLeader);
        }
        let mine = |to: &usize| *to == number;
        let messages = state.messages.iter().filter(|(to, _)| mine(to));
        actions.extend(messages.map(|(_, message)| Action::Receive(*message)));
        let proposed = state.proposed.iter().filter(|(to, _)| mine(to));
        actions.extend(proposed.map(|(_, command)| Action::Agree(*command)));
        actions
    }

    fn apply(&self, state: &MoveState, number: usize, action: Action) -> MoveState {
        let mut next = state.clone();
        let site = &mut next.sites[number];
        let other = 1 - number;
        match action {
            Action::Seal => next.left.seals -= u8::from(self.agree(site, SlotCommand::Seal)),
            Action::ChangeLeader => {
                site.change_leader();
                self.lead(site, |leader| leader.forget_finished());
                next.left.leader_changes -= 1;
            }
            Action::Reassign(command) => next.left.reassignments -= u8::from(self.agree(site, command)),
            Action::Collect => site.export.collected = true,
            Action::Withdraw => site.export.withdrawn = true,
            Action::WithdrawNone => site.export.withdrawn = false,
            Action::Send(message) => {
                next.messages.insert((other, message));
            }
            Action::Record => {
                let word = self.lead(site, |leader| leader.record_claims());
                next.messages.extend(word.map(|word| (number, word)));
            }
            Action::Receive(message) => {
                let answer = self.lead(site, |leader| leader.receive(message));
                next.messages.extend(answer.map(|answer| (other, answer)));
            }
            Action::Propose(command) => {
                self.lead(site, |leader| leader.proposed(command));
                next.proposed.insert((number, command));
            }
            Action::Agree(command) => {
                self.agree(site, command);
            }
        }
        next
    }

    /// Whether just one site owns the slot, and no move is under way, once all messages arrive and the leaders stay.
    fn ends_well(&self, sites: &[Site; SITES]) -> bool {
        if let Some(known) = self.ends_well.borrow().get(sites) {
            return *known;
        }
        let mut later = sites.clone();
        for _ in 0..ROUNDS {
            let before = later.clone();
            (0..SITES).for_each(|number| self.go_on(&mut later, number));
            if later == before {
                break;
            }
        }
        let well = self.is_settled(&later);
        self.ends_well.borrow_mut().insert(sites.clone(), well);
        well
    }

    /// A leader does all that it can, and what it sends arrives and is answered.
    fn go_on(&self, sites: &mut [Site; SITES], number: usize) {
        let other = 1 - number;
        let sealed = self.lead(&mut sites[number], |leader| leader.seal().is_some());
        sites[number].export.collected |= sealed;
        let message = self.lead(&mut sites[number], |leader| leader.message());
        let answer = message.and_then(|message| self.lead(&mut sites[other], |leader| leader.receive(message)));
        if let Some(answer) = answer {
            self.lead(&mut sites[number], |leader| leader.receive(answer));
        }
        let word = self.lead(&mut sites[number], |leader| leader.record_claims());
        if let Some(word) = word {
            self.lead(&mut sites[number], |leader| leader.receive(word));
        }
        // One command at a time: each is chosen by the outcome of the one before.
        let first = |leader: &mut Leader<'_>| leader.commands().first().copied();
        while let Some(command) = self.lead(&mut sites[number], first) {
            self.lead(&mut sites[number], |leader| leader.proposed(command));
            if !self.agree(&mut sites[number], command) {
                break;
            }
        }
    }

    fn is_settled(&self, sites: &[Site; SITES]) -> bool {
        let agreed = self.agreed.borrow();
        let states = || sites.iter().map(|site| agreed.record(site.agreed).state);
        let owned = states().filter(|state| matches!(state, SlotState::Owned { .. })).count();
        let elsewhere = states().filter(|state| matches!(state, SlotState::Elsewhere { .. })).count();
        (owned, elsewhere) == (1, 1)
    }

    fn holds(&self, property: Property, sites: &[Site; SITES]) -> bool {
        let [first, second] = sites;
        match property {
            ONE_OWNER => sites.iter().filter(|site| self.agreed.borrow().names_owner(site.agreed)).count() <= 1,
            CLAIMS_BEFORE_OPEN => !sites.iter().any(|site| self.claims_are_missing(site)),
            REOPENED_AFTER_REFUSAL => {
                !self.reopened_too_early(first, second) && !self.reopened_too_early(second, first)
            }
            ONE_OWNER_AGAIN => self.ends_well(sites),
            _ => true,
        }
    }

    fn claims_are_missing(&self, site: &Site) -> bool {
        let record = self.agreed.borrow().record(site.agreed);
        let opened = record.import.filter(|import| import.opened);
        opened.is_some_and(|import| !site.recorded.contains(&import.seal_epoch))
    }

    fn reopened_too_early(&self, site: &Site, other: &Site) -> bool {
        let refused = self.agreed.borrow().record(other.agreed).refused_seal;
        site.unsealed.iter().any(|seal| *seal > refused)
    }
}

impl Specification for SlotWorld {
    type State = MoveState;

    fn initial_states(&self) -> Vec<MoveState> {
        let mut agreed = self.agreed.borrow_mut();
        let sites = std::array::from_fn(|site| Site::new(agreed.found(site, self.checks.mechanisms())));
        vec![MoveState { sites, messages: BTreeSet::new(), proposed: BTreeSet::new(), left: self.limits }]
    }

    fn successors(&self, state: &MoveState) -> Vec<(ActionLabel, MoveState)> {
        let mut successors = Vec::new();
        for site in 0..SITES {
            for action in self.actions(state, site) {
                let next = self.apply(state, site, action);
                if next != *state {
                    successors.push((ActionLabel::new(Rc::new(SiteAction { site, action })), next));
                }
            }
        }
        successors
    }

    fn violated(&self, state: &MoveState) -> Option<Property> {
        self.properties.iter().copied().find(|property| !self.holds(*property, &state.sites))
    }
}
