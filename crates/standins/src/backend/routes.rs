//! The HTTP routes of the stand-in back end.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream::{self, Stream};
use rocket::data::{ByteUnit, Data};
use rocket::http::{ContentType, Header, Method, Status};
use rocket::request::Request;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::serde::json::Json;
use rocket::{get, put, routes, Route, State};
use tokio_util::io::StreamReader;

use super::behaviour::{Arrival, BackendFaults, Behaviour, CONTEXT_HEADER, IDENTITY_HEADER};
use super::record::RunRecord;
use crate::content::{GeneratedFile, BLOCK_BYTES};

/// The header with the caller's remaining time in milliseconds, which the node sends to the back end.
const DEADLINE_HEADER: &str = "quillhatch-deadline-ms";

/// The maximum size of a request body that is read.
const MAX_BODY_SIZE: ByteUnit = ByteUnit::Gigabyte(2);

/// The pause before each block of a file, which limits the rate of the stream.
const BLOCK_PAUSE: Duration = Duration::from_micros(200);

#[derive(Clone)]
struct CallHandler {
    behaviour: Arc<Behaviour>,
}

#[rocket::async_trait]
impl Handler for CallHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        // A real back end reads the body to its end, too.
        let _ = data.open(MAX_BODY_SIZE).stream_to(tokio::io::sink()).await;
        if self.behaviour.faults().shedding {
            return Outcome::Success(refusal(Status::ServiceUnavailable));
        }
        let arrival = arrival(request);
        match requested_file(&arrival.path) {
            Some(file) => Outcome::Success(self.answer_file(request, &arrival, file)),
            None => Outcome::Success(self.answer_run(&arrival).await),
        }
    }
}

impl CallHandler {
    async fn answer_run<'r>(&self, arrival: &Arrival) -> Response<'r> {
        let Some(answer) = self.behaviour.run(arrival).await else { return refusal(Status::GatewayTimeout) };
        let body = rocket::serde::json::serde_json::to_vec(&answer).unwrap_or_default();
        Response::build().header(ContentType::JSON).sized_body(body.len(), io::Cursor::new(body)).finalize()
    }

    fn answer_file<'r>(&self, request: &Request<'_>, arrival: &Arrival, file: GeneratedFile) -> Response<'r> {
        self.behaviour.runs.start(&arrival.identity, &arrival.path);
        let offset = requested_offset(request, file);
        let stop = self.behaviour.faults().break_after_bytes;
        let mut builder = Response::build();
        builder
            .header(ContentType::Binary)
            .raw_header("ETag", file.entity_tag())
            .raw_header("Accept-Ranges", "bytes")
            .raw_header("Content-Length", (file.length - offset).to_string());
        if offset > 0 {
            let range = format!("bytes {offset}-{}/{}", file.length - 1, file.length);
            builder.status(Status::PartialContent).raw_header("Content-Range", range);
        }
        let blocks = file_stream(file, offset, stop, self.behaviour.clone(), arrival.identity.clone());
        builder.streamed_body(StreamReader::new(Box::pin(blocks))).finalize()
    }
}

fn refusal<'r>(status: Status) -> Response<'r> {
    Response::build().status(status).header(Header::new("Retry-After", "1")).finalize()
}

fn arrival(request: &Request<'_>) -> Arrival {
    let header = |name: &str| request.headers().get_one(name).map(str::to_owned);
    let deadline = header(DEADLINE_HEADER)
        .and_then(|value| value.parse().ok())
        .map(|milliseconds| Instant::now() + Duration::from_millis(milliseconds));
    Arrival {
        path: request.uri().path().to_string(),
        identity: header(IDENTITY_HEADER).unwrap_or_default(),
        context: header(CONTEXT_HEADER),
        deadline,
    }
}

/// Returns the file of a path that ends in `/files/<seed>/<bytes>`.
pub(crate) fn requested_file(path: &str) -> Option<GeneratedFile> {
    let mut segments = path.rsplit('/');
    let length = segments.next()?.parse().ok()?;
    let seed = segments.next()?.parse().ok()?;
    if segments.next()? != "files" {
        return None;
    }
    Some(GeneratedFile { seed, length })
}

fn requested_offset(request: &Request<'_>, file: GeneratedFile) -> u64 {
    let same_file = request.headers().get_one("If-Range").is_none_or(|tag| tag == file.entity_tag());
    let range = request.headers().get_one("Range").filter(|_| same_file);
    let offset = range.and_then(|range| range.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok());
    offset.filter(|offset| *offset < file.length).unwrap_or(0)
}

fn file_stream(
    file: GeneratedFile,
    offset: u64,
    stop: Option<u64>,
    behaviour: Arc<Behaviour>,
    identity: String,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    stream::unfold(Some(offset), move |position| {
        let behaviour = behaviour.clone();
        let identity = identity.clone();
        async move {
            let position = position?;
            if stop.is_some_and(|stop| position >= stop) {
                return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
            }
            if position >= file.length {
                behaviour.runs.finish(&identity);
                return None;
            }
            tokio::time::sleep(BLOCK_PAUSE.mul_f64(behaviour.faults().slowdown)).await;
            let block = Bytes::from(file.block(position / BLOCK_BYTES as u64));
            let chunk = block.slice((position % BLOCK_BYTES as u64) as usize..);
            let next = position + chunk.len() as u64;
            Some((Ok(chunk), Some(next)))
        }
    })
}

#[get("/health")]
fn health(behaviour: &State<Arc<Behaviour>>) -> Status {
    let faults = behaviour.faults();
    if faults.always_healthy || !faults.shedding {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/load")]
fn load(behaviour: &State<Arc<Behaviour>>) -> String {
    behaviour.faults().claimed_load.unwrap_or_else(|| behaviour.load()).to_string()
}

#[get("/record")]
fn record(behaviour: &State<Arc<Behaviour>>) -> Json<std::collections::BTreeMap<String, RunRecord>> {
    Json(behaviour.runs.all())
}

#[put("/faults", data = "<faults>")]
fn put_faults(faults: Json<BackendFaults>, behaviour: &State<Arc<Behaviour>>) {
    behaviour.set_faults(faults.into_inner());
}

pub(super) fn routes(behaviour: Arc<Behaviour>) -> Vec<Route> {
    let methods = [Method::Get, Method::Post, Method::Put, Method::Delete, Method::Patch];
    let calls = methods.map(|method| Route::new(method, "/<path..>", CallHandler { behaviour: behaviour.clone() }));
    let mut all = routes![health, load, record, put_faults];
    all.extend(calls);
    all
}
