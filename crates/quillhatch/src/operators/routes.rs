//! The routes of the operator listener.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::{Error as JsonError, Json};
use rocket::{get, post, routes, Route, State};

use super::{BearerToken, MetricsPage};
use crate::driver::Driver;

/// The maximum time to wait for the reply to an operator request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// The state that the routes share.
pub(super) struct RouteState {
    pub(super) token: Option<BearerToken>,
    pub(super) driver: Arc<Driver>,
}

/// A request guard that admits requests with the operator token, or any request if no token is configured.
struct AuthorizedOperator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AuthorizedOperator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(state) = request.rocket().state::<RouteState>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let authorization = request.headers().get_one("Authorization");
        let authorized = state.token.as_ref().is_none_or(|token| token.matches(authorization));
        if authorized {
            Outcome::Success(AuthorizedOperator)
        } else {
            Outcome::Error((Status::Unauthorized, ()))
        }
    }
}

/// Liveness: responds whenever the process is running.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Readiness: whether the node accepts calls.
#[get("/ready")]
fn ready(state: &State<RouteState>) -> (Status, &'static str) {
    if state.driver.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn metrics(_operator: AuthorizedOperator, page: &State<MetricsPage>) -> Result<(ContentType, String), Status> {
    let content_type =
        ContentType::new("application", "openmetrics-text").with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    page.render().map(|text| (content_type, text)).map_err(|_| Status::InternalServerError)
}

#[post("/operator", format = "json", data = "<request>")]
async fn operator(
    _operator: AuthorizedOperator,
    request: Result<Json<OperatorRequest>, JsonError<'_>>,
    state: &State<RouteState>,
) -> (Status, Json<OperatorReply>) {
    let request = match request {
        Ok(request) => request.into_inner(),
        Err(error) => return (Status::BadRequest, Json(malformed_request(&error))),
    };
    let reply = state.driver.operator_request(request);
    match tokio::time::timeout(REPLY_TIMEOUT, reply).await {
        Ok(Ok(reply)) => (Status::Ok, Json(reply)),
        Ok(Err(_)) | Err(_) => (Status::GatewayTimeout, Json(no_reply())),
    }
}

fn malformed_request(error: &JsonError<'_>) -> OperatorReply {
    let problem = match error {
        JsonError::Io(_) => "the request could not be read".to_owned(),
        JsonError::Parse(_, error) => format!("the request is malformed: {error}"),
    };
    OperatorReply::refused("", problem, "use a command line of the same release as the node")
}

fn no_reply() -> OperatorReply {
    let problem = "the node did not reply in time; what was asked may still be done";
    OperatorReply::Undecided { problem: problem.to_owned() }
}

pub(super) fn routes() -> Vec<Route> {
    routes![health, ready, metrics, operator]
}
