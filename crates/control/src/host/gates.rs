//! The leader's watch over the gates: joins, drains, leases and failures.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{GateEntry, GateStatus, NodeAddress, NodeId, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::io::{LoadReport, MachineStatus, MemberStatus};
use crate::message::{GroupBody, Heartbeat};
use crate::settings::ControlTiming;
use crate::state::{Command, ServiceState};

/// What the leader knows of a gate beyond the agreed state.
#[derive(Clone, Debug)]
pub(crate) struct GateSeen {
    pub last_heard: Timestamp,
    pub leased_until: Timestamp,
    pub heartbeat: Option<Heartbeat>,
    reported_failed: bool,
    protected_refusals: Option<(Timestamp, u32)>,
}

/// All gates that the leader has heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateWatch {
    seen: BTreeMap<NodeId, GateSeen>,
    replaced: BTreeMap<NodeId, Timestamp>,
    machines: Arc<BTreeMap<NodeAddress, MachineStatus>>,
}

/// Runs that were replaced are remembered for this many nodes, so that their late heartbeats change nothing.
const MAXIMUM_REPLACED: usize = 256;

impl GateWatch {
    /// A new leader starts from nothing.
    pub fn begin(&mut self, now: Timestamp, timing: &ControlTiming, state: &ServiceState) {
        self.seen.clear();
        self.replaced.clear();
        self.adopt(now, timing, state);
    }

    /// Watches gates of the agreed state not heard of yet; an earlier leader may have granted them leases up to now.
    pub fn adopt(&mut self, now: Timestamp, timing: &ControlTiming, state: &ServiceState) {
        for gate in state.gates.values() {
            self.seen.entry(gate.node).or_insert_with(|| GateSeen {
                last_heard: now - timing.gate_lease_extension,
                leased_until: now + timing.gate_lease_extension,
                heartbeat: None,
                reported_failed: false,
                protected_refusals: None,
            });
        }
    }

    pub fn load(&self, node: NodeId) -> Option<LoadReport> {
        self.seen.get(&node)?.heartbeat.as_ref().map(|heartbeat| heartbeat.load)
    }

    pub fn is_idle(&self, node: NodeId) -> bool {
        let heartbeat = self.seen.get(&node).and_then(|seen| seen.heartbeat.as_ref());
        heartbeat.is_some_and(|heartbeat| heartbeat.idle)
    }

    /// Protected calls refused at all gates within the last `span`.
    pub fn protected_refusals(&self, now: Timestamp, span: std::time::Duration) -> u32 {
        let recent = |seen: &GateSeen| match seen.protected_refusals {
            Some((at, count)) if now.since(at) <= span => count,
            _ => 0,
        };
        self.seen.values().map(recent).sum()
    }

    pub fn is_fresh(&self, now: Timestamp, node: NodeId, timing: &ControlTiming) -> bool {
        self.seen.get(&node).is_some_and(|seen| now.since(seen.last_heard) < timing.gate_timeout)
    }

    pub fn report(&mut self, node: NodeId, status: MemberStatus) {
        if let Some(seen) = self.seen.get_mut(&node) {
            seen.reported_failed = matches!(status, MemberStatus::Failed | MemberStatus::Left);
        }
    }

    pub fn set_machines(&mut self, machines: &Arc<BTreeMap<NodeAddress, MachineStatus>>) {
        self.machines = Arc::clone(machines);
    }

    /// The machines that the platform lists.
    pub fn machines(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.machines.keys().copied()
    }

    fn note(&mut self, now: Timestamp, from: NodeId, heartbeat: Heartbeat) -> bool {
        if self.replaced.contains_key(&from) {
            return false;
        }
        let older: Vec<NodeId> =
            self.seen.keys().filter(|known| known.address == from.address && **known != from).copied().collect();
        for run in older {
            self.seen.remove(&run);
            if self.replaced.len() < MAXIMUM_REPLACED {
                self.replaced.insert(run, now);
            }
        }
        let refusals = heartbeat.load.protected_refusals;
        let seen = self.seen.entry(from).or_insert_with(|| GateSeen {
            last_heard: now,
            leased_until: now,
            heartbeat: None,
            reported_failed: false,
            protected_refusals: None,
        });
        if refusals > 0 {
            seen.protected_refusals = Some((now, refusals));
        }
        seen.last_heard = now;
        seen.reported_failed = false;
        seen.heartbeat = Some(heartbeat);
        true
    }
}

impl ServiceHost {
    pub(crate) fn on_heartbeat(&mut self, step: &mut HostStep<'_>, from: NodeId, heartbeat: Heartbeat) {
        if !self.leads(step.now) {
            self.answer(step, from, GroupBody::NotLeader { leader: self.leader_hint() });
            return;
        }
        let sequence = heartbeat.sequence;
        if !self.gates.note(step.now, from, heartbeat) {
            return;
        }
        let lease = self.grant_lease(step.now, from);
        let answer =
            GroupBody::HeartbeatAnswer { sequence, lease, generation: self.state.generation, epoch: self.state.epoch };
        self.answer(step, from, answer);
        self.lead(step);
    }

    /// A gate's lease outlasts the leader's own by no more than a new leader waits.
    fn grant_lease(&mut self, now: Timestamp, gate: NodeId) -> std::time::Duration {
        let in_table = self.state.gate(gate).is_some();
        let Some(until) = self.group.lease_until().filter(|_| in_table) else {
            return std::time::Duration::ZERO;
        };
        let end = until + self.settings.timing.gate_lease_extension;
        if let Some(seen) = self.gates.seen.get_mut(&gate) {
            seen.leased_until = seen.leased_until.max(end);
        }
        now.until(end)
    }

    /// The next change of gates that the agreed state lacks.
    pub(crate) fn gate_command(&mut self, step: &HostStep<'_>) -> Option<Command> {
        self.changed_gate(step).or_else(|| self.departed_gate()).or_else(|| self.failed_gate(step.now))
    }

    fn changed_gate(&self, step: &HostStep<'_>) -> Option<Command> {
        let timing = &self.settings.timing;
        let fresh = self.gates.seen.iter().filter(|(_, seen)| step.now.since(seen.last_heard) < timing.gate_timeout);
        let entries = fresh.filter_map(|(node, seen)| self.wanted_entry(step, *node, seen.heartbeat.as_ref()?));
        let mut changed = entries.filter(|entry| self.state.gates.get(&entry.node.address) != Some(entry));
        changed.next().map(Command::SetGate)
    }

    /// The entry that a gate should have; none if it should not come in.
    fn wanted_entry(&self, step: &HostStep<'_>, node: NodeId, heartbeat: &Heartbeat) -> Option<GateEntry> {
        let known = self.state.gate(node).is_some();
        let retired = self.state.retired.contains(&node.address);
        let machine_leaving = self.gates.machines.get(&node.address) == Some(&MachineStatus::Leaving);
        let leaving = heartbeat.leaving || retired || machine_leaving;
        let service = step.configuration.services.get(&self.service)?;
        let configured = service.targets_at(self.site()).any(|target| target.node == node.address);
        if !known && (leaving || !configured) {
            return None;
        }
        let status = if leaving || !configured { GateStatus::Draining } else { GateStatus::Serving };
        Some(GateEntry { node, zone: heartbeat.zone.clone(), status, connections: heartbeat.connections })
    }

    /// A drained gate that is idle is removed; one that a plan retires is removed by the plan's own step.
    fn departed_gate(&self) -> Option<Command> {
        let draining = self.state.gates.values().filter(|gate| gate.status == GateStatus::Draining);
        let idle = draining.filter(|gate| self.gates.is_idle(gate.node) && !self.state.owns_slots(gate.node));
        let by_plan = |gate: &&GateEntry| self.is_retired_by_active_plan(gate.node.address);
        idle.filter(|gate| !by_plan(gate)).map(|gate| Command::RemoveGate(gate.node)).next()
    }

    fn failed_gate(&self, now: Timestamp) -> Option<Command> {
        let failed = |gate: &&GateEntry| match self.gates.seen.get(&gate.node) {
            Some(seen) => self.has_failed(now, seen),
            None => false,
        };
        self.state.gates.values().find(failed).map(|gate| Command::RemoveGate(gate.node))
    }

    /// An owner that may still hold a lease must not lose its slots to another, however long it has been silent.
    fn has_failed(&self, now: Timestamp, seen: &GateSeen) -> bool {
        let lease_over = now > seen.leased_until || !self.settings.mechanisms.takeover_waits_for_lease;
        let silent = now.since(seen.last_heard) >= self.settings.timing.gate_timeout;
        lease_over && (silent || seen.reported_failed)
    }
}
