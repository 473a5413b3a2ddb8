//! The routing tables that this node uses, fetched from any member of the service's group and refreshed while in use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use quillhatch_types::{Epoch, Generation, NodeId, ServiceName, ServiceTable, SiteName, Timestamp};

use crate::host::nth_member;
use crate::io::{ControlEvent, ControlOutput, Recipient};
use crate::message::GroupBody;
use crate::node::ControlNode;
use crate::state::RetryLimits;

/// How often a table in use is compared with that of a group member.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, Default)]
struct Entry {
    table: Option<Arc<ServiceTable>>,
    retries: Vec<RetryLimits>,
    last_used_at: Option<Timestamp>,
    request_at: Option<Timestamp>,
    attempt: usize,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct TableStore {
    entries: BTreeMap<(ServiceName, SiteName), Entry>,
}

impl TableStore {
    pub fn get(&self, service: &ServiceName, site: &SiteName) -> Option<&Arc<ServiceTable>> {
        self.entries.get(&(service.clone(), site.clone()))?.table.as_ref()
    }

    pub fn all(&self) -> impl Iterator<Item = &Arc<ServiceTable>> {
        self.entries.values().filter_map(|entry| entry.table.as_ref())
    }

    /// The generation and epoch of the newest table that this node has from a group.
    pub fn floor(&self, service: &ServiceName, site: &SiteName) -> (Generation, Epoch) {
        self.get(service, site).map(|table| (table.generation, table.epoch)).unwrap_or_default()
    }

    /// The retry limits that plans have set at `site`.
    pub fn retries<'a>(
        &'a self,
        site: &'a SiteName,
    ) -> impl Iterator<Item = (&'a ServiceName, &'a Vec<RetryLimits>)> + 'a {
        let at_site = self.entries.iter().filter(move |((_, known), _)| known == site);
        at_site.map(|((service, _), entry)| (service, &entry.retries))
    }
}

impl ControlNode {
    pub(crate) fn on_fetch_table(
        &mut self,
        now: Timestamp,
        service: ServiceName,
        site: SiteName,
        outputs: &mut Vec<ControlOutput>,
    ) {
        let entry = self.tables.entries.entry((service, site)).or_default();
        entry.last_used_at = Some(now);
        // A repeated request means that an answer mentioned a newer table, so the refresh interval isn't awaited.
        let soon = now + self.settings.timing.tick;
        entry.request_at = Some(entry.request_at.map_or(now, |at| at.min(soon)));
        self.request_due_tables(now, outputs);
    }

    /// Requests the tables in use that are due for a refresh, from a different member each time.
    pub(crate) fn request_due_tables(&mut self, now: Timestamp, outputs: &mut Vec<ControlOutput>) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        let idle = self.settings.timing.table_idle;
        let mut due = Vec::new();
        for ((service, site), entry) in &mut self.tables.entries {
            let in_use = entry.last_used_at.is_some_and(|at| now.since(at) < idle);
            if !in_use || entry.request_at.is_none_or(|at| at > now) {
                continue;
            }
            let interval = if entry.table.is_some() { REFRESH_INTERVAL } else { self.settings.timing.resend };
            entry.request_at = Some(now + interval);
            entry.attempt += 1;
            due.push((service.clone(), site.clone(), entry.attempt));
        }
        for (service, site, attempt) in due {
            if let Some(address) = nth_member(&configuration, &service, &site, attempt) {
                let (generation, epoch) = self.tables.floor(&service, &site);
                let request = GroupBody::AskTable { generation, epoch };
                self.send_about(Recipient::Address(address), &service, &site, request, outputs);
            }
        }
    }

    pub(crate) fn on_table(
        &mut self,
        table: &Arc<ServiceTable>,
        retries: &[RetryLimits],
        outputs: &mut Vec<ControlOutput>,
    ) {
        if table.slots.is_empty() {
            return;
        }
        let entry = self.tables.entries.entry((table.service.clone(), table.site.clone())).or_default();
        if entry.table.as_ref().is_some_and(|known| !table.supersedes(known)) {
            return;
        }
        entry.table = Some(table.clone());
        entry.retries = retries.to_vec();
        outputs.push(ControlOutput::Table(table.clone()));
        let event =
            ControlEvent::TableChanged { service: table.service.clone(), site: table.site.clone(), epoch: table.epoch };
        self.event(event, outputs);
        if table.site == self.settings.site {
            self.publish_configuration(outputs);
            self.update_gate_from_table(table, outputs);
        }
    }

    pub(crate) fn answer_table(
        &self,
        to: NodeId,
        service: &ServiceName,
        known: (Generation, Epoch),
        outputs: &mut Vec<ControlOutput>,
    ) {
        let site = &self.settings.site;
        let Some(entry) = self.tables.entries.get(&(service.clone(), site.clone())) else {
            return;
        };
        let newer = entry.table.as_ref().filter(|table| (table.generation, table.epoch) > known);
        if let Some(table) = newer {
            let body = GroupBody::Table { table: table.clone(), retries: entry.retries.clone() };
            self.send_about(Recipient::Run(to), service, site, body, outputs);
        }
    }
}
