//! Answers operators' requests for plans, the status and the exported configuration.

use std::sync::Arc;

use quillhatch_types::{Configuration, Formation, ServiceTable, SlotState};

use crate::host::status_of;
use crate::node::ControlNode;
use crate::operator::{OperatorReply, PlanSummary, StatusReport};

impl ControlNode {
    pub(crate) fn plans(&self) -> OperatorReply {
        let plans: Vec<PlanSummary> = self.hosts.values().flat_map(|host| host.plan_summaries()).collect();
        OperatorReply::Plans { plans }
    }

    pub(crate) fn status(&self, export: bool) -> OperatorReply {
        if export {
            return self.export();
        }
        let services = self.tables.all().map(|table| {
            let own_site = table.site == self.settings.site;
            let host = self.hosts.get(&table.service).filter(|_| own_site);
            status_of(table, host.and_then(|host| host.leader_hint()))
        });
        let report = StatusReport {
            node: self.settings.node,
            site: self.settings.site.clone(),
            ready: self.readiness.is_ready(),
            stopping: self.stopping.is_some(),
            revision: self.configuration.current().map(|configuration| configuration.revision),
            services: services.collect(),
        };
        OperatorReply::Status { report: Box::new(report) }
    }

    /// Exports the configuration in force, updated from the tables. It is what must be stored for a fleet that may lose
    /// the memory of all its nodes.
    fn export(&self) -> OperatorReply {
        let Some(published) = &self.published else {
            let advice = "ask a node that is ready";
            return OperatorReply::refused("node", "no configuration is in force here yet", advice);
        };
        let mut configuration: Configuration = published.as_ref().clone();
        configuration.formation = Formation::Existing;
        configuration.revision = configuration.revision.next();
        for table in self.tables.all() {
            apply_table(&mut configuration, table);
        }
        OperatorReply::Export { configuration: Box::new(configuration) }
    }
}

fn apply_table(configuration: &mut Configuration, table: &Arc<ServiceTable>) {
    let Some(service) = configuration.services.get_mut(&table.service) else {
        return;
    };
    service.minimum_epoch = service.minimum_epoch.max(table.epoch);
    let at_this_site = |state: &SlotState| matches!(state, SlotState::Owned { .. } | SlotState::Vacant);
    let own = table.slots.iter().filter(|assignment| at_this_site(&assignment.state)).count();
    let percent = (own * 100 + table.slots.len() / 2) / table.slots.len().max(1);
    let share = u8::try_from(percent.min(100)).unwrap_or(100);
    // With two sites the other one has the remaining share; with more, each site's share comes from its own table.
    let others: Vec<_> = service.site_shares.keys().filter(|site| **site != table.site).cloned().collect();
    service.site_shares.insert(table.site.clone(), share);
    if let [other] = others.as_slice() {
        service.site_shares.insert(other.clone(), 100 - share);
    }
}
