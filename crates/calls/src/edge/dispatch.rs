//! Finds a target for a call's next attempt and sends it, or lets the call wait for the owner of its slot.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, CallContext, NodeId, Refusal, RefusalReason, SiteName, Timestamp};
use rand::Rng;

use super::balance::{draw, Choice, Choosing};
use super::call::{Attempt, Call, Phase};
use super::io::EdgeOutput;
use super::routes::SlotOwner;
use super::state::Edge;

/// What to do with a call that wants to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// Send an attempt to the target at this place.
    Send { index: usize, probe: bool },
    /// Wait for a table that names another owner; else refuse.
    Wait(Refusal),
    /// Refuse.
    Refuse(Refusal),
}

impl Edge {
    /// Sends the call's next attempt, or lets it wait, or refuses it.
    pub(super) fn dispatch(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        if !self.services.contains_key(&call.arrival.service) {
            return self.finish_refused(call, Refusal::not_run(RefusalReason::NoRoute), outputs);
        }
        if self.settings.mechanisms.deadline_check && !call.deadline.leaves_time(now) {
            return self.finish_refused(call, Refusal::not_run(RefusalReason::DeadlineTooShort), outputs);
        }
        if matches!(call.phase, Phase::WaitingOwner { until, .. } if now >= until) {
            call.waited_out = true;
        }
        let rank = self.rank(&call);
        let decision = if call.repeatable {
            self.decide_any(now, &call, rank, outputs)
        } else {
            self.decide_owner(now, &call, rank)
        };
        match decision {
            Decision::Send { index, probe } => self.send(now, call, index, probe, rank, outputs),
            Decision::Wait(refusal) if call.waited_out => self.finish_refused(call, refusal, outputs),
            Decision::Wait(refusal) => self.wait_for_owner(now, call, refusal, outputs),
            Decision::Refuse(refusal) => self.finish_refused(call, refusal, outputs),
        }
    }

    /// Chooses among all targets for a call that any of them may run.
    fn decide_any(
        &mut self,
        now: Timestamp,
        call: &Call,
        rank: AdmissionRank,
        outputs: &mut Vec<EdgeOutput>,
    ) -> Decision {
        match self.choose_target(now, call, rank, outputs) {
            Choice::Target { index, probe } => Decision::Send { index, probe },
            Choice::Closed | Choice::Full => Decision::Refuse(self.overloaded()),
            Choice::Nothing => Decision::Refuse(self.without_owner(RefusalReason::NoTarget)),
        }
    }

    /// The choice of [`super::balance`] at the site of the call's root.
    pub(super) fn choose_target(
        &mut self,
        now: Timestamp,
        call: &Call,
        rank: AdmissionRank,
        outputs: &mut Vec<EdgeOutput>,
    ) -> Choice {
        let Some(service) = self.services.get(&call.arrival.service) else {
            return Choice::Nothing;
        };
        let Some((site, table_is_missing)) = service.site_of_root(call.arrival.root) else {
            return Choice::Nothing;
        };
        let settings = &self.settings;
        let choosing = Choosing {
            now,
            rank,
            tried: &call.tried,
            zone: &settings.zone,
            balance: &settings.balance,
            level_decay: settings.level.decay,
            probe_share: settings.level.probe_share,
            mechanisms: &settings.mechanisms,
        };
        let choice = service.choose(&choosing, &site, &settings.site, &mut self.random);
        if table_is_missing {
            self.fetch_table(now, call, &site, outputs);
        }
        choice
    }

    /// Only the owner of its slot may run a call that may not be repeated.
    fn decide_owner(&mut self, now: Timestamp, call: &Call, rank: AdmissionRank) -> Decision {
        let Some(service) = self.services.get(&call.arrival.service) else {
            return Decision::Refuse(Refusal::not_run(RefusalReason::NoRoute));
        };
        let owner = service.route_of_key(call.run_key()).map(|route| route.owner);
        match owner {
            Some(SlotOwner::Known(owner)) => self.decide_known_owner(now, call, rank, owner),
            Some(SlotOwner::Moving) => Decision::Wait(self.without_owner(RefusalReason::SlotMoving)),
            Some(SlotOwner::Unknown) => Decision::Wait(self.without_owner(RefusalReason::NotOwner)),
            None => Decision::Refuse(self.without_owner(RefusalReason::NoTarget)),
        }
    }

    fn decide_known_owner(&mut self, now: Timestamp, call: &Call, rank: AdmissionRank, owner: NodeId) -> Decision {
        let not_owner = Decision::Wait(self.without_owner(RefusalReason::NotOwner));
        let service = self.services.get(&call.arrival.service);
        let found = service.and_then(|service| Some((service, service.owner_index(owner)?)));
        let Some((service, index)) = found else {
            return not_owner;
        };
        let target = &service.targets()[index];
        if !target.is_serving() {
            return Decision::Wait(self.without_owner(RefusalReason::Draining));
        }
        // A suspected owner is sent to only after a wait in vain: it may be well, and nobody else can run the call.
        let doubtful = target.suspected || call.refused_owner == Some(owner);
        if doubtful && !call.waited_out {
            return not_owner;
        }
        let mechanisms = &self.settings.mechanisms;
        if mechanisms.connection_limit && !target.has_connection() {
            return Decision::Refuse(self.overloaded());
        }
        let level = &self.settings.level;
        let admitted = !mechanisms.admission_levels || target.level.admits(rank, now, level.decay);
        let probe = !admitted && draw(level.probe_share, &mut self.random);
        if admitted || probe {
            Decision::Send { index, probe }
        } else {
            Decision::Refuse(self.overloaded())
        }
    }

    fn wait_for_owner(&mut self, now: Timestamp, mut call: Box<Call>, refusal: Refusal, outputs: &mut Vec<EdgeOutput>) {
        let until = match call.phase {
            Phase::WaitingOwner { until, .. } => until,
            _ => {
                self.statistics.owner_waits += 1;
                now + self.settings.owner.wait.min(call.deadline.spare(now))
            }
        };
        call.phase = Phase::WaitingOwner { until, refusal };
        let service = self.services.get(&call.arrival.service);
        let sites = service.map(|service| service.configured_sites()).unwrap_or_default();
        for site in sites {
            self.fetch_table(now, &call, &site, outputs);
        }
        self.keep(now, call);
    }

    fn send(
        &mut self,
        now: Timestamp,
        mut call: Box<Call>,
        index: usize,
        probe: bool,
        rank: AdmissionRank,
        outputs: &mut Vec<EdgeOutput>,
    ) {
        if call.attempts == 0 {
            self.earn_retry(&call);
            self.statistics.first_attempts += 1;
        } else {
            self.statistics.retries += 1;
        }
        self.statistics.probes += u64::from(probe);
        if let Some((target, context)) = self.launch(now, &mut call, index, rank) {
            outputs.push(EdgeOutput::Send { target, context: Box::new(context) });
        }
        self.keep(now, call);
    }

    /// Marks the call's next attempt as sent to the target at `index`.
    pub(super) fn launch(
        &mut self,
        now: Timestamp,
        call: &mut Call,
        index: usize,
        rank: AdmissionRank,
    ) -> Option<(NodeId, CallContext)> {
        let service = self.services.get_mut(&call.arrival.service)?;
        let target = service.target_at(index)?;
        target.in_flight += 1;
        let node = target.node;
        let tokens = call.budget.lend();
        let context = call.context(tokens, rank, call.deadline.remaining(now));
        call.phase = Phase::InFlight(Attempt { number: call.attempts, target: node.address, sent_at: now });
        call.attempts = call.attempts.saturating_add(1);
        call.charged = false;
        call.waited_out = false;
        call.refused_owner = None;
        Some((node, context))
    }

    /// Asks for the table of `site`, unless that was done a short time ago.
    pub(super) fn fetch_table(&mut self, now: Timestamp, call: &Call, site: &SiteName, outputs: &mut Vec<EdgeOutput>) {
        let interval = self.settings.owner.fetch_interval;
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        if service.may_fetch(site, now, interval) {
            self.statistics.table_fetches += 1;
            outputs.push(EdgeOutput::FetchTable { service: call.arrival.service.clone(), site: site.clone() });
        }
    }

    /// Every target that could run the call is overloaded. Callers are told different times, so as not to come together.
    fn overloaded(&mut self) -> Refusal {
        let base = self.settings.level.retry_after;
        let microseconds = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.random.gen_range(0..=microseconds));
        Refusal::not_run(RefusalReason::Overloaded).with_retry_after(base + jitter)
    }

    fn without_owner(&self, reason: RefusalReason) -> Refusal {
        Refusal::not_run(reason).with_retry_after(self.settings.owner.retry_after)
    }
}
