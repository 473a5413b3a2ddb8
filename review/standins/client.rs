//! A stand-in for a client: it sends requests on one connection and reads the answers in their order.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{End, Head, Reader};

/// What a client got for one request.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn status(&self) -> u16 {
        self.head.word(1).parse().unwrap_or(0)
    }

    pub fn has_stamp(&self) -> bool {
        self.head.header("quillhatch-server-stamp").is_some()
    }

    pub fn closes(&self) -> bool {
        self.head.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A client's connection.
pub struct Client {
    reader: Reader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { reader: Reader::new(stream) })
    }

    /// Sends one or more requests without waiting for their answers.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.reader.stream.write_all(text.as_bytes())
    }

    /// Reads the next answer; `Ok(None)` if the connection has ended before it.
    pub fn answer(&mut self, time: Duration) -> io::Result<Option<Answer>> {
        self.reader.stream.set_read_timeout(Some(time))?;
        let Some(head) = self.reader.head()? else { return Ok(None) };
        let (body, end) = self.reader.body(&head);
        Ok(Some(Answer { head, body, end }))
    }
}

/// The text of a request without a body.
pub fn get(host: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nQuillhatch-Request-Id: {id}\r\nQuillhatch-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}
