//! Operators: ask for a plan through some node, confirm it, and ask again if it is refused.

use quillhatch_types::{ServiceName, SiteName};

use super::machine::{MachineIndex, Presence};
use super::platform::LIST_LAG;
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::options::PolicyKind;
use crate::policy::{HostInput, OperatorAction, OperatorResult};
use crate::profile::{ServiceIndex, SITES};
use crate::timeline::{MILLISECOND, SECOND};

/// What an operator wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wish {
    /// Move a share of a service's slots to the second site.
    Move {
        /// The service.
        service: ServiceIndex,
        /// The share of all slots, in percent.
        percent: u8,
    },
    /// Retire the back end of a machine.
    Retire(MachineIndex),
}

struct Task {
    wish: Wish,
    asked: u32,
    settled: bool,
}

/// The operators' tasks.
#[derive(Default)]
pub struct Operators {
    tasks: Vec<Task>,
}

impl World {
    /// An operator begins to act.
    pub(super) fn wish(&mut self, wish: Wish, agenda: &mut Agenda) {
        self.operators.tasks.push(Task { wish, asked: 0, settled: false });
        let number = self.operators.tasks.len() as u64 - 1;
        if self.options.policy == PolicyKind::Quillhatch {
            agenda.after(MILLISECOND, Event::Operate { number });
        } else {
            self.without_operators_interface(wish, agenda.now());
        }
    }

    /// What operators do under the comparison policies: they change what the platform's service says.
    fn without_operators_interface(&mut self, wish: Wish, now: Instant) {
        match wish {
            Wish::Move { service, percent } => {
                let share = &mut self.platform.first_site_shares[service];
                *share = share.saturating_sub(percent);
                self.publish(now);
            }
            Wish::Retire(machine) => {
                let machine = &mut self.machines[machine.at()];
                machine.drained_at = Some(now);
                self.platform.mark_leaving(machine.address, now);
            }
        }
    }

    fn action(&self, wish: Wish) -> Option<OperatorAction> {
        match wish {
            Wish::Move { service, percent } => Some(OperatorAction::MoveShare {
                service: ServiceName::new(self.deployment.services[service].name).ok()?,
                destination: SiteName::new(SITES[1]).ok()?,
                percent,
            }),
            Wish::Retire(machine) => {
                let machine = &self.machines[machine.at()];
                let service = machine.service()?;
                Some(OperatorAction::Retire {
                    service: ServiceName::new(self.deployment.services[service].name).ok()?,
                    node: machine.address,
                })
            }
        }
    }

    /// A node through which an operator can act on a wish: one of the service's at the site that is to change.
    fn entry_for(&self, wish: Wish, asked: u32) -> Option<MachineIndex> {
        let (service, site) = match wish {
            Wish::Move { service, .. } => (service, 0),
            Wish::Retire(machine) => (self.machines[machine.at()].service()?, self.machines[machine.at()].site),
        };
        let fits = |index: &usize| {
            let machine = &self.machines[*index];
            let is_up = machine.presence == Presence::Up && !machine.stopping && machine.drained_at.is_none();
            is_up && machine.service() == Some(service) && machine.site == site
        };
        let entries: Vec<usize> = (0..self.machines.len()).filter(fits).collect();
        let chosen = entries.get(asked as usize % entries.len().max(1))?;
        Some(MachineIndex(*chosen as u16))
    }

    /// An operator asks a node, and asks another one if no answer comes.
    pub(super) fn operate(&mut self, number: u64, agenda: &mut Agenda) {
        const ASKED_AGAIN_AFTER: Instant = 2 * SECOND;
        const MOST_ASKED: u32 = 10;
        let Some(task) = self.operators.tasks.get_mut(number as usize) else { return };
        if task.settled || task.asked >= MOST_ASKED {
            return;
        }
        let (wish, asked) = (task.wish, task.asked);
        task.asked += 1;
        agenda.after(ASKED_AGAIN_AFTER, Event::Operate { number });
        let Some(action) = self.action(wish) else { return };
        let Some(entry) = self.entry_for(wish, asked) else { return };
        let text = format!("operator asks {} to {action}", self.machines[entry.at()].label);
        self.record.event(agenda.now(), text);
        self.step(entry, HostInput::Operator { number, action }, agenda);
    }

    /// An operator has the result of an action.
    pub(super) fn operator_result(&mut self, number: u64, result: &OperatorResult, agenda: &mut Agenda) {
        self.record.event(agenda.now(), format!("operator's action {number}: {result}"));
        let Some(task) = self.operators.tasks.get_mut(number as usize) else { return };
        if *result != OperatorResult::Confirmed || task.settled {
            return;
        }
        task.settled = true;
        if let Wish::Retire(machine) = task.wish {
            self.machines[machine.at()].drained_at = Some(agenda.now());
            let address = self.machines[machine.at()].address;
            self.platform.mark_leaving(address, agenda.now().saturating_sub(LIST_LAG));
        }
    }
}
