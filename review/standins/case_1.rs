//! Case 1: a machine is stopped while it hands a long answer to a client that has sent its next request already.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{get, Client};
use crate::fleet::{wait_until_ready, Machine, Net};
use crate::http::End;
use crate::store::Store;
use crate::target::{Run, Target};
use crate::{Breaches, Setup};

const HOST: &str = "archive.example";
const CONFIGURATION: &str = r#"{"version":"r7","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},"listeners":[{"host":"archive.example","rules":[{"name":"files","kind":"download","aim_s":2.5,"priority":1,"match":{"prefix":"/files/"},"action":{"service":"archives","timeout_s":6,"max_attempts":2}}]}],"clusters":[{"name":"archives","health_path":"/health","max_connections":952,"protocol":"h1","tls":false},{"name":"desk","health_path":"/health","max_connections":952,"protocol":"h1","tls":false}]}"#;
/// The client's deadline.
const DEADLINE_MS: u64 = 6000;
/// The size of a long answer in bytes.
const FILE_BYTES: usize = 200_000;
/// The last bytes of a long answer, which a slow target sends late.
const LATE_BYTES: usize = 40;
/// How late. The answer still ends before the route's timeout, the client's deadline, and the last sixth of `grace_s`
/// (5 s to 6 s after the SIGTERM).
const LATE_BY: Duration = Duration::from_millis(4300);
/// The number of clients. Each opens its connection a little later than the one before.
const CLIENTS: usize = 8;
const STAGGER: Duration = Duration::from_millis(100);

/// The bytes of a file: they differ from request to request and from place to place.
fn file_of(id: &str, length: usize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(length + 32);
    while bytes.len() < length {
        let line = format!("{id}:{:08}\n", bytes.len());
        bytes.extend_from_slice(line.as_bytes());
    }
    bytes.truncate(length);
    bytes
}

/// `/files/ID/small` is short; `/files/ID/sized` and `/files/ID/chunked` are long, and end late.
fn answer(target: &Target, run: &Run<'_>, stream: &mut TcpStream) -> io::Result<()> {
    if run.path.ends_with("/small") {
        return target.answer_whole(run.id, &file_of(run.id, 600), stream);
    }
    let file = file_of(run.id, FILE_BYTES);
    let (first, last) = file.split_at(FILE_BYTES - LATE_BYTES);
    if run.path.ends_with("/sized") {
        stream.write_all(target.head(run.id, &format!("Content-Length: {FILE_BYTES}")).as_bytes())?;
        stream.write_all(first)?;
        sleep(LATE_BY);
        return stream.write_all(last);
    }
    stream.write_all(target.head(run.id, "Transfer-Encoding: chunked").as_bytes())?;
    for part in file.chunks(10_000) {
        stream.write_all(format!("{:x}\r\n", part.len()).as_bytes())?;
        stream.write_all(part)?;
        stream.write_all(b"\r\n")?;
    }
    sleep(LATE_BY);
    stream.write_all(b"0\r\n\r\n")
}

/// One client: a short request, then a long one and a further one behind it. Returns what breaks a rule.
fn client(setup: &Setup, address: std::net::SocketAddr, number: usize, start: Instant) -> io::Result<Vec<String>> {
    let record = &setup.record;
    let mut breaches = Vec::new();
    let mut client = Client::connect(address)?;
    let warm = format!("warm-{number}");
    client.send(&get(HOST, &format!("/files/{warm}/small"), &warm, DEADLINE_MS))?;
    match client.answer(Duration::from_secs(3))? {
        Some(answer) if answer.status() == 200 && answer.body == file_of(&warm, 600) => {}
        _ => return Err(io::Error::other("the first short request was not served")),
    }
    sleep(start.saturating_duration_since(Instant::now()));
    let (id, next) = (format!("long-{number}"), format!("next-{number}"));
    let form = if number % 2 == 0 { "sized" } else { "chunked" };
    record.line(&format!("send     {id} ({form}) and {next} behind it"));
    let both = get(HOST, &format!("/files/{id}/{form}"), &id, DEADLINE_MS)
        + &get(HOST, &format!("/files/{next}/small"), &next, DEADLINE_MS);
    client.send(&both)?;
    let answer = client.answer(Duration::from_millis(DEADLINE_MS))?;
    let Some(answer) = answer else {
        breaches.push(format!("LOST {id}: the connection ended without an answer"));
        return Ok(breaches);
    };
    let expected = file_of(&id, FILE_BYTES);
    let right = answer.body.iter().zip(&expected).take_while(|(got, wanted)| got == wanted).count();
    record.line(&format!(
        "answer   {id}: {} {:?}, {} bytes, the first {right} of them right, stamp {}",
        answer.status(),
        answer.end,
        answer.body.len(),
        answer.has_stamp()
    ));
    let wrong = String::from_utf8_lossy(&answer.body[right..]).into_owned();
    match answer.end {
        End::Whole if answer.status() == 200 && answer.body == expected => {}
        End::Whole if answer.status() == 200 => {
            breaches.push(format!("MIXED {id}: a whole success whose body ends with foreign bytes: {wrong:?}"));
        }
        End::Malformed => {
            breaches.push(format!("MIXED {id}: bytes that are no answer in the protocol where a chunk is due"));
        }
        End::Early => breaches.push(format!("LOST {id}: the answer was broken off")),
        End::Whole | End::TimedOut => breaches.push(format!("LOST {id}: no whole answer")),
    }
    if answer.closes() || answer.end != End::Whole {
        return Ok(breaches);
    }
    match client.answer(Duration::from_secs(2))? {
        Some(answer) if answer.status() == 200 && answer.body == file_of(&next, 600) => {
            record.line(&format!("answer   {next}: 200, whole"));
        }
        _ => breaches.push(format!("LOST {next}: no whole answer")),
    }
    Ok(breaches)
}

pub fn run(setup: &Setup) -> io::Result<Breaches> {
    let net = Net::pick()?;
    let record = &setup.record;
    let store = Store::start(net.at(0, net.ports.store))?;
    store.write("op/config", Some(CONFIGURATION));
    let services = ["desk", "archives", "archives"];
    let mut machines = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let number = index as u8 + 1;
        let target = Target {
            id: format!("i-{service}-{number}"),
            service: (*service).to_owned(),
            address: net.at(number, net.ports.target),
            slots: 142,
            zone: "hall-a".to_owned(),
            record: Arc::clone(record),
            answer: Box::new(answer),
        };
        let target = target.start()?;
        store.write(&target.key(), Some(&target.entry("ready", 1)));
        machines.push(Machine::new(net, number, service, false, &setup.folder, record));
    }
    for machine in &mut machines {
        machine.start()?;
    }
    if !wait_until_ready(&machines, Duration::from_secs(20)) {
        return Err(io::Error::other("the machines did not become ready"));
    }
    sleep(Duration::from_secs(4));

    // The clients open their connections up to 0.8 s before the machine is told to stop, and use them again 0.1 s
    // after it: the platform leaves them there until two questions in a row were not answered with 200.
    let stop_at = Instant::now() + STAGGER * CLIENTS as u32 + Duration::from_millis(100);
    let address = machines[0].outbound();
    let breaches = thread::scope(|scope| {
        let mut clients = Vec::new();
        for number in 0..CLIENTS {
            clients.push(scope.spawn(move || client(setup, address, number, stop_at + Duration::from_millis(100))));
            sleep(STAGGER);
        }
        sleep(stop_at.saturating_duration_since(Instant::now()));
        if setup.has_trouble {
            machines[0].signal("TERM");
        }
        let mut breaches = Vec::new();
        for client in clients {
            breaches.extend(client.join().map_err(|_| io::Error::other("a client failed"))??);
        }
        io::Result::Ok(breaches)
    })?;
    if setup.has_trouble {
        machines[0].wait(Duration::from_secs(8));
        machines[0].start()?;
        if !wait_until_ready(&machines, Duration::from_secs(20)) {
            record.line("note     the stopped machine did not become ready again");
        }
    }
    Ok(breaches)
}
