//! The system that the slot move models explore: two sites, all messages sent and all commands proposed so far.

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

/// The number of rounds within which a move must end if all messages arrive.
const MAX_ROUNDS: usize = 20;

/// How often faults and operator actions may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Limits {
    /// How often a site seals the slot.
    pub seals: u8,
    /// How often a site's leader is replaced.
    pub leader_changes: u8,
    /// How often a leader reassigns a pending import to another gate.
    pub reassignments: u8,
}

/// One state of the explored system. A sent message may arrive, and a proposed command may be agreed on, at any later
/// time, any number of times, or never.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct MoveState {
    sites: [Site; SITES],
    /// Each message with the index of the receiving site.
    messages: BTreeSet<(usize, Message)>,
    /// Each command with the index of the proposing site.
    proposed: BTreeSet<(usize, SlotCommand)>,
    /// How often faults and operator actions may still happen.
    remaining: Limits,
}

/// An action at a site.
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

/// The explored system.
pub(super) struct SlotWorld {
    limits: Limits,
    checks: Checks,
    properties: &'static [Property],
    agreed: RefCell<AgreedStates>,
    /// Cached results of [`SlotWorld::reaches_one_owner`].
    reaches_one_owner: RefCell<HashMap<[Site; SITES], bool>>,
}

impl SlotWorld {
    pub fn new(limits: Limits, checks: Checks, properties: &'static [Property]) -> Self {
        SlotWorld { limits, checks, properties, agreed: RefCell::default(), reaches_one_owner: RefCell::default() }
    }

    /// Calls `act` with the leader of `site`, which acts on the agreed record.
    fn with_leader<T>(&self, site: &mut Site, act: impl FnOnce(&mut Leader<'_>) -> T) -> T {
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
            self.with_leader(site, |leader| leader.drop_finished());
        }
        after.is_some()
    }

    fn actions(&self, state: &MoveState, index: usize) -> Vec<Action> {
        let mut site = state.sites[index].clone();
        let mut actions = Vec::new();
        self.with_leader(&mut site, |leader| {
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
        if state.remaining.seals > 0 {
            actions.push(Action::Seal);
        }
        if state.remaining.reassignments > 0 && site.import.gathered.is_some() {
            actions.extend(self.agreed.borrow().reassignment(site.agreed).map(Action::Reassign));
        }
        if state.remaining.leader_changes > 0 {
            actions.push(Action::ChangeLeader);
        }
        let for_this_site = |to: &usize| *to == index;
        let messages = state.messages.iter().filter(|(to, _)| for_this_site(to));
        actions.extend(messages.map(|(_, message)| Action::Receive(*message)));
        let proposed = state.proposed.iter().filter(|(to, _)| for_this_site(to));
        actions.extend(proposed.map(|(_, command)| Action::Agree(*command)));
        actions
    }

    fn apply(&self, state: &MoveState, index: usize, action: Action) -> MoveState {
        let mut next = state.clone();
        let site = &mut next.sites[index];
        let other = 1 - index;
        match action {
            Action::Seal => next.remaining.seals -= u8::from(self.agree(site, SlotCommand::Seal)),
            Action::ChangeLeader => {
                site.change_leader();
                self.with_leader(site, |leader| leader.drop_finished());
                next.remaining.leader_changes -= 1;
            }
            Action::Reassign(command) => next.remaining.reassignments -= u8::from(self.agree(site, command)),
            Action::Collect => site.export.collected = true,
            Action::Withdraw => site.export.withdrawn = true,
            Action::WithdrawNone => site.export.withdrawn = false,
            Action::Send(message) => {
                next.messages.insert((other, message));
            }
            Action::Record => {
                let confirmation = self.with_leader(site, |leader| leader.record_claims());
                next.messages.extend(confirmation.map(|confirmation| (index, confirmation)));
            }
            Action::Receive(message) => {
                let answer = self.with_leader(site, |leader| leader.receive(message));
                next.messages.extend(answer.map(|answer| (other, answer)));
            }
            Action::Propose(command) => {
                self.with_leader(site, |leader| leader.propose(command));
                next.proposed.insert((index, command));
            }
            Action::Agree(command) => {
                self.agree(site, command);
            }
        }
        next
    }

    /// Whether exactly one site owns the slot and no move is pending in the end, if all messages arrive and the leaders
    /// don't change.
    fn reaches_one_owner(&self, sites: &[Site; SITES]) -> bool {
        if let Some(cached) = self.reaches_one_owner.borrow().get(sites) {
            return *cached;
        }
        let mut simulated = sites.clone();
        for _ in 0..MAX_ROUNDS {
            let before = simulated.clone();
            (0..SITES).for_each(|index| self.run_round(&mut simulated, index));
            if simulated == before {
                break;
            }
        }
        let settled = self.is_settled(&simulated);
        self.reaches_one_owner.borrow_mut().insert(sites.clone(), settled);
        settled
    }

    /// Runs one round of a site's leader: it takes all possible actions, and its messages arrive and are answered.
    fn run_round(&self, sites: &mut [Site; SITES], index: usize) {
        let other = 1 - index;
        let sealed = self.with_leader(&mut sites[index], |leader| leader.seal().is_some());
        sites[index].export.collected |= sealed;
        let message = self.with_leader(&mut sites[index], |leader| leader.message());
        let answer = message.and_then(|message| self.with_leader(&mut sites[other], |leader| leader.receive(message)));
        if let Some(answer) = answer {
            self.with_leader(&mut sites[index], |leader| leader.receive(answer));
        }
        let confirmation = self.with_leader(&mut sites[index], |leader| leader.record_claims());
        if let Some(confirmation) = confirmation {
            self.with_leader(&mut sites[index], |leader| leader.receive(confirmation));
        }
        // One command at a time, since each depends on the state after the previous one.
        let first = |leader: &mut Leader<'_>| leader.commands().first().copied();
        while let Some(command) = self.with_leader(&mut sites[index], first) {
            self.with_leader(&mut sites[index], |leader| leader.propose(command));
            if !self.agree(&mut sites[index], command) {
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
            ONE_OWNER => sites.iter().filter(|site| self.agreed.borrow().has_owner(site.agreed)).count() <= 1,
            CLAIMS_BEFORE_OPEN => !sites.iter().any(|site| self.opened_without_claims(site)),
            REOPENED_AFTER_REFUSAL => {
                !self.reopened_too_early(first, second) && !self.reopened_too_early(second, first)
            }
            ONE_OWNER_AGAIN => self.reaches_one_owner(sites),
            _ => true,
        }
    }

    fn opened_without_claims(&self, site: &Site) -> bool {
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
        let sites = std::array::from_fn(|site| Site::new(agreed.founded_state(site, self.checks.mechanisms())));
        vec![MoveState { sites, messages: BTreeSet::new(), proposed: BTreeSet::new(), remaining: self.limits }]
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
