//! The routes of the operators' listener.

use std::sync::Arc;
use std::time::Duration;

use quillhatch_control::operator::{OperatorReply, OperatorRequest};
use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::{Error as JsonError, Json};
use rocket::{get, post, routes, Route, State};

use super::{BearerToken, MetricsPage};
use crate::driver::Driver;

/// The longest time that an operator waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// What the routes work with.
pub(super) struct Guarded {
    pub(super) token: Option<BearerToken>,
    pub(super) driver: Arc<Driver>,
}

/// Shows that the request presented the operators' token, or that none is configured.
struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(guarded) = request.rocket().state::<Guarded>() else {
            return Outcome::Error((Status::InternalServerError, ()));
        };
        let authorization = request.headers().get_one("Authorization");
        let admitted = guarded.token.as_ref().is_none_or(|token| token.matches(authorization));
        if admitted {
            Outcome::Success(Operator)
        } else {
            Outcome::Error((Status::Unauthorized, ()))
        }
    }
}

/// Whether the process answers at all.
#[get("/health")]
fn health() -> &'static str {
    "ok\n"
}

/// Whether the node takes calls.
#[get("/ready")]
fn ready(guarded: &State<Guarded>) -> (Status, &'static str) {
    if guarded.driver.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

#[get("/metrics")]
fn metrics(_operator: Operator, page: &State<MetricsPage>) -> Result<(ContentType, String), Status> {
    let open_metrics =
        ContentType::new("application", "openmetrics-text").with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    page.render().map(|text| (open_metrics, text)).map_err(|_| Status::InternalServerError)
}

#[post("/operator", format = "json", data = "<request>")]
async fn operator(
    _operator: Operator,
    request: Result<Json<OperatorRequest>, JsonError<'_>>,
    guarded: &State<Guarded>,
) -> (Status, Json<OperatorReply>) {
    let request = match request {
        Ok(request) => request.into_inner(),
        Err(error) => return (Status::BadRequest, Json(malformed(&error))),
    };
    let reply = guarded.driver.operator_request(request);
    match tokio::time::timeout(REPLY_TIMEOUT, reply).await {
        Ok(Ok(reply)) => (Status::Ok, Json(reply)),
        Ok(Err(_)) | Err(_) => (Status::GatewayTimeout, Json(unanswered())),
    }
}

fn malformed(error: &JsonError<'_>) -> OperatorReply {
    let problem = match error {
        JsonError::Io(_) => "the request could not be read".to_owned(),
        JsonError::Parse(_, error) => format!("the request is malformed: {error}"),
    };
    OperatorReply::refused("", problem, "use a command line of the same release as the node")
}

fn unanswered() -> OperatorReply {
    let problem = "the node did not reply in time; what was asked may still be done";
    OperatorReply::Undecided { problem: problem.to_owned() }
}

pub(super) fn routes() -> Vec<Route> {
    routes![health, ready, metrics, operator]
}
