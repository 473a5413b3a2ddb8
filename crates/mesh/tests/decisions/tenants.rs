//! Tenants, their keys and their priorities.

use std::collections::HashMap;
use std::sync::Arc;

use quillhatch_mesh::configuration::{Configuration, Route};
use quillhatch_mesh::tenants::{Tenant, TenantTable};

use crate::route;

fn tenant(name: &str, priority: u8) -> Arc<Tenant> {
    Arc::new(Tenant { name: Arc::from(name), priority, limit: None })
}

fn configuration(tenants: &[Arc<Tenant>], route_priorities: &[u8]) -> Configuration {
    let mut table = TenantTable::default();
    for tenant in tenants {
        assert!(table.add(tenant.clone()));
    }
    let routes = route_priorities.iter().map(|priority| {
        let route = Route { priority: *priority, ..(*route("/a/", &[("alpha", 1.0)])).clone() };
        Arc::new(route)
    });
    let hosts = HashMap::from([("shop.example".to_owned(), routes.collect())]);
    Configuration { hosts, tenants: table, ..Configuration::default() }
}

#[test]
fn a_key_belongs_to_one_tenant() {
    let (first, second) = (tenant("first", 0), tenant("second", 0));
    let mut table = TenantTable::default();
    assert!(table.add_key(&first, b"k1"));
    assert!(table.add_key(&second, b"k2"));
    assert!(!table.add_key(&second, b"k1"), "it belongs to the first one");
    assert_eq!(table.tenant_by_key(b"k1"), Some(&first));
    assert_eq!(table.tenant_by_key(b"k2"), Some(&second));
    assert_eq!(table.tenant_by_key(b"k"), None);
    assert_eq!(table.tenant_by_key(b""), None);
}

#[test]
fn the_priority_of_a_tenant_takes_precedence_over_that_of_a_route() {
    let (high, low) = (tenant("high", 0), tenant("low", 1));
    let configuration = configuration(&[high.clone(), low.clone()], &[0, 2]);
    let routes = &configuration.hosts["shop.example"];
    let (first, last) = (&routes[0], &routes[1]);
    assert_eq!(configuration.priority_count(), 6);
    assert_eq!(configuration.call_priority(first, Some(&high)), 0);
    assert_eq!(configuration.call_priority(last, Some(&high)), 2);
    assert_eq!(configuration.call_priority(first, Some(&low)), 3);
    assert_eq!(configuration.call_priority(last, Some(&low)), 5);
    assert_eq!(configuration.call_priority(first, None), 3, "as a tenant of the lowest priority");
}

#[test]
fn without_tenants_the_priority_of_the_route_counts() {
    let configuration = configuration(&[], &[0, 2]);
    assert_eq!(configuration.priority_count(), 3);
    assert_eq!(configuration.call_priority(&configuration.hosts["shop.example"][1], None), 2);
}
