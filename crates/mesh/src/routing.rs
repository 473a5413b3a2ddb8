//! Selects the route of a request, and the service of the route that serves it.

use std::sync::Arc;

use rand::Rng;

use crate::configuration::{Configuration, Route};

/// Returns the host of an authority in lower case, without its port.
pub fn host_name(authority: &str) -> std::borrow::Cow<'_, str> {
    let host = match authority.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => authority,
    };
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    host.into()
}

/// Returns the route of the host with the longest prefix of `path`.
pub fn find_route<'a>(configuration: &'a Configuration, authority: &str, path: &str) -> Option<&'a Arc<Route>> {
    let routes = configuration.hosts.get(host_name(authority).as_ref())?;
    let matching = routes.iter().filter(|route| path.starts_with(&route.prefix));
    matching.max_by_key(|route| route.prefix.len())
}

/// Picks one of the route's services at random, by weight; `None` if no service has any weight.
pub fn choose_service<'a>(route: &'a Route, random: &mut impl Rng) -> Option<&'a Arc<str>> {
    let total: f64 = route.destinations.iter().map(|destination| destination.weight.max(0.0)).sum();
    if total <= 0.0 {
        return None;
    }
    let mut point = random.gen::<f64>() * total;
    for destination in &route.destinations {
        point -= destination.weight.max(0.0);
        if point < 0.0 {
            return Some(&destination.service);
        }
    }
    route.destinations.iter().rev().find(|destination| destination.weight > 0.0).map(|last| &last.service)
}
