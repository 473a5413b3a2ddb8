//! A stand-in of an application target: it runs requests, and records each run.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{response_text, Connection, Request};
use crate::record::Record;
use crate::store::Store;

/// What a target answers to a request that it runs.
pub enum Reply {
    /// A success with this body.
    Whole(String),
    /// The target sends a success whose body has this length, and breaks it off after this many bytes.
    BrokenOff(usize, usize),
    /// The target breaks the connection off without a byte of an answer.
    Nothing,
}

/// The work of a target: it may take time.
pub type Work = dyn Fn(&Request, &Target) -> Reply + Send + Sync;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub service: String,
    /// The path of the request.
    pub path: String,
    pub body: Vec<u8>,
    pub began: f64,
    /// When the whole answer was handed over, if it was.
    pub ended: Option<f64>,
}

#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The requests that reached it, run or not.
    pub arrived: Arc<AtomicUsize>,
    /// Whether it says in its health check that it leaves.
    pub is_leaving: Arc<AtomicBool>,
    /// Whether it has ended.
    pub is_ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<std::net::TcpStream>>>,
    /// Whether it records each run at once, in a line.
    records_runs: Arc<AtomicBool>,
    record: Record,
    work: Arc<Work>,
}

impl Target {
    /// Starts a target at `address`.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        record: &Record,
        work: Arc<Work>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let target = Target {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            runs: Arc::default(),
            arrived: Arc::default(),
            is_leaving: Arc::default(),
            is_ended: Arc::default(),
            connections: Arc::default(),
            records_runs: Arc::new(AtomicBool::new(true)),
            record: record.clone(),
            work,
        };
        let served = target.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().expect("no thread panics with the lock").push(copy);
                }
                let target = served.clone();
                thread::spawn(move || target.serve(Connection::new(stream)));
            }
        });
        Ok(target)
    }

    /// The entry of this target in the store.
    pub fn entry(&self, zone: &str, state: &str, seq: u64) -> String {
        let Target { service, address, .. } = self;
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"{state}","cold_remaining_s":0,"seq":{seq}}}"#
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes its entry. A later write that changes only `seq` makes no change in the store, so there is none here.
    pub fn register(&self, store: &Store, zone: &str) {
        store.put(&self.key(), &self.entry(zone, "ready", 1));
    }

    /// Ends the process of the target: all its connections are cut, and its port is refused.
    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        let _ = std::net::TcpStream::connect(self.address);
        for stream in self.connections.lock().expect("no thread panics with the lock").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Records its runs only when [`Target::list_runs`] is called.
    pub fn record_runs_later(&self) {
        self.records_runs.store(false, Ordering::SeqCst);
    }

    /// Writes the ids of all requests that it ran.
    pub fn list_runs(&self) {
        const IDS_IN_A_LINE: usize = 16;
        let runs = self.runs.lock().expect("no thread panics with the lock");
        for part in runs.chunks(IDS_IN_A_LINE) {
            let ids: Vec<&str> = part.iter().map(|run| run.id.as_str()).collect();
            self.record.line(&format!("target {} ran from {:.3} on: {}", self.id, part[0].began, ids.join(" ")));
        }
    }

    fn serve(&self, mut connection: Connection) {
        while let Some(request) = connection.next_request(Duration::from_secs(60)) {
            if !self.answer(&mut connection, &request) || self.is_ended.load(Ordering::SeqCst) {
                let _ = connection.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    /// Answers one request. Returns whether the connection is kept.
    fn answer(&self, connection: &mut Connection, request: &Request) -> bool {
        let id = request.header("quillhatch-request-id").to_owned();
        if request.path() == "/health" {
            let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            let headers = format!("Quillhatch-Instance-Id: {}\r\n", self.id);
            return connection.send(&response_text(status, &headers, "")).is_ok();
        }
        self.arrived.fetch_add(1, Ordering::SeqCst);
        let echo = format!("Quillhatch-Request-Id: {id}\r\n");
        let expected = request.header("quillhatch-expect-instance");
        if !expected.is_empty() && expected != self.id {
            self.record.line(&format!("target {} answers 421 to {id}: it is not {expected}", self.id));
            let headers = format!("{echo}Quillhatch-Instance-Id: {}\r\nQuillhatch-Request-Not-Run: 1\r\n", self.id);
            return connection.send(&response_text(421, &headers, "")).is_ok();
        }
        if id.is_empty() {
            let headers = "Quillhatch-Request-Not-Run: 1\r\n";
            return connection.send(&response_text(400, headers, "")).is_ok();
        }
        let index = self.begin(request, &id);
        let headers = format!("{echo}Quillhatch-Server-Stamp: stamp-{id}\r\n");
        let kept = match (self.work)(request, self) {
            Reply::Whole(body) => connection.send(&response_text(200, &headers, &body)).is_ok(),
            Reply::BrokenOff(length, sent) => {
                let head = format!("HTTP/1.1 200 X\r\n{headers}Content-Length: {length}\r\n\r\n");
                let body = "x".repeat(sent);
                let _ = connection.send(&(head + &body));
                        self.record.line(&format!("target {} breaks the answer to {id} off", self.id));
                return false;
            }
            Reply::Nothing => return false,
        };
        // A caller that has left shows as a closed connection.
        if kept && !connection.is_closed_by_peer() {
            self.finish(index);
        }
        kept
    }

    fn begin(&self, request: &Request, id: &str) -> usize {
        let Target { service, record, .. } = self;
        let path = request.path().to_owned();
        if self.records_runs.load(Ordering::SeqCst) {
            record.line(&format!("target {} ({service}) runs {id} {} {path}", self.id, request.method));
        }
        let run = Run {
            id: id.to_owned(),
            target: self.id.clone(),
            service: service.clone(),
            path,
            body: request.body.clone(),
            began: record.now(),
            ended: None,
        };
        let mut runs = self.runs.lock().expect("no thread panics with the lock");
        runs.push(run);
        runs.len() - 1
    }

    fn finish(&self, index: usize) {
        let mut runs = self.runs.lock().expect("no thread panics with the lock");
        runs[index].ended = Some(self.record.now());
        let line = format!("target {} has answered {}", self.id, runs[index].id);
        drop(runs);
        if self.records_runs.load(Ordering::SeqCst) {
            self.record.line(&line);
        }
    }

    /// Works for `time`, but not beyond the deadline of the request. Returns whether the work was finished.
    pub fn work_for(request: &Request, time: Duration) -> bool {
        let limit = request.header("quillhatch-deadline-ms").parse().map_or(time, Duration::from_millis);
        let until = Instant::now() + time.min(limit);
        while Instant::now() < until {
            thread::sleep(until.saturating_duration_since(Instant::now()).min(Duration::from_millis(20)));
        }
        time <= limit
    }
}
