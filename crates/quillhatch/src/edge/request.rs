//! Reads the head of a caller's request: service, class, key, deadline and parent.

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

/// The longest deadline that a caller may ask for; a longer one is a mistake in its unit.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 60 * 60);

/// The context header of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContextHeader {
    /// The request is a root call.
    Absent,
    /// The request is made below this call.
    Parent(CallId),
    /// The header is no context of a call.
    Malformed,
}

/// What the head of a request says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestDescription {
    /// Who calls.
    pub caller: CallerName,
    /// The service called.
    pub service: ServiceName,
    /// The class of the call.
    pub class: ClassName,
    /// The time after which a caller of the class is assumed to have given up.
    pub class_deadline: Duration,
    /// The retry tokens that a root call of the class gets.
    pub retry_budget: u16,
    /// The path and query below the service's own prefix.
    pub path: PathAndQuery,
    /// The caller's key, if it gave one.
    pub key: Option<RequestKey>,
    /// The time the caller still waits, if it said so.
    pub remaining: Option<Duration>,
    /// The call that makes this one.
    pub context: ContextHeader,
}

/// Checks the sizes that the head announces.
///
/// # Errors
///
/// Returns the answer to a request that is too large.
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

/// The answer to a request whose body is larger than `limit` bytes and was not sent on.
pub fn body_too_large(limit: u64) -> Rejection {
    let detail = format!("the body has more than the {limit} bytes allowed");
    Rejection::not_run(StatusCode::PAYLOAD_TOO_LARGE, RefusalReason::BadRequest, detail)
}

/// Reads the head of the request of the client at `remote`.
///
/// # Errors
///
/// Returns the answer to a request that is malformed, or that no service or class matches.
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

/// `Host` selects the service, and then the path is passed on as it is; otherwise the first path segment selects it and is
/// taken off, so that a back end sees the same paths either way.
fn find_service<'a>(
    head: &Parts,
    configuration: &'a Configuration,
) -> Result<(&'a ServiceConfiguration, PathAndQuery), Rejection> {
    let whole = head.uri.path_and_query().cloned().unwrap_or_else(|| PathAndQuery::from_static("/"));
    if let Some(host) = host(head) {
        let serves =
            |service: &&ServiceConfiguration| service.hosts.iter().any(|name| name.eq_ignore_ascii_case(&host));
        if let Some(service) = configuration.services.values().find(serves) {
            return Ok((service, whole));
        }
    }
    let (first, rest) = split_first_segment(whole.as_str());
    let service = configuration.services.values().find(|service| service.name.as_str() == first);
    let service = service.ok_or_else(|| no_route("no service has this Host or this first path segment"))?;
    let rest = PathAndQuery::try_from(rest).map_err(|_| Rejection::bad_request("the path is malformed"))?;
    Ok((service, rest))
}

/// The host that the request is for, without its port: of an absolute target, or else of the `Host` field.
fn host(head: &Parts) -> Option<String> {
    if let Some(host) = head.uri.host() {
        return Some(host.to_owned());
    }
    let value = head.headers.get(HOST)?.to_str().ok()?;
    let authority: hyper::http::uri::Authority = value.parse().ok()?;
    Some(authority.host().to_owned())
}

fn split_first_segment(path: &str) -> (&str, String) {
    let below = path.strip_prefix('/').unwrap_or(path);
    let end = below.find(['/', '?']).unwrap_or(below.len());
    let (first, rest) = below.split_at(end);
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

/// The characters of an address that a name may not have are replaced.
fn caller_name(remote: SocketAddr) -> Result<CallerName, Rejection> {
    let text = remote.ip().to_canonical().to_string().replace([':', '%'], "-");
    CallerName::new(&text).map_err(|error| Rejection::bad_request(error.to_string()))
}

/// The one value of a field; more than one is an error, since nobody can tell which is meant.
fn single<'a>(head: &'a Parts, name: &HeaderName) -> Result<Option<&'a str>, Rejection> {
    let mut values = head.headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(Rejection::bad_request(format!("the field {name} is there more than once")));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_| Rejection::bad_request(format!("the field {name} must consist of printable ASCII characters")))
}

fn read_key(head: &Parts) -> Result<Option<RequestKey>, Rejection> {
    let text = single(head, &IDEMPOTENCY_KEY)?;
    let key = text.map(RequestKey::new).transpose();
    key.map_err(|error| Rejection::bad_request(format!("{IDEMPOTENCY_KEY}: {error}")))
}

fn read_deadline(head: &Parts) -> Result<Option<Duration>, Rejection> {
    let Some(text) = single(head, &DEADLINE)? else {
        return Ok(None);
    };
    // A sign, which `parse` would accept, is refused: a negative time is a fault of the caller.
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    let milliseconds = text.parse().ok().filter(|_| digits);
    let span = milliseconds.map(Duration::from_millis).filter(|span| *span <= MAX_DEADLINE);
    let longest = MAX_DEADLINE.as_millis();
    span.map(Some).ok_or_else(|| Rejection::bad_request(format!("{DEADLINE} must be milliseconds from 0 to {longest}")))
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

/// The text of a context is the call's number in hexadecimal, as [`CallId`] displays it.
fn parse_context(value: &[u8]) -> Option<CallId> {
    const DIGITS: usize = 32;
    let text = std::str::from_utf8(value).ok()?;
    let well_formed = text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u128::from_str_radix(text, 16).ok().filter(|_| well_formed).map(CallId)
}
