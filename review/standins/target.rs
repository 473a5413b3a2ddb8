//! A stand-in for a target: it serves one request at a time on a connection, records what it runs, and answers as the
//! users' pages describe.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

use crate::http::Reader;
use crate::record::Record;

/// A request that the target runs.
pub struct Run<'a> {
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

/// Answers a request. An error closes the connection.
pub type Answer = dyn Fn(&Target, &Run<'_>, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// A target and its entry in the store.
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub zone: String,
    pub record: Arc<Record>,
    pub answer: Box<Answer>,
}

impl Target {
    /// Starts to serve at the target's address.
    pub fn start(self) -> io::Result<Arc<Target>> {
        let listener = TcpListener::bind(self.address)?;
        let target = Arc::new(self);
        let served = Arc::clone(&target);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = Arc::clone(&served);
                thread::spawn(move || {
                    let _ = target.serve(stream);
                });
            }
        });
        Ok(target)
    }

    /// The key of the target's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// The value of its entry.
    pub fn entry(&self, state: &str, sequence: u64) -> String {
        let Target { service, address, slots, zone, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_s\":0,\"seq\":{sequence}}}"
        )
    }

    /// The head of a whole answer to the request `id`; `framing` is its length header.
    pub fn head(&self, id: &str, framing: &str) -> String {
        format!(
            "HTTP/1.1 200 OK\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Server-Stamp: {}.{id}\r\n{framing}\r\n\r\n",
            self.id
        )
    }

    /// Answers with a short body.
    pub fn answer_whole(&self, id: &str, body: &[u8], stream: &mut TcpStream) -> io::Result<()> {
        let mut bytes = self.head(id, &format!("Content-Length: {}", body.len())).into_bytes();
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head()? {
            let (body, _) = reader.body(&head);
            let path = head.word(1).to_owned();
            if path == "/health" {
                let text =
                    format!("HTTP/1.1 200 OK\r\nQuillhatch-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                writer.write_all(text.as_bytes())?;
                continue;
            }
            let Some(id) = head.header("quillhatch-request-id") else {
                writer.write_all(
                    b"HTTP/1.1 400 Bad Request\r\nQuillhatch-Request-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                )?;
                continue;
            };
            if head.header("quillhatch-expect-instance").is_some_and(|expected| expected != self.id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())?;
                continue;
            }
            let deadline = head.header("quillhatch-deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
            let run = Run { id, method: head.word(0), path: &path, deadline_ms: deadline, body: &body };
            self.record.line(&format!("run      {id} {} {path} at {} ({deadline} ms left)", run.method, self.id));
            let result = (self.answer)(self, &run, &mut writer);
            let how = if result.is_ok() { "answered" } else { "broken off" };
            self.record.line(&format!("run-end  {id} {how} by {}", self.id));
            result?;
        }
        Ok(())
    }
}
