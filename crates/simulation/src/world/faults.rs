//! Faults and planned changes, as scenarios schedule them.

use std::time::Duration;

use super::callers::CallerNews;
use super::calls::{Attempt, AttemptIndex, Call, CallIndex, CallPhase, EdgeNews, EdgeSide, GateSide, Origin};
use super::machine::{Machine, MachineIndex, Presence};
use super::network::{Cut, Location};
use super::operators::Wish;
use super::platform::PlatformState;
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::options::PolicyKind;
use crate::policy::HostInput;
use crate::profile::ServiceIndex;
use crate::random::chance;
use crate::timeline::{MILLISECOND, SECOND};

/// Which machine a fault is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineChoice {
    /// The edge of a zone.
    Edge {
        /// The site.
        site: usize,
        /// The zone.
        zone: usize,
    },
    /// One of a service's machines, by its position among those that are up.
    Target {
        /// The service.
        service: ServiceIndex,
        /// The site.
        site: usize,
        /// The position.
        position: usize,
    },
    /// The leader of a service's group, or its first machine if no leader is known.
    Leader {
        /// The service.
        service: ServiceIndex,
        /// The site.
        site: usize,
    },
}

/// Which parts of the network lose contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Separation {
    /// The two sites.
    Sites,
    /// One zone and everything else.
    Zone {
        /// The site of the zone.
        site: usize,
        /// The zone.
        zone: usize,
    },
}

/// Something that a scenario makes happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Callers come at this multiple of the normal rate.
    Rate(f64),
    /// The back ends of a service take this many times as long.
    Slow {
        /// The service.
        service: ServiceIndex,
        /// How many times as long.
        factor: f64,
    },
    /// Callers retry at once and more often, or no longer do.
    HardCallers(bool),
    /// So many keyed requests in a hundred are asked for again, under the same key, after they were answered.
    Repeats(u32),
    /// Load endpoints say that all is well, or tell the truth again.
    MisleadingHints(bool),
    /// The configuration service changes its behaviour.
    Platform(PlatformState),
    /// A new configuration is published.
    Publish,
    /// A process is paused.
    Pause {
        /// Which.
        choice: MachineChoice,
        /// For how long, in microseconds.
        duration: Instant,
        /// Whether its back end is paused too.
        with_back_end: bool,
    },
    /// Parts of the network lose contact.
    Separate {
        /// Which.
        separation: Separation,
        /// For how long, in microseconds.
        duration: Instant,
    },
    /// Messages between nodes are lost, so many in a thousand.
    Loss(u32),
    /// A share of all connections in use breaks.
    BreakConnections {
        /// The share in percent.
        percent: u32,
    },
    /// A machine loses its memory and starts again.
    Crash(MachineChoice),
    /// All machines of a zone lose their memory and start again, as after a power cut.
    CrashZone {
        /// The site of the zone.
        site: usize,
        /// The zone.
        zone: usize,
    },
    /// A machine is replaced by another one with another address.
    Replace(MachineChoice),
    /// A machine is stopped as planned and not replaced.
    Stop(MachineChoice),
    /// An operator retires a back end.
    Retire(MachineChoice),
    /// An operator moves a share of a service to the second site.
    Move {
        /// The service.
        service: ServiceIndex,
        /// The share of all its slots, in percent.
        percent: u8,
    },
    /// A crashed machine starts again.
    Boot(MachineIndex),
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When.
    pub at: Instant,
    /// What.
    pub fault: Fault,
}

/// The longest time that a planned stop may take: more than the longest deadline of a class, or a call that waits on a
/// dead connection could be cut before its time.
const STOP_GRACE: Instant = 22 * SECOND;

/// The time that a process has, after a pause, to catch up with a newer configuration.
const CATCHING_UP: Instant = 3 * SECOND;

/// The time from a crash until the machine is up again.
const REBOOT_TIME: Instant = 800 * MILLISECOND;

impl World {
    /// The machine that `choice` means now.
    fn choose(&self, choice: MachineChoice) -> Option<MachineIndex> {
        let up = |index: &usize| self.machines[*index].presence == Presence::Up && !self.machines[*index].stopping;
        let of_service = |service: ServiceIndex, site: usize| {
            let fits = move |machine: &Machine| machine.service() == Some(service) && machine.site == site;
            let indices = (0..self.machines.len()).filter(up).filter(|&index| fits(&self.machines[index]));
            indices.collect::<Vec<usize>>()
        };
        let index = match choice {
            MachineChoice::Edge { site, zone } => (0..self.machines.len()).filter(up).find(|&index| {
                let machine = &self.machines[index];
                machine.back_end.is_none() && machine.site == site && machine.zone == zone
            }),
            MachineChoice::Target { service, site, position } => {
                let targets = of_service(service, site);
                targets.get(position % targets.len().max(1)).copied()
            }
            MachineChoice::Leader { service, site } => {
                let targets = of_service(service, site);
                let leads =
                    |index: &&usize| self.machines[**index].policy.as_ref().is_some_and(|policy| policy.leads_group());
                targets.iter().find(leads).or(targets.first()).copied()
            }
        };
        index.map(|index| MachineIndex(index as u16))
    }

    /// Makes a fault happen.
    pub(super) fn apply(&mut self, fault: Fault, agenda: &mut Agenda) {
        let now = agenda.now();
        if !matches!(fault, Fault::Publish) {
            self.record.event(now, format!("{fault:?}"));
        }
        match fault {
            Fault::Rate(factor) => self.rate_factor = factor,
            Fault::Slow { service, factor } => self.slowness[service] = factor,
            Fault::HardCallers(hard) => self.hard_callers = hard,
            Fault::Repeats(percent) => self.repeat_percent = percent,
            Fault::MisleadingHints(misleading) => self.misleading_hints = misleading,
            Fault::Platform(state) => self.platform.state = state,
            Fault::Publish => self.publish(now),
            Fault::Pause { choice, duration, with_back_end } => self.pause(choice, duration, with_back_end, agenda),
            Fault::Separate { separation, duration } => {
                let cut = match separation {
                    Separation::Sites => Cut::Sites,
                    Separation::Zone { site, zone } => Cut::Zone(Location { site, zone }),
                };
                self.network.cut(cut, now + duration);
            }
            Fault::Loss(per_mille) => self.network.loss_per_mille = per_mille,
            Fault::BreakConnections { percent } => self.break_connections(percent, agenda),
            Fault::Crash(choice) => {
                if let Some(index) = self.choose(choice) {
                    self.crash(index, agenda);
                }
            }
            Fault::CrashZone { site, zone } => self.crash_zone(Location { site, zone }, agenda),
            Fault::Boot(index) => {
                if let Some(back_end) = self.machines[index.at()].back_end.as_mut() {
                    back_end.started_cold = Some(now);
                }
                self.boot(index, agenda);
            }
            Fault::Replace(choice) => self.replace(choice, agenda),
            Fault::Stop(choice) => {
                if let Some(index) = self.choose(choice) {
                    self.stop(index, agenda);
                }
            }
            Fault::Retire(choice) => {
                if let Some(index) = self.choose(choice) {
                    self.wish(Wish::Retire(index), agenda);
                }
            }
            Fault::Move { service, percent } => self.wish(Wish::Move { service, percent }, agenda),
        }
    }

    fn crash(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        self.kill(index, agenda);
        agenda.after(REBOOT_TIME, Event::Fault(Box::new(Fault::Boot(index))));
    }

    fn crash_zone(&mut self, zone: Location, agenda: &mut Agenda) {
        for position in 0..self.machines.len() {
            let machine = &self.machines[position];
            let up = machine.presence == Presence::Up && !machine.stopping;
            if up && Location::of(machine) == zone {
                self.crash(MachineIndex(position as u16), agenda);
            }
        }
    }

    fn pause(&mut self, choice: MachineChoice, duration: Instant, with_back_end: bool, agenda: &mut Agenda) {
        let Some(index) = self.choose(choice) else { return };
        let machine = &mut self.machines[index.at()];
        machine.presence = Presence::Paused;
        machine.pause_holds_back_end = with_back_end;
        agenda.after(duration, Event::Resume { machine: index });
    }

    /// A paused process goes on and finds all at once what has come in the meantime.
    pub(super) fn resume(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        let machine = &mut self.machines[index.at()];
        if machine.presence != Presence::Paused {
            return;
        }
        machine.presence = Presence::Up;
        machine.current_from = agenda.now() + CATCHING_UP;
        let held = std::mem::take(&mut machine.held);
        self.record.event(agenda.now(), format!("{} goes on", self.machines[index.at()].label));
        for event in held {
            agenda.after(0, event);
        }
    }

    fn break_connections(&mut self, percent: u32, agenda: &mut Agenda) {
        let open = (0..self.attempts.len()).filter(|&index| {
            let attempt = &self.attempts[index];
            attempt.at_edge != EdgeSide::Done && attempt.at_gate != GateSide::Absent
        });
        let open: Vec<usize> = open.collect();
        for index in open {
            if chance(&mut self.generators.faults, percent) {
                let attempt = AttemptIndex(index as u32);
                agenda.after(0, Event::AtEdge { attempt, news: EdgeNews::ConnectionLost });
                agenda.after(0, Event::AtGateCancelled { attempt });
            }
        }
    }

    /// The process of a machine is gone at once, with all its memory.
    fn kill(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        for run in self.runs_at(index) {
            self.abort_run(run, agenda);
        }
        let machine = &mut self.machines[index.at()];
        let life = machine.life;
        machine.presence = Presence::Down;
        machine.policy = None;
        machine.held.clear();
        machine.waiting.clear();
        self.network.close_connections(index);
        self.break_attempts_of(index, life, agenda);
        self.break_calls_of(index, life, agenda);
    }

    fn break_attempts_of(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        for position in 0..self.attempts.len() {
            let attempt = AttemptIndex(position as u32);
            let entry = &mut self.attempts[position];
            let at_gate = matches!(entry.at_gate, GateSide::Waiting | GateSide::Running);
            if entry.gate == index && entry.gate_life == life && at_gate {
                entry.at_gate = GateSide::Done;
                self.send_to_edge(attempt, EdgeNews::ConnectionLost, agenda);
            } else if entry.edge == index && entry.edge_life == life {
                self.give_up_attempt(attempt, agenda);
            }
        }
    }

    fn break_calls_of(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        for position in 0..self.calls.len() {
            let call = &self.calls[position];
            let open = call.edge == index && call.edge_life == life && call.phase != CallPhase::Done;
            if open && matches!(call.origin, Origin::Caller(_)) {
                self.deliver(CallIndex(position as u32), CallerNews::Broken, agenda);
            }
        }
    }

    /// A machine is replaced by a new one at the same place, and stopped as planned.
    fn replace(&mut self, choice: MachineChoice, agenda: &mut Agenda) {
        let Some(old) = self.choose(choice) else { return };
        let now = agenda.now();
        let position = self.machines.len();
        let (site, zone, service) =
            (self.machines[old.at()].site, self.machines[old.at()].zone, self.machines[old.at()].service());
        let label = format!("{} (replacement {position})", self.machines[old.at()].label);
        let mut machine = Machine::new(position, site, zone, service, label);
        if let Some(back_end) = machine.back_end.as_mut() {
            back_end.started_cold = Some(now);
        }
        self.platform.list(machine.address, now);
        self.machines.push(machine);
        let new = MachineIndex(position as u16);
        self.boot(new, agenda);
        if service.is_none() && self.options.policy == PolicyKind::Quillhatch {
            agenda.after(SECOND, Event::Probe { machine: new });
        }
        self.stop(old, agenda);
    }

    /// A planned stop begins.
    fn stop(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        let now = agenda.now();
        let machine = &mut self.machines[index.at()];
        machine.stopping = true;
        machine.retired = true;
        let (address, life) = (machine.address, machine.life);
        machine.drained_at.get_or_insert(now);
        self.platform.mark_leaving(address, now);
        if machine.back_end.is_some() {
            self.publish(now);
        }
        let grace = Duration::from_micros(STOP_GRACE);
        self.step(index, HostInput::Stop { grace }, agenda);
        agenda.after(STOP_GRACE + SECOND, Event::StopDeadline { machine: index, life });
    }

    /// A stopping node has nothing left to decide.
    pub(super) fn ready_to_exit(&mut self, index: MachineIndex, agenda: &mut Agenda) {
        let life = self.machines[index.at()].life;
        if !self.machines[index.at()].stopping {
            return;
        }
        if self.options.policy == PolicyKind::Quillhatch {
            agenda.after(0, Event::ExitWhenIdle { machine: index, life });
        } else {
            agenda.after(MILLISECOND, Event::StopDeadline { machine: index, life });
        }
    }

    /// The program stays until no call and no attempt is left in it, as long as its grace allows.
    pub(super) fn exit_when_idle(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        const PAUSE: Instant = 10 * MILLISECOND;
        if !self.is_alive(index, life) {
            return;
        }
        let call_open = |call: &Call| call.edge == index && call.edge_life == life && call.phase != CallPhase::Done;
        let attempt_open = |attempt: &Attempt| {
            let at_gate = matches!(attempt.at_gate, GateSide::Waiting | GateSide::Running);
            attempt.gate == index && attempt.gate_life == life && at_gate
        };
        let busy = self.calls.iter().any(call_open) || self.attempts.iter().any(attempt_open);
        let next = if busy {
            Event::ExitWhenIdle { machine: index, life }
        } else {
            Event::StopDeadline { machine: index, life }
        };
        agenda.after(PAUSE, next);
    }

    /// A stopped process exits; what is still in flight in it is cut off.
    pub(super) fn stop_deadline(&mut self, index: MachineIndex, life: u32, agenda: &mut Agenda) {
        if !self.is_alive(index, life) {
            return;
        }
        let calls = self.calls.iter().filter(|call| {
            let open = call.edge == index && call.edge_life == life && call.phase != CallPhase::Done;
            open && matches!(call.origin, Origin::Caller(_))
        });
        let cut = calls.count() + self.runs_at(index).len();
        self.record.cut_by_planned_stop += cut as u64;
        let text = format!("{} exits; {cut} calls in flight are cut off", self.machines[index.at()].label);
        self.record.event(agenda.now(), text);
        let address = self.machines[index.at()].address;
        self.platform.unlist(address, agenda.now());
        self.kill(index, agenda);
    }
}
