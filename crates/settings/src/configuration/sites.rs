//! Reads the sites with their zones, and checks references to them.

use quillhatch_types::{SiteConfiguration, SiteName, ZoneName};

use crate::report::{Report, ValueLocation};
use crate::section::{Field, Section};
use crate::suggestion::nearest_word;

/// The sites of a document that have a valid and unique name.
#[derive(Debug)]
pub(super) struct DeclaredSites {
    sites: Vec<SiteConfiguration>,
    /// Whether all sites and zones are valid. If not, unknown names are not reported, because they may refer to a site
    /// or zone that was left out.
    complete: bool,
}

/// Reads the sites and zones; invalid and duplicate ones are reported and left out.
pub(super) fn read_sites(report: &mut Report<'_>, root: &mut Section<'_>) -> DeclaredSites {
    let mut sites = DeclaredSites { sites: Vec::new(), complete: true };
    let Some(field) = root.require(report, "sites") else {
        sites.complete = false;
        return sites;
    };
    let items = field.items(report);
    if items.is_empty() {
        report.error(&field.location, "there is no site", "give at least one site with its zones");
        sites.complete = false;
    }
    for item in &items {
        sites.read_site(report, item);
    }
    sites
}

impl DeclaredSites {
    /// Returns the configurations of the sites.
    pub(super) fn into_configurations(self) -> Vec<SiteConfiguration> {
        self.sites
    }

    /// The names of the sites.
    pub(super) fn names(&self) -> impl Iterator<Item = &SiteName> {
        self.sites.iter().map(|site| &site.name)
    }

    /// Reports a reference to an unknown site. Returns whether the site is known.
    pub(super) fn check_site(&self, report: &mut Report<'_>, location: &ValueLocation, site: &SiteName) -> bool {
        let known = self.get(site).is_some();
        if !known && self.complete {
            report.error(
                location,
                format!("there is no site {site}"),
                suggestion_for(site.as_str(), self.names().map(SiteName::as_str)),
            );
        }
        known
    }

    /// Reports a reference to a zone that `site` does not have. Does nothing if the site is unknown.
    pub(super) fn check_zone(
        &self,
        report: &mut Report<'_>,
        location: &ValueLocation,
        site: &SiteName,
        zone: &ZoneName,
    ) {
        let Some(zones) = self.get(site).map(|site| &site.zones).filter(|_| self.complete) else {
            return;
        };
        if zones.contains(zone) {
            return;
        }
        let problem = format!("the site {site} has no zone {zone}");
        report.error(location, problem, suggestion_for(zone.as_str(), zones.iter().map(ZoneName::as_str)));
    }

    fn get(&self, name: &SiteName) -> Option<&SiteConfiguration> {
        self.sites.iter().find(|site| &site.name == name)
    }

    fn read_site(&mut self, report: &mut Report<'_>, item: &Field<'_>) {
        let Some(mut section) = Section::open(report, item) else {
            self.complete = false;
            return;
        };
        let name = section.require(report, "name").and_then(|field| field.name(report, SiteName::new));
        let zones_field = section.require(report, "zones");
        let items = zones_field.as_ref().map(|field| field.items(report)).unwrap_or_default();
        if let Some(field) = zones_field.filter(|_| items.is_empty()) {
            report.error(&field.location, "the site has no zone", "give at least one zone");
        }
        let zones = self.read_zones(report, &items);
        let name_location = section.location_of("name");
        section.finish(report);
        match name {
            Some(name) if self.get(&name).is_some() => {
                report.error(&name_location, format!("the site {name} is given twice"), "give each site its own name");
                // One of the two probably should have another name, and references may use that name.
                self.complete = false;
            }
            Some(name) => self.sites.push(SiteConfiguration { name, zones }),
            None => self.complete = false,
        }
    }

    fn read_zones(&mut self, report: &mut Report<'_>, items: &[Field<'_>]) -> Vec<ZoneName> {
        let mut zones = Vec::new();
        for item in items {
            match item.name(report, ZoneName::new) {
                Some(zone) if zones.contains(&zone) => {
                    report.error(&item.location, format!("the zone {zone} is given twice"), "remove one of the two");
                    self.complete = false;
                }
                Some(zone) => zones.push(zone),
                None => self.complete = false,
            }
        }
        zones
    }
}

fn suggestion_for<'known>(word: &str, known: impl Iterator<Item = &'known str>) -> String {
    let known: Vec<&str> = known.collect();
    match nearest_word(word, known.iter().copied()) {
        Some(name) => format!("did you mean {name:?}?"),
        None => format!("use one of {}", known.join(", ")),
    }
}
