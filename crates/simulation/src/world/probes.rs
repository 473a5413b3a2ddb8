//! Sees from outside which configuration revision each node has in force.
//!
//! Each revision gives one class of calls another deadline. Probe calls of that class go through every edge, and the time
//! left that the edge writes into an attempt shows its revision. Gates tell theirs with their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use quillhatch_calls::edge::io::EdgeInput;
use quillhatch_types::{Priority, Revision, RootId};
use rand::Rng;

use super::calls::{AttemptIndex, CallStart, Origin};
use super::machine::{MachineIndex, Presence};
use super::{Agenda, Event, World};
use crate::engine::Instant;
use crate::options::PolicyKind;
use crate::policy::HostInput;
use crate::profile::{ClassProfile, Deployment, Step, StepIndex};
use crate::record::RequestTag;
use crate::timeline::{ARRIVALS_START, MILLISECOND, RUN_END, SECOND};

/// The name of the probes' class.
pub const PROBE_CLASS: &str = "probe";

/// The deadline of probes before any revision.
const BASE_DEADLINE: Duration = Duration::from_secs(2);

/// How much each revision adds.
const DEADLINE_PER_REVISION: Duration = Duration::from_millis(20);

/// How often each edge is probed.
const PROBE_INTERVAL: Instant = 200 * MILLISECOND;

/// The deadline of probes under `revision`.
pub fn probe_deadline(revision: Revision) -> Duration {
    BASE_DEADLINE + DEADLINE_PER_REVISION * revision.0 as u32
}

/// The revision that gives probes this much time, if one does.
fn revision_of(remaining: Duration) -> Option<Revision> {
    let above = remaining.checked_sub(BASE_DEADLINE)?;
    let steps = above.as_micros().div_ceil(DEADLINE_PER_REVISION.as_micros());
    Some(Revision(steps as u64))
}

/// Adds the probes' class and step to a deployment.
pub fn add_probes(deployment: &mut Deployment) -> StepIndex {
    let service = deployment.busiest;
    let classes = &mut deployment.services[service].classes;
    classes.push(ClassProfile {
        name: PROBE_CLASS,
        priority: Priority::Protected,
        repeatable: true,
        deadline: BASE_DEADLINE,
        retry_budget: 0,
        large_answers: false,
    });
    let class = classes.len() - 1;
    deployment.steps.push(Step::new(service, class, 1));
    deployment.steps.len() - 1
}

/// A revision that every node is to have in force.
struct Expected {
    revision: Revision,
    published: Instant,
}

/// What was seen of revisions.
#[derive(Default)]
pub struct Probes {
    step: StepIndex,
    seen: BTreeMap<(MachineIndex, u32), Revision>,
    expected: Option<Expected>,
    /// The highest revision that was seen in force everywhere.
    everywhere: Revision,
}

impl Probes {
    /// Probes that call `step`.
    pub fn new(step: StepIndex) -> Self {
        Probes { step, ..Probes::default() }
    }
}

impl World {
    /// Schedules the probes of all edges.
    pub(super) fn begin_probes(&mut self, agenda: &mut Agenda) {
        let edges = (0..self.machines.len()).filter(|&index| self.machines[index].back_end.is_none());
        let edges: Vec<usize> = edges.collect();
        for (position, index) in edges.into_iter().enumerate() {
            let machine = MachineIndex(index as u16);
            agenda.at(ARRIVALS_START + position as Instant * MILLISECOND, Event::Probe { machine });
        }
    }

    /// Sends a probe through an edge.
    pub(super) fn probe(&mut self, machine: MachineIndex, agenda: &mut Agenda) {
        if self.options.policy != PolicyKind::Quillhatch || agenda.now() > RUN_END - 2 * SECOND {
            return;
        }
        agenda.after(PROBE_INTERVAL, Event::Probe { machine });
        if self.machines[machine.at()].presence != Presence::Up {
            return;
        }
        let tree = self.record.tree_started(0);
        let root = RootId(self.generators.identities.gen());
        let tag = RequestTag(self.generators.identities.gen());
        let start = CallStart {
            origin: Origin::Probe(machine),
            tree,
            root,
            edge: machine,
            step: self.probes.step,
            tag,
            key: None,
        };
        let call = self.new_call(start);
        let Some(arrival) = self.arrival_of(call, PROBE_CLASS, None, None) else { return };
        self.step(machine, HostInput::Edge(EdgeInput::Arrived(arrival)), agenda);
    }

    /// An edge sends an attempt with the time left of it; for a probe, that shows the edge's revision.
    pub(super) fn see_probe(&mut self, attempt: AttemptIndex, remaining: Duration, now: Instant) {
        let entry = &self.attempts[attempt.at()];
        let Origin::Probe(edge) = self.calls[entry.call.at()].origin else { return };
        let life = entry.edge_life;
        if let Some(revision) = revision_of(remaining).filter(|_| entry.id.attempt == 0) {
            self.see_revision(edge, life, revision, now);
        }
    }

    /// A node was seen with `revision` in force.
    pub(super) fn see_revision(&mut self, machine: MachineIndex, life: u32, revision: Revision, now: Instant) {
        let last = self.probes.seen.insert((machine, life), revision);
        let went_back = last.is_some_and(|last| revision < last);
        // A leaving node is not among those that "everywhere" was said of; that it went back would still show above.
        let judged = self.counts_everywhere(machine) && now >= self.machines[machine.at()].current_from;
        let is_behind = judged && revision < self.probes.everywhere;
        if went_back || is_behind {
            self.record.config_reversions += 1;
            let (label, everywhere) = (&self.machines[machine.at()].label, self.probes.everywhere);
            let text = format!("{label}: revision {revision} seen after {everywhere} was in force everywhere");
            self.record.event(now, text);
        }
        let Some(expected) = &self.probes.expected else { return };
        let (wanted, published) = (expected.revision, expected.published);
        if revision < wanted || !self.nodes_behind(wanted).is_empty() {
            return;
        }
        self.probes.everywhere = wanted;
        self.probes.expected = None;
        let took = now - published;
        self.record.config_in_force = Some(self.record.config_in_force.map_or(took, |longest| longest.max(took)));
        self.record.event(now, format!("configuration revision {wanted} seen in force everywhere"));
    }

    /// Whether a revision must be in force at this node to be in force everywhere.
    fn counts_everywhere(&self, machine: MachineIndex) -> bool {
        let machine = &self.machines[machine.at()];
        machine.presence == Presence::Up && !machine.stopping && machine.drained_at.is_none()
    }

    /// Live nodes that were not seen with `revision` or a newer one.
    fn nodes_behind(&self, revision: Revision) -> Vec<MachineIndex> {
        let indices = (0..self.machines.len()).map(|index| MachineIndex(index as u16));
        let behind = indices.filter(|index| {
            let seen = self.probes.seen.get(&(*index, self.machines[index.at()].life));
            self.counts_everywhere(*index) && seen.is_none_or(|seen| *seen < revision)
        });
        behind.collect()
    }

    /// From now on, every node is to have `revision` in force.
    pub(super) fn expect_revision(&mut self, revision: Revision, now: Instant) {
        self.probes.expected = Some(Expected { revision, published: now });
    }

    /// Counts the nodes that still lack a configuration that was published long ago.
    pub(super) fn close_probes(&mut self, now: Instant) {
        const LONG_AGO: Instant = 10 * SECOND;
        if self.options.policy != PolicyKind::Quillhatch {
            return;
        }
        let Some(expected) = &self.probes.expected else { return };
        if now < expected.published + LONG_AGO {
            return;
        }
        let behind = self.nodes_behind(expected.revision);
        self.record.config_never_in_force += behind.len() as u64;
        for index in behind {
            let text = format!("{}: never seen with the newest configuration", self.machines[index.at()].label);
            self.record.event(now, text);
        }
    }
}
