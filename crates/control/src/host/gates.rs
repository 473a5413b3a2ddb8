//! The leader's tracking of gates: joins, drains, leases and failures.

use std::collections::BTreeMap;
use std::sync::Arc;

use quillhatch_types::{GateEntry, GateStatus, NodeAddress, NodeId, Timestamp};

use crate::host::{HostStep, ServiceHost};
use crate::io::{LoadReport, MachineStatus, MemberStatus};
use crate::message::{GroupBody, Heartbeat};
use crate::settings::ControlTiming;
use crate::state::{Command, ServiceState};

/// The leader's volatile state about a gate, beyond the replicated state.
#[derive(Clone, Debug)]
pub(crate) struct GateObservation {
    pub last_heartbeat: Timestamp,
    pub leased_until: Timestamp,
    pub heartbeat: Option<Heartbeat>,
    reported_failed: bool,
    protected_refusals: Option<(Timestamp, u32)>,
}

/// The leader's volatile state about all gates.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateMonitor {
    observed: BTreeMap<NodeId, GateObservation>,
    replaced: BTreeMap<NodeId, Timestamp>,
    machines: Arc<BTreeMap<NodeAddress, MachineStatus>>,
}

/// The maximum number of replaced incarnations retained, so that their delayed heartbeats are ignored.
const MAX_REPLACED: usize = 256;

impl GateMonitor {
    /// Resets the observations when this node becomes the leader.
    pub fn begin(&mut self, now: Timestamp, timing: &ControlTiming, state: &ServiceState) {
        self.observed.clear();
        self.replaced.clear();
        self.observe_new_gates(now, timing, state);
    }

    /// Adds the gates of the replicated state that aren't observed yet. A previous leader may have granted them leases
    /// until now.
    pub fn observe_new_gates(&mut self, now: Timestamp, timing: &ControlTiming, state: &ServiceState) {
        for gate in state.gates.values() {
            self.observed.entry(gate.node).or_insert_with(|| GateObservation {
                last_heartbeat: now - timing.gate_lease_extension,
                leased_until: now + timing.gate_lease_extension,
                heartbeat: None,
                reported_failed: false,
                protected_refusals: None,
            });
        }
    }

    pub fn load(&self, node: NodeId) -> Option<LoadReport> {
        self.observed.get(&node)?.heartbeat.as_ref().map(|heartbeat| heartbeat.load)
    }

    pub fn is_idle(&self, node: NodeId) -> bool {
        let heartbeat = self.observed.get(&node).and_then(|observed| observed.heartbeat.as_ref());
        heartbeat.is_some_and(|heartbeat| heartbeat.idle)
    }

    /// The number of protected calls that all gates reported as refused within the last `span`.
    pub fn protected_refusals(&self, now: Timestamp, span: std::time::Duration) -> u32 {
        let recent = |observed: &GateObservation| match observed.protected_refusals {
            Some((at, count)) if now.since(at) <= span => count,
            _ => 0,
        };
        self.observed.values().map(recent).sum()
    }

    pub fn is_fresh(&self, now: Timestamp, node: NodeId, timing: &ControlTiming) -> bool {
        self.observed.get(&node).is_some_and(|observed| now.since(observed.last_heartbeat) < timing.gate_timeout)
    }

    pub fn report(&mut self, node: NodeId, status: MemberStatus) {
        if let Some(observed) = self.observed.get_mut(&node) {
            observed.reported_failed = matches!(status, MemberStatus::Failed | MemberStatus::Left);
        }
    }

    pub fn set_machines(&mut self, machines: &Arc<BTreeMap<NodeAddress, MachineStatus>>) {
        self.machines = Arc::clone(machines);
    }

    /// The machines that the platform lists.
    pub fn machines(&self) -> impl Iterator<Item = NodeAddress> + '_ {
        self.machines.keys().copied()
    }

    fn record_heartbeat(&mut self, now: Timestamp, from: NodeId, heartbeat: Heartbeat) -> bool {
        if self.replaced.contains_key(&from) {
            return false;
        }
        let older: Vec<NodeId> =
            self.observed.keys().filter(|known| known.address == from.address && **known != from).copied().collect();
        for run in older {
            self.observed.remove(&run);
            if self.replaced.len() < MAX_REPLACED {
                self.replaced.insert(run, now);
            }
        }
        let refusals = heartbeat.load.protected_refusals;
        let observed = self.observed.entry(from).or_insert_with(|| GateObservation {
            last_heartbeat: now,
            leased_until: now,
            heartbeat: None,
            reported_failed: false,
            protected_refusals: None,
        });
        if refusals > 0 {
            observed.protected_refusals = Some((now, refusals));
        }
        observed.last_heartbeat = now;
        observed.reported_failed = false;
        observed.heartbeat = Some(heartbeat);
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
        if !self.gates.record_heartbeat(step.now, from, heartbeat) {
            return;
        }
        let lease = self.grant_lease(step.now, from);
        let answer =
            GroupBody::HeartbeatAnswer { sequence, lease, generation: self.state.generation, epoch: self.state.epoch };
        self.answer(step, from, answer);
        self.lead(step);
    }

    /// Extends a gate's lease beyond the leader's own by no more than the time that a new leader waits.
    fn grant_lease(&mut self, now: Timestamp, gate: NodeId) -> std::time::Duration {
        let in_table = self.state.gate(gate).is_some();
        let Some(until) = self.group.lease_until().filter(|_| in_table) else {
            return std::time::Duration::ZERO;
        };
        let end = until + self.settings.timing.gate_lease_extension;
        if let Some(observed) = self.gates.observed.get_mut(&gate) {
            observed.leased_until = observed.leased_until.max(end);
        }
        now.until(end)
    }

    /// The next change of a gate that is missing from the replicated state.
    pub(crate) fn gate_command(&mut self, step: &HostStep<'_>) -> Option<Command> {
        self.changed_gate(step).or_else(|| self.drained_gate()).or_else(|| self.failed_gate(step.now))
    }

    fn changed_gate(&self, step: &HostStep<'_>) -> Option<Command> {
        let timing = &self.settings.timing;
        let fresh = self
            .gates
            .observed
            .iter()
            .filter(|(_, observed)| step.now.since(observed.last_heartbeat) < timing.gate_timeout);
        let entries =
            fresh.filter_map(|(node, observed)| self.desired_entry(step, *node, observed.heartbeat.as_ref()?));
        let mut changed = entries.filter(|entry| self.state.gates.get(&entry.node.address) != Some(entry));
        changed.next().map(Command::SetGate)
    }

    /// The table entry that a gate should have, or `None` if it should not be added.
    fn desired_entry(&self, step: &HostStep<'_>, node: NodeId, heartbeat: &Heartbeat) -> Option<GateEntry> {
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

    /// Removes an idle gate that has drained, unless the active plan retires it: a step of the plan then removes it.
    fn drained_gate(&self) -> Option<Command> {
        let draining = self.state.gates.values().filter(|gate| gate.status == GateStatus::Draining);
        let idle = draining.filter(|gate| self.gates.is_idle(gate.node) && !self.state.owns_slots(gate.node));
        let by_plan = |gate: &&GateEntry| self.is_retired_by_active_plan(gate.node.address);
        idle.filter(|gate| !by_plan(gate)).map(|gate| Command::RemoveGate(gate.node)).next()
    }

    fn failed_gate(&self, now: Timestamp) -> Option<Command> {
        let failed = |gate: &&GateEntry| match self.gates.observed.get(&gate.node) {
            Some(observed) => self.has_failed(now, observed),
            None => false,
        };
        self.state.gates.values().find(failed).map(|gate| Command::RemoveGate(gate.node))
    }

    /// Whether a gate has failed. An owner that may still hold a lease must keep its slots, however long it has not
    /// answered.
    fn has_failed(&self, now: Timestamp, observed: &GateObservation) -> bool {
        let lease_over = now > observed.leased_until || !self.settings.mechanisms.takeover_waits_for_lease;
        let timed_out = now.since(observed.last_heartbeat) >= self.settings.timing.gate_timeout;
        lease_over && (timed_out || observed.reported_failed)
    }
}
