//! Sites and zones, and the checks of references to them.

use quillhatch_types::{SiteConfiguration, SiteName, ZoneName};

use crate::report::{Report, Spot};
use crate::section::{Field, Section};
use crate::suggestion::nearest;

/// The sites of a document as far as they could be read.
#[derive(Debug)]
pub(super) struct Sites {
    list: Vec<SiteConfiguration>,
    /// Whether no site and no zone was left out; otherwise a reference to an unknown one may be right.
    complete: bool,
}

/// Reads the sites.
pub(super) fn read_sites(report: &mut Report<'_>, root: &mut Section<'_>) -> Sites {
    let mut sites = Sites { list: Vec::new(), complete: true };
    let Some(field) = root.require(report, "sites") else {
        sites.complete = false;
        return sites;
    };
    let items = field.items(report);
    if items.is_empty() {
        report.error(&field.spot, "there is no site", "give at least one site with its zones");
        sites.complete = false;
    }
    for item in &items {
        sites.read_site(report, item);
    }
    sites
}

impl Sites {
    /// The sites without what is only known while reading.
    pub(super) fn into_configurations(self) -> Vec<SiteConfiguration> {
        self.list
    }

    /// The sites' names.
    pub(super) fn names(&self) -> impl Iterator<Item = &SiteName> {
        self.list.iter().map(|site| &site.name)
    }

    /// Reports a reference to a site that there is not; returns whether the site is known.
    pub(super) fn check_site(&self, report: &mut Report<'_>, spot: &Spot, site: &SiteName) -> bool {
        let known = self.get(site).is_some();
        if !known && self.complete {
            report.error(
                spot,
                format!("there is no site {site}"),
                advice(site.as_str(), self.names().map(SiteName::as_str)),
            );
        }
        known
    }

    /// Reports a reference to a zone that `site` does not have; does nothing if the site is not known.
    pub(super) fn check_zone(&self, report: &mut Report<'_>, spot: &Spot, site: &SiteName, zone: &ZoneName) {
        let Some(zones) = self.get(site).map(|site| &site.zones).filter(|_| self.complete) else {
            return;
        };
        if zones.contains(zone) {
            return;
        }
        let problem = format!("the site {site} has no zone {zone}");
        report.error(spot, problem, advice(zone.as_str(), zones.iter().map(ZoneName::as_str)));
    }

    fn get(&self, name: &SiteName) -> Option<&SiteConfiguration> {
        self.list.iter().find(|site| &site.name == name)
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
            report.error(&field.spot, "the site has no zone", "give at least one zone");
        }
        let zones = self.read_zones(report, &items);
        let name_spot = section.spot("name");
        section.finish(report);
        match name {
            Some(name) if self.get(&name).is_some() => {
                report.error(&name_spot, format!("the site {name} is given twice"), "give each site its own name");
                // One of the two was likely meant to have another name, which references may use.
                self.complete = false;
            }
            Some(name) => self.list.push(SiteConfiguration { name, zones }),
            None => self.complete = false,
        }
    }

    fn read_zones(&mut self, report: &mut Report<'_>, items: &[Field<'_>]) -> Vec<ZoneName> {
        let mut zones = Vec::new();
        for item in items {
            match item.name(report, ZoneName::new) {
                Some(zone) if zones.contains(&zone) => {
                    report.error(&item.spot, format!("the zone {zone} is given twice"), "remove one of the two");
                    self.complete = false;
                }
                Some(zone) => zones.push(zone),
                None => self.complete = false,
            }
        }
        zones
    }
}

fn advice<'known>(word: &str, known: impl Iterator<Item = &'known str>) -> String {
    let known: Vec<&str> = known.collect();
    match nearest(word, known.iter().copied()) {
        Some(name) => format!("did you mean {name:?}?"),
        None => format!("name one of {}", known.join(", ")),
    }
}
