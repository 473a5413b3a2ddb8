//! Property tests: parsing never panics, and parsing a rendered value returns the same value.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::support::{BAJIO, NODE};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use quillhatch_settings::text::utf8_text;
use quillhatch_settings::units::{parse_duration, parse_size, render_duration, render_size};
use quillhatch_settings::{parse_configuration, parse_node_settings, render_configuration, FlagOverrides};
use quillhatch_types::{
    ClassConfiguration, ClassName, Configuration, DeploymentName, Epoch, Findings, Formation, NodeAddress, Priority,
    Revision, ServiceConfiguration, ServiceName, SiteConfiguration, SiteName, TargetConfiguration, ZoneName,
};

const SEED: u64 = 0x5e77_1265;

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig { cases, failure_persistence: None, rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() }
}

/// Parses `bytes` as both kinds of input. Every finding must have a line and a column.
fn parse_both(bytes: &[u8]) {
    let results = match utf8_text("input", bytes) {
        Err(findings) => vec![findings],
        Ok(text) => {
            let settings = parse_node_settings("input", text, &FlagOverrides::default()).map(|(_, warnings)| warnings);
            let configuration = parse_configuration("input", text).map(|(_, warnings)| warnings);
            [settings, configuration].into_iter().map(|result| result.unwrap_or_else(|errors| errors)).collect()
        }
    };
    for finding in results.into_iter().flat_map(|Findings(list)| list) {
        assert!(finding.place.line >= 1 && finding.place.column >= 1, "{finding}");
    }
}

/// One of the examples with some of its bytes replaced, so that the tests also reach the checks after the syntax.
fn damaged_example() -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), vec(0x20u8..0x7f, 0..4)), 1..4);
    (prop::sample::select(vec![NODE, BAJIO]), edits).prop_map(|(example, edits)| {
        let mut bytes = example.as_bytes().to_vec();
        for (at, length, replacement) in edits {
            let start = at.index(bytes.len());
            let end = (start + length.index(6)).min(bytes.len());
            bytes.splice(start..end, replacement);
        }
        bytes
    })
}

fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9._-]{1,12}"
}

fn milliseconds(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

prop_compose! {
    /// A class. `service` later makes its name and path prefix unique.
    fn class()(
        label in name(),
        methods in btree_set("[A-Z]{1,7}", 0..3),
        priority in prop::sample::select(Priority::ALL.to_vec()),
        deadline in milliseconds(1_000..60_000),
        numbers in (0u16..=64, 0u8..=100),
        flags in any::<(bool, bool)>(),
    ) -> ClassConfiguration {
        ClassConfiguration {
            name: ClassName::new(&label).unwrap(),
            methods: methods.into_iter().collect(),
            path_prefix: "/".to_string(),
            priority,
            repeatable: flags.0,
            deadline,
            retry_budget: numbers.0,
            retry_ratio_percent: numbers.1,
            large_answers: flags.1,
        }
    }
}

prop_compose! {
    /// A service with targets at the sites `a` and `b`. `configuration` later sets its name, hosts and addresses.
    fn service()(
        classes in vec(class(), 1..4),
        // At least two targets, so that both sites have a target and can have a share.
        zones in vec(("[xy]", 1u32..=1000, 1u32..=1000), 2..6),
        share in 0u8..=100,
        codes in btree_set(400u16..=599, 0..3),
        times in (60_000u64..600_000, 0u64..1_000, 1u64..60_000),
        counts in (1u16..=4096, 1u32..=10_000_000, 0u32..=(1 << 20)),
        epoch in 0u64..(1 << 53),
    ) -> ServiceConfiguration {
        let classes = classes.into_iter().enumerate().map(|(index, class)| ClassConfiguration {
            name: ClassName::new(&format!("{}{index}", class.name)).unwrap(),
            path_prefix: format!("/{index}"),
            ..class
        });
        let site = |index: usize| SiteName::new(if index % 2 == 0 { "a" } else { "b" }).unwrap();
        let targets = zones.into_iter().enumerate().map(|(index, (zone, slots, connections))| TargetConfiguration {
            node: NodeAddress(SocketAddr::from((Ipv4Addr::LOCALHOST, 1))),
            site: site(index),
            zone: ZoneName::new(&zone).unwrap(),
            slots,
            connections,
        });
        ServiceConfiguration {
            name: ServiceName::new("unnamed").unwrap(),
            hosts: Vec::new(),
            slot_count: counts.0,
            claim_retention: Duration::from_millis(times.0),
            claim_capacity: counts.1,
            replay_limit_bytes: counts.2,
            refused_before_running: codes.into_iter().collect(),
            minimum_time: Duration::from_millis(times.1),
            queue_timeout: Duration::from_millis(times.2),
            site_shares: BTreeMap::from([(site(0), share), (site(1), 100 - share)]),
            minimum_epoch: Epoch(epoch),
            classes: classes.collect(),
            targets: targets.collect(),
        }
    }
}

prop_compose! {
    fn configuration()(
        deployment in name(),
        revision in 1u64..(1 << 53),
        new in any::<bool>(),
        services in prop::collection::btree_map(name(), service(), 0..4),
    ) -> Configuration {
        let site = |name: &str| SiteConfiguration {
            name: SiteName::new(name).unwrap(),
            zones: ["x", "y"].into_iter().map(|zone| ZoneName::new(zone).unwrap()).collect(),
        };
        let mut port = 1000;
        let mut named_services = BTreeMap::new();
        for (name, mut service) in services {
            service.name = ServiceName::new(&name).unwrap();
            service.hosts = vec![format!("host-{port}.example")];
            for target in &mut service.targets {
                port += 1;
                target.node = NodeAddress(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
            }
            named_services.insert(service.name.clone(), service);
        }
        Configuration {
            deployment: DeploymentName::new(&deployment).unwrap(),
            revision: Revision(revision),
            formation: if new { Formation::New } else { Formation::Existing },
            sites: vec![site("a"), site("b")],
            services: named_services,
        }
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn arbitrary_bytes_never_panic(bytes in vec(any::<u8>(), 0..256)) {
        parse_both(&bytes);
    }

    #[test]
    fn syntax_characters_never_panic(text in "[\\[\\]{}\":,=.'#\\\\u0-9a-e\\n é-]{0,120}") {
        parse_both(text.as_bytes());
    }

    #[test]
    fn damaged_examples_never_panic(bytes in damaged_example()) {
        parse_both(&bytes);
    }

    #[test]
    fn a_rendered_configuration_parses_back_to_the_same_value(configuration in configuration()) {
        let text = render_configuration(&configuration);
        let (parsed, _) = parse_configuration("export", &text).map_err(|errors| TestCaseError::fail(errors.to_string()))?;
        prop_assert_eq!(parsed, configuration);
    }

    #[test]
    fn rendered_durations_and_sizes_parse_back_to_the_same_value(
        nanoseconds in prop_oneof![0u64..10_000_000_000, any::<u64>()],
        bytes in prop_oneof![0u64..(1 << 20), 0u64..=(1 << 53), (0u64..1 << 20).prop_map(|size| size << 30)],
    ) {
        let duration = Duration::from_nanos(nanoseconds);
        prop_assert_eq!(parse_duration(&render_duration(duration)), Ok(duration));
        prop_assert_eq!(parse_size(&render_size(bytes)), Ok(bytes));
    }
}

#[test]
fn deep_nesting_does_not_overflow_the_stack() {
    const DEPTH: usize = 200_000;
    parse_both("[".repeat(DEPTH).as_bytes());
    parse_both("{\"a\":".repeat(DEPTH).as_bytes());
    parse_both(format!("a = {}", "[".repeat(DEPTH)).as_bytes());
    parse_both(format!("{}a = 1", "a.".repeat(DEPTH)).as_bytes());
}
