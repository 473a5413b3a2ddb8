//! The reads of a simulated fleet's nodes from the store, standby watches aside.

use std::time::Duration;

use quillhatch_mesh::feed::{watch_timeout, ReadReason, ReadSchedule, ReadScheduleInputs};
use quillhatch_mesh::store_reader::NextRead;
use rand::Rng;

use crate::fleet::{Fleet, Mutation, TICK, WATCH_RESPONSE_ALLOWANCE};
use crate::node::{PendingRead, StoreAccess};

impl Fleet {
    /// Starts a node's read of the store if one is due, or ends it when it returns or fails.
    pub(super) fn step_read(&mut self, number: usize) {
        let now = self.now;
        let store_is_down = self.store.is_down;
        let store_position = self.store.position;
        let node = &mut self.nodes[number];
        let Some(read) = &node.read else {
            if now >= node.next_read_at {
                self.start_read(number);
            }
            return;
        };
        if now.since(read.sent) < TICK * 2 {
            return;
        }
        let access = if store_is_down { StoreAccess::Refused } else { node.store_access };
        match access {
            StoreAccess::Refused => self.store_read_failed(number),
            StoreAccess::Unresponsive if now.since(read.sent) >= read.timeout + WATCH_RESPONSE_ALLOWANCE => {
                self.store_read_failed(number)
            }
            StoreAccess::Unresponsive => {}
            StoreAccess::Available => {
                let has_news = match read.read {
                    NextRead::Watch { after } => {
                        store_position.revision > after || store_position.era != node.position().era
                    }
                    NextRead::StaleList | NextRead::List => true,
                };
                if has_news || now.since(read.sent) >= read.timeout {
                    self.store_read_succeeded(number);
                }
            }
        }
    }

    fn start_read(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let inputs = ReadScheduleInputs {
            has_view: true,
            must_probe: false,
            own_call_failed: node.own_call_failed && self.mutation != Some(Mutation::NeverVerifiesAccess),
            role: &node.role,
            loss: node.loss,
            store_read_at: node.store_read_at.filter(|_| self.mutation != Some(Mutation::WaitsForReaders)),
            is_isolated: node.is_isolated,
            solo_reads: node.solo_reads,
            proof_renewal_in: None,
            jitter: node.jitter,
        };
        let ReadSchedule::Now(reason) = inputs.schedule(&self.bounds, now) else { return };
        let is_probing = reason == ReadReason::Once || node.loss.since().is_some();
        let timeout = if is_probing { Duration::from_millis(200) } else { watch_timeout(&self.bounds) };
        node.read = Some(PendingRead { sent: now, timeout, read: node.store_reader.next(node.replica.position()) });
        self.store.calls += 1;
    }

    fn store_read_succeeded(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(read) = node.read.take() else { return };
        let update = match read.read {
            NextRead::Watch { .. } if self.store.position.era != node.position().era => {
                node.store_reader.history_lost();
                return;
            }
            NextRead::Watch { after } => self.store.changes_since(after),
            NextRead::StaleList | NextRead::List => self.store.list(),
        };
        let has_changes = !update.changes.is_empty();
        self.apply(number, update);
        let node = &mut self.nodes[number];
        node.store_reader.read_succeeded();
        node.own_call_failed = false;
        node.store_read_at = node.store_read_at.max(Some(read.sent));
        node.loss.store_read();
        if has_changes {
            node.next_read_at = now + node.role.batch_pause(node.last_read_had_changes, &self.bounds);
        }
        node.last_read_had_changes = has_changes;
    }

    fn store_read_failed(&mut self, number: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        let Some(read) = node.read.take() else { return };
        node.own_call_failed = true;
        node.loss.store_call_failed(read.sent, node.store_read_at);
        let max_pause = node.store_reader.read_failed(true, &self.bounds);
        node.next_read_at = now + max_pause.mul_f64(self.random.gen_range(0.5..1.0));
    }
}
