//! Parses the head of a caller's request: service, class, idempotency key, deadline and parent call.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{HeaderName, HOST};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::StatusCode;
use quillhatch_types::{
    CallId, CallerName, ClassConfiguration, ClassName, Configuration, RefusalReason, RequestKey, ServiceConfiguration,
    ServiceName,
};

use super::RequestLimits;
use crate::http::headers::{content_length, header_size, CONTEXT, DEADLINE, IDEMPOTENCY_KEY};
use crate::http::problem::Rejection;

/// The maximum deadline that a caller may request; a longer one is most likely given in the wrong unit.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// The value of the context header of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContextHeader {
    /// The header is absent.
    Absent,
    /// The request is made on behalf of this call.
    Parent(CallId),
    /// The header does not contain a call identifier.
    Malformed,
}

/// The call that the head of a request describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDescription {
    /// The caller, identified by its IP address.
    pub caller: CallerName,
    /// The service called.
    pub service: ServiceName,
    /// The class of the call.
    pub class: ClassName,
    /// The deadline of the class: callers are assumed to have given up after this time.
    pub class_deadline: Duration,
    /// The number of retry tokens that a root call of the class gets.
    pub retry_budget: u16,
    /// The path and query to send to the back end.
    pub path: PathAndQuery,
    /// The caller's idempotency key, if present.
    pub key: Option<RequestKey>,
    /// The time that the caller will still wait, if it sent a deadline.
    pub remaining: Option<Duration>,
    /// The context header, which identifies the parent call.
    pub context: ContextHeader,
}

/// Checks the size of the header and the announced size of the body.
///
/// # Errors
///
/// Returns the rejection of a request that is too large.
pub fn check_sizes(head: &Parts, limits: &RequestLimits) -> Result<(), Rejection> {
    let size = header_size(&head.headers) + head.uri.path_and_query().map_or(0, |path| path.as_str().len() as u64);
    if size > limits.header_bytes {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        let detail = format!("the header has {size} bytes; {} are allowed", limits.header_bytes);
        return Err(Rejection::not_run(status, RefusalReason::BadRequest, detail));
    }
    let announced = content_length(&head.headers).unwrap_or(0);
    match limits.body_bytes {
        Some(limit) if announced > limit => Err(body_too_large(limit)),
        _ => Ok(()),
    }
}

/// The rejection of a request whose body is larger than `limit` bytes and was not forwarded.
pub fn body_too_large(limit: u64) -> Rejection {
    let detail = format!("the body has more than the {limit} bytes allowed");
    Rejection::not_run(StatusCode::PAYLOAD_TOO_LARGE, RefusalReason::BadRequest, detail)
}

/// Parses the head of a request from the client at `remote`.
///
/// # Errors
///
/// Returns the rejection of a request that is malformed or that matches no service or class.
pub fn describe(
    head: &Parts,
    remote: SocketAddr,
    configuration: Option<&Configuration>,
) -> Result<RequestDescription, Rejection> {
    let not_ready = || Rejection::from(quillhatch_types::Refusal::not_run(RefusalReason::NotReady));
    let configuration = configuration.ok_or_else(not_ready)?;
    let (service, path) = find_service(head, configuration)?;
    let class = find_class(head, service, &path)?;
    Ok(RequestDescription {
        caller: caller_name(remote)?,
        service: service.name.clone(),
        class: class.name.clone(),
        class_deadline: class.deadline,
        retry_budget: class.retry_budget,
        path,
        key: read_key(head)?,
        remaining: read_deadline(head)?,
        context: read_context(head),
    })
}

/// Finds the service and the path to send to its back end. If the host selects the service, the path is unchanged;
/// otherwise the first path segment selects the service and is removed, so that the back end sees the same paths either
/// way.
fn find_service<'a>(
    head: &Parts,
    configuration: &'a Configuration,
) -> Result<(&'a ServiceConfiguration, PathAndQuery), Rejection> {
    let full_path = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    if let Some(host) = host(head) {
        let has_host =
            |service: &&ServiceConfiguration| service.hosts.iter().any(|name| name.eq_ignore_ascii_case(&host));
        if let Some(service) = configuration.services.values().find(has_host) {
            return Ok((service, full_path));
        }
    }
    let (first, rest) = split_first_segment(full_path.as_str());
    let service = configuration.services.values().find(|service| service.name.as_str() == first);
    let service = service.ok_or_else(|| no_route("no service has this Host or this first path segment"))?;
    let rest = PathAndQuery::try_from(rest).map_err(|_| Rejection::bad_request("the path is malformed"))?;
    Ok((service, rest))
}

/// The host of the request without its port: from an absolute request target if there is one, otherwise from the `Host`
/// field.
fn host(head: &Parts) -> Option<String> {
    if let Some(host) = head.uri.host() {
        return Some(host.to_owned());
    }
    let value = head.headers.get(HOST)?.to_str().ok()?;
    let authority: hyper::http::uri::Authority = value.parse().ok()?;
    Some(authority.host().to_owned())
}

fn split_first_segment(path: &str) -> (&str, String) {
    let relative = path.strip_prefix('/').unwrap_or(path);
    let end = relative.find(['/', '?']).unwrap_or(relative.len());
    let (first, rest) = relative.split_at(end);
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (first, rest)
}

fn find_class<'a>(
    head: &Parts,
    service: &'a ServiceConfiguration,
    path: &PathAndQuery,
) -> Result<&'a ClassConfiguration, Rejection> {
    let class = service.classify(head.method.as_str(), path.path());
    class.ok_or_else(|| no_route("no class of the service matches the method and path"))
}

fn no_route(detail: &str) -> Rejection {
    Rejection::not_run(StatusCode::NOT_FOUND, RefusalReason::NoRoute, detail)
}

/// The client's IP address as a caller name; characters that names may not contain are replaced by `-`.
fn caller_name(remote: SocketAddr) -> Result<CallerName, Rejection> {
    let text = remote.ip().to_canonical().to_string().replace([':', '%'], "-");
    CallerName::new(&text).map_err(|error| Rejection::bad_request(error.to_string()))
}

/// The value of a field that may occur once. Repeated fields are an error because it is unclear which value is meant.
fn single_value<'a>(head: &'a Parts, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = head.headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Rejection::bad_request(format!("the field {name} is there more than once")));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_| Rejection::bad_request(format!("the field {name} must consist of printable ASCII characters")))
}

fn read_key(head: &Parts) -> Result<Option<RequestKey>, Rejection> {
    let text = single_value(head, &IDEMPOTENCY_KEY)?;
    let key = text.map(RequestKey::new).transpose();
    key.map_err(|error| Rejection::bad_request(format!("{IDEMPOTENCY_KEY}: {error}")))
}

fn read_deadline(head: &Parts) -> Result<Option<Duration>, Rejection> {
    let Some(text) = single_value(head, &DEADLINE)? else {
        return Ok(None);
    };
    // Signs are rejected: `parse` would accept a leading plus sign, and a negative time is the caller's mistake.
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = text.parse().ok().filter(|_| only_digits);
    let requested = milliseconds.map(Duration::from_millis).filter(|requested| *requested <= MAX_DEADLINE);
    let maximum = MAX_DEADLINE.as_millis();
    requested
        .map(Some)
        .ok_or_else(|| Rejection::bad_request(format!("{DEADLINE} must be milliseconds from 0 to {maximum}")))
}

fn read_context(head: &Parts) -> ContextHeader {
    let mut values = head.headers.get_all(CONTEXT).iter();
    let (first, second) = (values.next(), values.next());
    match (first, second) {
        (None, _) => ContextHeader::Absent,
        (Some(value), None) => parse_context(value.as_bytes()).map_or(ContextHeader::Malformed, ContextHeader::Parent),
        (Some(_), Some(_)) => ContextHeader::Malformed,
    }
}

/// Parses a context: the call's identifier as 32 hexadecimal digits, as [`CallId`] displays it.
fn parse_context(value: &[u8]) -> Option<CallId> {
    const DIGITS: usize = 32;
    let text = std::str::from_utf8(value).ok()?;
    let well_formed = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| well_formed).map(CallId)
}
