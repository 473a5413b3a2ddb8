//! The authentication of calls.

use std::sync::Arc;

use quillhatch_mesh::authentication::{authenticate, Credentials, Denial, Sender};
use quillhatch_mesh::configuration::{Configuration, Route};
use quillhatch_mesh::tenants::{Tenant, TenantTable};
use test_case::test_case;

use crate::route;

fn configuration() -> Configuration {
    let mut tenants = TenantTable::default();
    let tenant = Arc::new(Tenant { name: Arc::from("first"), priority: 0, limit: None });
    tenants.add_key(&tenant, b"right");
    tenants.add(tenant);
    Configuration { tenants, ..Configuration::default() }
}

fn outcome(key: Option<&[u8]>, may_be_target: bool, is_public: bool, is_fresh: bool) -> Result<String, Denial> {
    let route = Route { is_public, ..(*route("/a/", &[("alpha", 1.0)])).clone() };
    let sender = authenticate(&configuration(), &route, Credentials { key, may_be_target }, is_fresh)?;
    Ok(match sender {
        Sender::Anyone => "anyone".to_owned(),
        Sender::Tenant(tenant) => tenant.name.to_string(),
        Sender::Target => "target".to_owned(),
    })
}

#[test_case(Some(b"right"), true => Ok("first".to_owned()); "a known key")]
#[test_case(Some(b"right"), false => Err(Denial::StaleConfiguration); "a known key that may have been revoked")]
#[test_case(Some(b"wrong"), true => Err(Denial::UnknownKey); "an unknown key")]
#[test_case(Some(b"wrong"), false => Err(Denial::StaleConfiguration); "an unknown key that may be new")]
#[test_case(Some(b""), true => Err(Denial::UnknownKey); "an empty key")]
#[test_case(None, true => Err(Denial::NoKey); "no key")]
#[test_case(None, false => Err(Denial::NoKey); "no key and a stale configuration")]
fn calls_of_callers_need_a_key(key: Option<&[u8]>, is_fresh: bool) -> Result<String, Denial> {
    outcome(key, false, false, is_fresh)
}

#[test]
fn calls_of_the_target_need_no_key_even_with_a_stale_configuration() {
    for is_fresh in [false, true] {
        assert_eq!(outcome(None, true, false, is_fresh), Ok("target".to_owned()));
    }
    assert_eq!(outcome(Some(b"wrong"), true, false, true), Err(Denial::UnknownKey), "targets have no keys");
}

#[test]
fn public_routes_need_no_key() {
    for key in [None, Some(b"wrong".as_slice())] {
        assert_eq!(outcome(key, false, true, false), Ok("anyone".to_owned()));
    }
}
