//! Back ends: one on rocket, and one that writes raw bytes, for responses that a well-behaved server cannot produce.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use rocket::data::{Data, ToByteUnit};
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::content::RawText;
use rocket::response::stream::ByteStream;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The bytes of the large download.
pub const DOWNLOAD_BYTES: usize = 20 * 1024 * 1024;

const CHUNK_BYTES: usize = 32 * 1024;

/// Bytes without a short period, so that a lost or duplicated chunk changes the digest.
pub fn pattern(offset: usize, length: usize) -> Vec<u8> {
    (offset..offset + length).map(|index| (index.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

pub fn hex_digest(bytes: &[u8]) -> String {
    format!("{:x}", Sha256::digest(bytes))
}

/// The header of a request as text, with one field per line.
struct HeaderFields(String);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for HeaderFields {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let lines: Vec<String> = request.headers().iter().map(|field| format!("{field}").to_lowercase()).collect();
        Outcome::Success(HeaderFields(lines.join("\n")))
    }
}

#[rocket::get("/download")]
fn download() -> ByteStream![Vec<u8>] {
    ByteStream! {
        for offset in (0..DOWNLOAD_BYTES).step_by(CHUNK_BYTES) {
            yield pattern(offset, CHUNK_BYTES);
        }
    }
}

#[rocket::post("/upload", data = "<data>")]
async fn upload(data: Data<'_>) -> std::io::Result<String> {
    let body = data.open(64.mebibytes()).into_bytes().await?;
    Ok(format!("{} {}", body.len(), hex_digest(&body)))
}

#[rocket::get("/fields")]
fn fields(fields: HeaderFields) -> RawText<String> {
    RawText(fields.0)
}

#[rocket::get("/refuse")]
fn refuse() -> Status {
    Status::new(529)
}

/// Starts the rocket back end.
pub async fn start_rocket() -> SocketAddr {
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let sender = Mutex::new(Some(sender));
    let figment = rocket::Config::figment()
        .merge(("port", 0))
        .merge(("log_level", "off"))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()));
    let liftoff = rocket::fairing::AdHoc::on_liftoff("address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        if let Some(sender) = sender.lock().expect("sender").take() {
            sender.send(address).expect("start_rocket waits for the address");
        }
        Box::pin(async {})
    });
    let server = rocket::custom(figment).mount("/", rocket::routes![download, upload, fields, refuse]).attach(liftoff);
    tokio::spawn(server.launch());
    receiver.await.expect("the back end starts")
}

/// The requests that a raw back end received, and a notification when a client disconnects.
#[derive(Clone, Default)]
pub struct BackendRecord {
    pub requests: Arc<Mutex<Vec<String>>>,
    pub disconnected: Arc<tokio::sync::Notify>,
}

/// What a raw back end does after its answer.
#[derive(Clone)]
pub enum AfterAnswer {
    /// It closes the connection.
    Close,
    /// It closes the connection once it is notified.
    CloseOn(Arc<tokio::sync::Notify>),
    /// It keeps the connection open until the client disconnects.
    Hold,
}

/// Starts a back end that answers every request with `answer`.
pub async fn start_raw(answer: Vec<u8>, after: AfterAnswer) -> (SocketAddr, BackendRecord) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let record = BackendRecord::default();
    let recorded = record.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (recorded, answer, after) = (recorded.clone(), answer.clone(), after.clone());
            tokio::spawn(async move {
                let mut request = vec![0; 64 * 1024];
                let size = stream.read(&mut request).await.unwrap_or(0);
                let text = String::from_utf8_lossy(&request[..size]).into_owned();
                recorded.requests.lock().expect("requests").push(text);
                stream.write_all(&answer).await.ok();
                stream.flush().await.ok();
                match after {
                    AfterAnswer::Close => {}
                    AfterAnswer::CloseOn(notify) => notify.notified().await,
                    AfterAnswer::Hold => {
                        while stream.read(&mut request).await.unwrap_or(0) > 0 {}
                        recorded.disconnected.notify_one();
                    }
                }
            });
        }
    });
    (address, record)
}
