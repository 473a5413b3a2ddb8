//! Converts the parsed tree of a configuration document to a [`Configuration`].

use std::collections::BTreeMap;

use quillhatch_types::{Configuration, DeploymentName, Epoch, Formation, Revision, ServiceConfiguration, ServiceName};

use super::service::{read_service, ServiceContext};
use super::sites::read_sites;
use super::MAX_SAFE_INTEGER;
use crate::document::ValueNode;
use crate::report::Report;
use crate::section::{Field, Section};

const FORMATIONS: [(&str, Formation); 2] = [("new", Formation::New), ("existing", Formation::Existing)];

/// Reads the configuration. Returns `None` if a key without default is missing or invalid, which is reported.
pub(super) fn read(report: &mut Report<'_>, node: &ValueNode) -> Option<Configuration> {
    let mut root = Section::open(report, &Field::root(node))?;
    let deployment = root.require(report, "deployment").and_then(|field| field.name(report, DeploymentName::new));
    let revision = root.require(report, "revision").and_then(|field| field.integer(report, 1..=MAX_SAFE_INTEGER));
    let formation =
        root.optional(report, "formation", Formation::default(), |field, report| field.choice(report, &FORMATIONS));
    let sites = read_sites(report, &mut root);
    let mut context = ServiceContext::new(&sites);
    let services = read_services(report, &mut root, &mut context);
    root.finish(report);
    Some(Configuration {
        deployment: deployment?,
        revision: Revision(revision?),
        formation,
        sites: sites.into_configurations(),
        services: services?,
    })
}

fn read_services(
    report: &mut Report<'_>,
    root: &mut Section<'_>,
    context: &mut ServiceContext<'_>,
) -> Option<BTreeMap<ServiceName, ServiceConfiguration>> {
    let field = root.require(report, "services")?;
    let mut services = BTreeMap::new();
    for (name, name_location, member) in field.members(report) {
        let checked = ServiceName::new(name);
        if let Err(error) = &checked {
            let problem = format!("{name:?} is not accepted as the name of a service: {error}");
            report.error(&name_location, problem, "choose another name");
        }
        let service = read_service(report, &member, checked.ok(), context);
        services.extend(service.map(|service| (service.name.clone(), service)));
    }
    Some(services)
}

/// Reads the epoch in `key`; zero if the key is missing.
pub(super) fn read_epoch(report: &mut Report<'_>, section: &mut Section<'_>, key: &'static str) -> Epoch {
    Epoch(section.optional(report, key, 0, |field, report| field.integer(report, 0..=MAX_SAFE_INTEGER)))
}
