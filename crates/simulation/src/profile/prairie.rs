//! The alumni network: directory, giving, archives and events.

use std::time::Duration;

use quillhatch_types::Priority::{Bulk, Interactive, Protected};

use super::{ClassProfile, Deployment, Latencies, ServiceProfile, Step, TrafficProfile};

const DIRECTORY: usize = 0;
const GIVING: usize = 1;
const ARCHIVES: usize = 2;
const EVENTS: usize = 3;

const ARCHIVE_BLOCK: usize = 0;
const ARCHIVE_INDEX: usize = 1;
const DIRECTORY_LOOKUP: usize = 2;
const DIRECTORY_EXPORT: usize = 3;
const GIVING_SUMMARY: usize = 4;
const CHARGE: usize = 5;
const PLEDGE: usize = 6;
const EVENT_PAGE: usize = 7;
const REGISTRATION: usize = 8;
const EVENT_REPORT: usize = 9;
const DOWNLOAD: usize = 10;
const ANNUAL_REPORT: usize = 11;

fn class(name: &'static str, priority: quillhatch_types::Priority, deadline_milliseconds: u64) -> ClassProfile {
    ClassProfile {
        name,
        priority,
        repeatable: true,
        deadline: Duration::from_millis(deadline_milliseconds),
        retry_budget: 3,
        large_answers: false,
    }
}

fn once(class: ClassProfile) -> ClassProfile {
    ClassProfile { repeatable: false, ..class }
}

fn services() -> Vec<ServiceProfile> {
    vec![
        ServiceProfile {
            name: "directory",
            targets: 3,
            slots: 10,
            connections: 100,
            sheds_before_running: true,
            classes: vec![class("lookup", Interactive, 1_000), class("export", Bulk, 3_000)],
        },
        ServiceProfile {
            name: "giving",
            targets: 3,
            slots: 15,
            connections: 100,
            sheds_before_running: false,
            classes: vec![
                once(class("pledge", Protected, 4_000)),
                once(class("charge", Protected, 4_000)),
                class("summary", Interactive, 1_000),
            ],
        },
        ServiceProfile {
            name: "archives",
            targets: 3,
            slots: 20,
            connections: 100,
            sheds_before_running: true,
            classes: vec![
                class("index", Interactive, 1_000),
                class("block", Interactive, 1_000),
                ClassProfile { large_answers: true, ..class("download", Bulk, 20_000) },
            ],
        },
        ServiceProfile {
            name: "events",
            targets: 3,
            slots: 20,
            connections: 100,
            sheds_before_running: false,
            classes: vec![
                once(class("registration", Protected, 4_000)),
                class("page", Interactive, 1_500),
                class("report", Bulk, 6_000),
            ],
        },
    ]
}

fn steps() -> Vec<Step> {
    vec![
        Step::new(ARCHIVES, 1, 10),
        Step::new(ARCHIVES, 0, 24).then(ARCHIVE_BLOCK, 20),
        Step::new(DIRECTORY, 0, 36).then(ARCHIVE_INDEX, 50),
        Step::new(DIRECTORY, 1, 80).then(DIRECTORY_LOOKUP, 50),
        Step::new(GIVING, 2, 30).then(DIRECTORY_LOOKUP, 100),
        Step::new(GIVING, 1, 60).then(DIRECTORY_LOOKUP, 100),
        Step::new(GIVING, 0, 60).then(DIRECTORY_LOOKUP, 100).then(ARCHIVE_INDEX, 30),
        Step::new(EVENTS, 1, 30).then_all(&[(DIRECTORY_LOOKUP, 100), (ARCHIVE_INDEX, 50)]),
        Step::new(EVENTS, 0, 50).then(CHARGE, 100),
        Step::new(EVENTS, 2, 50).then_all(&[(GIVING_SUMMARY, 100), (DIRECTORY_EXPORT, 100)]),
        Step::new(ARCHIVES, 2, 20).download(40_000_000, Duration::from_millis(2_500)),
        Step::new(EVENTS, 2, 20).then(EVENT_REPORT, 100),
    ]
}

fn traffic(step: usize, weight: f64, patience_milliseconds: u64, keyed_percent: u32) -> TrafficProfile {
    TrafficProfile {
        step,
        weight,
        patience: Duration::from_millis(patience_milliseconds),
        tries: 4,
        keyed_percent,
        abandon_percent: 1,
    }
}

/// The deployment.
pub fn deployment() -> Deployment {
    Deployment {
        name: "prairie",
        zones: ["hall-a", "hall-b", "hall-c"],
        services: services(),
        steps: steps(),
        traffic: vec![
            traffic(DIRECTORY_LOOKUP, 40.0, 700, 0),
            traffic(EVENT_PAGE, 20.0, 1_000, 0),
            traffic(PLEDGE, 12.0, 3_000, 70),
            traffic(REGISTRATION, 10.0, 3_000, 70),
            traffic(EVENT_REPORT, 4.0, 5_000, 0),
            traffic(ANNUAL_REPORT, 1.0, 6_000, 0),
            traffic(GIVING_SUMMARY, 6.0, 800, 0),
            traffic(DOWNLOAD, 1.5, 12_000, 0),
        ],
        latencies: Latencies {
            within_zone: 100,
            between_zones: 500,
            between_sites: 4_000,
            to_callers: 1_000,
            connect: 1_000,
        },
        deepest: ARCHIVES,
        busiest: DIRECTORY,
        downloads: ARCHIVES,
    }
}
