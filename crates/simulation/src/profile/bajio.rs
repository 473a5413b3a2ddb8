//! Shared parking: availability, valet custody, billing and fleets.

use std::time::Duration;

use quillhatch_types::Priority::{self, Bulk, Interactive, Protected};

use super::{ClassProfile, Deployment, Latencies, ServiceProfile, Step, TrafficProfile};

const AVAILABILITY: usize = 0;
const CUSTODY: usize = 1;
const BILLING: usize = 2;
const FLEETS: usize = 3;

const SPOTS: usize = 0;
const ACCOUNT: usize = 1;
const CHARGE: usize = 2;
const HANDOVER: usize = 3;
const GATE_EXIT: usize = 4;
const TARIFF: usize = 5;
const ACCOUNT_REPORT: usize = 6;
const FLEET_REPORT: usize = 7;
const INVOICE_PACK: usize = 8;
const STAY: usize = 9;
const PORTFOLIO_REPORT: usize = 10;
const SHIFT_REPORT: usize = 11;

fn class(name: &'static str, priority: Priority, deadline_milliseconds: u64) -> ClassProfile {
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
            name: "disponibilidad",
            targets: 4,
            slots: 5,
            connections: 130,
            sheds_before_running: true,
            classes: vec![class("spots", Interactive, 800)],
        },
        ServiceProfile {
            name: "valet-custodia",
            targets: 3,
            slots: 10,
            connections: 130,
            sheds_before_running: false,
            classes: vec![
                once(class("handover", Protected, 5_000)),
                class("stay", Interactive, 1_500),
                class("shift-report", Bulk, 6_000),
            ],
        },
        ServiceProfile {
            name: "facturacion",
            targets: 3,
            slots: 10,
            connections: 130,
            sheds_before_running: true,
            classes: vec![
                once(class("charge", Protected, 4_000)),
                once(class("gate-exit", Protected, 4_000)),
                class("tariff", Interactive, 1_000),
                ClassProfile { large_answers: true, ..class("invoice-pack", Bulk, 20_000) },
            ],
        },
        ServiceProfile {
            name: "flotillas",
            targets: 4,
            slots: 10,
            connections: 130,
            sheds_before_running: false,
            classes: vec![
                class("account", Interactive, 1_000),
                class("account-report", Bulk, 4_000),
                class("fleet-report", Bulk, 6_000),
            ],
        },
    ]
}

fn steps() -> Vec<Step> {
    vec![
        Step::new(AVAILABILITY, 0, 24),
        Step::new(FLEETS, 0, 30).then(SPOTS, 40),
        Step::new(BILLING, 0, 50).then(ACCOUNT, 60),
        Step::new(CUSTODY, 0, 50).then(SPOTS, 100).then(CHARGE, 80),
        Step::new(BILLING, 1, 40).then(ACCOUNT, 60),
        Step::new(BILLING, 2, 16).then(SPOTS, 50),
        Step::new(FLEETS, 1, 60).then_all(&[(ACCOUNT, 100), (TARIFF, 100)]),
        Step::new(FLEETS, 2, 60).then(STAY, 100).then(ACCOUNT_REPORT, 100),
        Step::new(BILLING, 3, 30).download(25_000_000, Duration::from_millis(2_000)),
        Step::new(CUSTODY, 1, 30).then_all(&[(TARIFF, 100), (SPOTS, 50)]),
        Step::new(FLEETS, 2, 20).then(FLEET_REPORT, 100),
        Step::new(CUSTODY, 2, 20).then(PORTFOLIO_REPORT, 100),
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
        name: "bajio",
        zones: ["terminal-norte", "sur-cubierto", "largo-plazo"],
        services: services(),
        steps: steps(),
        traffic: vec![
            traffic(SPOTS, 50.0, 500, 0),
            traffic(HANDOVER, 8.0, 3_000, 70),
            traffic(GATE_EXIT, 9.0, 3_000, 70),
            traffic(STAY, 10.0, 900, 0),
            traffic(FLEET_REPORT, 2.0, 5_000, 0),
            traffic(SHIFT_REPORT, 1.0, 6_000, 0),
            traffic(INVOICE_PACK, 0.8, 12_000, 0),
        ],
        latencies: Latencies {
            within_zone: 150,
            between_zones: 1_000,
            between_sites: 6_000,
            to_callers: 3_000,
            connect: 1_000,
        },
        deepest: AVAILABILITY,
        busiest: AVAILABILITY,
        downloads: BILLING,
    }
}
