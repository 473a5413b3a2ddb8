//! Configurations and routes.

use std::collections::HashMap;
use std::sync::Arc;

use crate::route;
use quillhatch_mesh::configuration::{Configuration, ConfigurationInForce};
use quillhatch_mesh::routing::{choose_service, find_route, host_name};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use test_case::test_case;

#[test]
fn a_configuration_is_replaced_only_by_a_newer_version() {
    let version = |version| Configuration { version, ..Configuration::default() };
    let mut in_force = ConfigurationInForce::default();
    assert!(in_force.offer(version(7)));
    for refused in [7, 6, 1] {
        assert!(!in_force.offer(version(refused)));
    }
    assert!(in_force.offer(version(9)));
    assert_eq!(in_force.version(), 9);
}

#[test_case("shop.example", "/a/x", Some("/a/"))]
#[test_case("SHOP.example:8080", "/a/b/x", Some("/a/b/"); "case and port of the host are ignored")]
#[test_case("shop.example", "/a", None; "the slash belongs to the prefix")]
#[test_case("other.example", "/a/x", None)]
fn the_longest_matching_prefix_of_the_host_is_selected(authority: &str, path: &str, expected: Option<&str>) {
    let routes = vec![route("/a/", &[("alpha", 1.0)]), route("/a/b/", &[("alpha", 1.0)])];
    let hosts = HashMap::from([("shop.example".to_owned(), routes)]);
    let configuration = Configuration { hosts, ..Configuration::default() };
    assert_eq!(find_route(&configuration, authority, path).map(|route| route.prefix.as_str()), expected);
}

#[test]
fn a_host_keeps_a_colon_without_a_port() {
    assert_eq!(host_name("a:b"), "a:b");
    assert_eq!(host_name("a:80"), "a");
}

#[test]
fn services_are_chosen_by_weight() {
    let mut random = Pcg64::seed_from_u64(1);
    let split = route("/a/", &[("alpha", 90.0), ("beta", 10.0), ("gamma", 0.0)]);
    let mut drawn: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..10_000 {
        *drawn.entry(choose_service(&split, &mut random).expect("a service").clone()).or_default() += 1;
    }
    assert!((8_800..9_200).contains(&drawn["alpha"]), "{drawn:?}");
    assert!(!drawn.contains_key("gamma"));
    assert_eq!(choose_service(&route("/a/", &[("alpha", 0.0)]), &mut random), None);
}
