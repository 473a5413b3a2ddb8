//! Chooses a target for a call's next attempt and sends it, or makes the call wait for the owner of its slot.

use std::time::Duration;

use quillhatch_types::{AdmissionRank, CallContext, NodeId, Refusal, RefusalReason, SiteName, Timestamp};
use rand::Rng;

use super::balance::{with_probability, Choice, TargetSelector};
use super::call::{Attempt, Call, Phase};
use super::io::EdgeOutput;
use super::routes::SlotOwner;
use super::state::Edge;

/// What to do with a call that is ready to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// Send an attempt to the target at this index.
    Send {
        index: usize,
        probe: bool,
    },
    /// Wait for a table with another owner; refuse with this if the wait times out.
    Wait(Refusal),
    Refuse(Refusal),
}

impl Edge {
    /// Sends the call's next attempt, makes the call wait for an owner, or refuses it.
    pub(super) fn dispatch(&mut self, now: Timestamp, mut call: Box<Call>, outputs: &mut Vec<EdgeOutput>) {
        if !self.services.contains_key(&call.arrival.service) {
            return self.finish_refused(call, Refusal::not_run(RefusalReason::NoRoute), outputs);
        }
        if self.settings.mechanisms.deadline_check && !call.deadline.leaves_time(now) {
            return self.finish_refused(call, Refusal::not_run(RefusalReason::DeadlineTooShort), outputs);
        }
        if matches!(call.phase, Phase::WaitingOwner { until, .. } if now >= until) {
            call.owner_wait_expired = true;
        }
        let rank = self.rank(&call);
        let decision = if call.repeatable {
            self.decide_any(now, &call, rank, outputs)
        } else {
            self.decide_owner(now, &call, rank)
        };
        match decision {
            Decision::Send { index, probe } => self.send(now, call, index, probe, rank, outputs),
            Decision::Wait(refusal) if call.owner_wait_expired => self.finish_refused(call, refusal, outputs),
            Decision::Wait(refusal) => self.wait_for_owner(now, call, refusal, outputs),
            Decision::Refuse(refusal) => self.finish_refused(call, refusal, outputs),
        }
    }

    /// Decides on a repeatable call, which any target may run.
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
            Choice::NoTarget => Decision::Refuse(self.refuse_unrouted(RefusalReason::NoTarget)),
        }
    }

    /// Chooses a target by load balancing (see [`super::balance`]), first at the site of the call's root.
    pub(super) fn choose_target(
        &mut self,
        now: Timestamp,
        call: &Call,
        rank: AdmissionRank,
        outputs: &mut Vec<EdgeOutput>,
    ) -> Choice {
        let Some(service) = self.services.get(&call.arrival.service) else {
            return Choice::NoTarget;
        };
        let Some((site, table_is_missing)) = service.site_of_root(call.arrival.root) else {
            return Choice::NoTarget;
        };
        let settings = &self.settings;
        let selector = TargetSelector {
            now,
            rank,
            tried: &call.tried,
            zone: &settings.zone,
            balance: &settings.balance,
            level_decay: settings.level.decay,
            probe_share: settings.level.probe_share,
            mechanisms: &settings.mechanisms,
        };
        let choice = service.choose(&selector, &site, &settings.site, &mut self.random);
        if table_is_missing {
            self.fetch_table(now, call, &site, outputs);
        }
        choice
    }

    /// Decides on a non-repeatable call, which only the owner of its slot may run.
    fn decide_owner(&mut self, now: Timestamp, call: &Call, rank: AdmissionRank) -> Decision {
        let Some(service) = self.services.get(&call.arrival.service) else {
            return Decision::Refuse(Refusal::not_run(RefusalReason::NoRoute));
        };
        let owner = service.route_of_key(call.run_key()).map(|route| route.owner);
        match owner {
            Some(SlotOwner::Known(owner)) => self.decide_known_owner(now, call, rank, owner),
            Some(SlotOwner::Moving) => Decision::Wait(self.refuse_unrouted(RefusalReason::SlotMoving)),
            Some(SlotOwner::Unknown) => Decision::Wait(self.refuse_unrouted(RefusalReason::NotOwner)),
            None => Decision::Refuse(self.refuse_unrouted(RefusalReason::NoTarget)),
        }
    }

    fn decide_known_owner(&mut self, now: Timestamp, call: &Call, rank: AdmissionRank, owner: NodeId) -> Decision {
        let not_owner = Decision::Wait(self.refuse_unrouted(RefusalReason::NotOwner));
        let service = self.services.get(&call.arrival.service);
        let found = service.and_then(|service| Some((service, service.owner_index(owner)?)));
        let Some((service, index)) = found else {
            return not_owner;
        };
        let target = &service.targets()[index];
        if !target.is_serving() {
            return Decision::Wait(self.refuse_unrouted(RefusalReason::Draining));
        }
        // A suspected owner gets the call only after a wait for another owner timed out: it may be alive, and no other
        // node can run the call. The same holds for an owner that refused the last attempt.
        let unreliable = target.suspected || call.rejecting_owner == Some(owner);
        if unreliable && !call.owner_wait_expired {
            return not_owner;
        }
        let mechanisms = &self.settings.mechanisms;
        if mechanisms.connection_limit && !target.has_free_connection() {
            return Decision::Refuse(self.overloaded());
        }
        let level = &self.settings.level;
        let admitted = !mechanisms.admission_levels || target.level.admits(rank, now, level.decay);
        let probe = !admitted && with_probability(level.probe_share, &mut self.random);
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
        self.insert_call(now, call);
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
        if let Some((target, context)) = self.start_attempt(now, &mut call, index, rank) {
            outputs.push(EdgeOutput::Send { target, context: Box::new(context) });
        }
        self.insert_call(now, call);
    }

    /// Starts the call's next attempt to the target at `index`; returns the target and the context to send.
    pub(super) fn start_attempt(
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
        call.retry_charged = false;
        call.owner_wait_expired = false;
        call.rejecting_owner = None;
        Some((node, context))
    }

    /// Requests the table of `site`, unless it was requested within the fetch interval.
    pub(super) fn fetch_table(&mut self, now: Timestamp, call: &Call, site: &SiteName, outputs: &mut Vec<EdgeOutput>) {
        let interval = self.settings.owner.fetch_interval;
        let Some(service) = self.services.get_mut(&call.arrival.service) else {
            return;
        };
        if service.try_start_fetch(site, now, interval) {
            self.statistics.table_fetches += 1;
            outputs.push(EdgeOutput::FetchTable { service: call.arrival.service.clone(), site: site.clone() });
        }
    }

    /// The refusal for a call that no target can take for lack of capacity. Its retry delay has random jitter, so that
    /// callers do not retry at the same time.
    fn overloaded(&mut self) -> Refusal {
        let base = self.settings.level.retry_after;
        let microseconds = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.random.gen_range(0..=microseconds));
        Refusal::not_run(RefusalReason::Overloaded).with_retry_after(base + jitter)
    }

    /// The refusal for a call without a target or a usable owner.
    fn refuse_unrouted(&self, reason: RefusalReason) -> Refusal {
        Refusal::not_run(reason).with_retry_after(self.settings.owner.retry_after)
    }
}
