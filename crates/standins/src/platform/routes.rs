//! The HTTP routes of the stand-in platform.

use std::sync::Arc;

use rocket::http::{ContentType, Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::status::Custom;
use rocket::serde::json::Json;
use rocket::{get, put, routes, Responder, Route, State};

use super::state::{Machine, PlatformFaults, PlatformState};

struct IfNoneMatch(Option<String>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for IfNoneMatch {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(IfNoneMatch(request.headers().get_one("If-None-Match").map(str::to_owned)))
    }
}

#[derive(Responder)]
struct TaggedDocument {
    text: String,
    content_type: ContentType,
    entity_tag: Header<'static>,
}

#[derive(Responder)]
enum ConfigurationResponse {
    Document(Box<TaggedDocument>),
    NotModified(Custom<()>),
    Unavailable(Status),
}

#[get("/configuration")]
async fn configuration(if_none_match: IfNoneMatch, state: &State<Arc<PlatformState>>) -> ConfigurationResponse {
    tokio::time::sleep(state.delay()).await;
    if state.faults().down {
        return ConfigurationResponse::Unavailable(Status::ServiceUnavailable);
    }
    let document = state.document();
    if if_none_match.0.as_deref() == Some(document.entity_tag.as_str()) {
        return ConfigurationResponse::NotModified(Custom(Status::NotModified, ()));
    }
    ConfigurationResponse::Document(Box::new(TaggedDocument {
        text: document.text,
        content_type: ContentType::JSON,
        entity_tag: Header::new("ETag", document.entity_tag),
    }))
}

#[get("/machines")]
async fn machines(state: &State<Arc<PlatformState>>) -> Result<Json<Vec<Machine>>, Status> {
    tokio::time::sleep(state.delay()).await;
    if state.faults().down {
        return Err(Status::ServiceUnavailable);
    }
    Ok(Json(state.machines()))
}

#[put("/configuration", data = "<document>")]
fn put_configuration(document: String, state: &State<Arc<PlatformState>>) {
    state.set_configuration(document);
}

#[put("/machines", data = "<machines>")]
fn put_machines(machines: Json<Vec<Machine>>, state: &State<Arc<PlatformState>>) {
    state.set_machines(machines.into_inner());
}

#[put("/faults", data = "<faults>")]
fn put_faults(faults: Json<PlatformFaults>, state: &State<Arc<PlatformState>>) {
    state.set_faults(faults.into_inner());
}

pub(super) fn routes() -> Vec<Route> {
    routes![configuration, machines, put_configuration, put_machines, put_faults]
}
