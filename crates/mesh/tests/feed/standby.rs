//! The standby watches of a simulated fleet.

use quillhatch_mesh::feed::STANDBY_WATCH_TIMEOUT;
use quillhatch_mesh::replica::Update;
use quillhatch_mesh::store_reader::NextRead;
use rand::Rng;

use crate::fleet::{Fleet, TICK, WATCH_RESPONSE_ALLOWANCE};
use crate::node::{PendingRead, StoreAccess};

impl Fleet {
    /// Starts the standby watch of a node, or ends it when it returns or fails.
    pub(super) fn step_standby(&mut self, number: usize) {
        let now = self.now;
        let store_position = self.store.position;
        let node = &mut self.nodes[number];
        let Some(read) = &node.standby_read else {
            if now >= node.next_standby_read_at {
                let next = node.standby_reader.next(node.replica.position());
                node.standby_read = Some(PendingRead { sent: now, timeout: STANDBY_WATCH_TIMEOUT, read: next });
                node.standby_position = node.replica.position();
                self.store.calls += 1;
            }
            return;
        };
        if now.since(read.sent) < TICK * 2 {
            return;
        }
        let (is_over, next) = (now.since(read.sent) >= read.timeout, read.read);
        let access = if self.store.is_down { StoreAccess::Refused } else { node.store_access };
        let from = node.standby_position;
        match access {
            StoreAccess::Refused => self.standby_read_failed(number, false),
            StoreAccess::Unresponsive if now.since(read.sent) >= read.timeout + WATCH_RESPONSE_ALLOWANCE => {
                self.standby_read_failed(number, false);
            }
            StoreAccess::Unresponsive => {}
            StoreAccess::Available => match next {
                NextRead::Watch { .. } if store_position.era != from.era => self.standby_read_failed(number, true),
                NextRead::Watch { after } if store_position.revision > after || is_over => {
                    let update = self.store.changes_since(after);
                    self.standby_read_succeeded(number, update);
                }
                NextRead::Watch { .. } => {}
                NextRead::StaleList | NextRead::List => {
                    let update = self.store.list();
                    self.standby_read_succeeded(number, update);
                }
            },
        }
    }

    fn standby_read_succeeded(&mut self, number: usize, update: Update) {
        self.apply(number, update);
        let node = &mut self.nodes[number];
        node.standby_read = None;
        node.next_standby_read_at = self.now + node.standby_reader.read_succeeded(&self.bounds);
    }

    fn standby_read_failed(&mut self, number: usize, is_history_lost: bool) {
        let node = &mut self.nodes[number];
        node.standby_read = None;
        let max_pause = node.standby_reader.read_failed(node.standby_position, is_history_lost, &self.bounds);
        node.next_standby_read_at = self.now + max_pause.mul_f64(self.random.gen_range(0.5..1.0));
    }
}
