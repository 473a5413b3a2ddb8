//! Just enough HTTP/1.1 for the stand-ins: messages are read and written byte by byte, so that they can also be broken
//! off.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request as a server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }

    /// The value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A response as a client has read it.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// Why no response was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The connection ended before the first byte of a response.
    Closed,
    /// The connection ended within a response, after this many bytes of its body.
    Incomplete(u16, usize),
    /// Nothing more arrived in time.
    TimedOut,
    /// The bytes are no response.
    Malformed(String),
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Connects from any loopback address.
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Connection::new)
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads more bytes until `until`. `Ok(false)` means that the connection has ended.
    fn fill(&mut self, until: Instant) -> Result<bool, ReadFailure> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ReadFailure::TimedOut);
        }
        let _ = self.stream.set_read_timeout(Some(left));
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(count) => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(true)
            }
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                Err(ReadFailure::TimedOut)
            }
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => Ok(true),
            Err(_) => Ok(false),
        }
    }

    fn head(&mut self, until: Instant) -> Result<Option<String>, ReadFailure> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(head));
            }
            if !self.fill(until)? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ReadFailure::Incomplete(0, 0)) };
            }
        }
    }

    /// Reads `length` bytes of a body into `body`. `Ok(false)` means that the connection has ended before.
    fn take(&mut self, length: usize, body: &mut Vec<u8>, until: Instant) -> Result<bool, ReadFailure> {
        let wanted = body.len() + length;
        loop {
            let count = (wanted - body.len()).min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
            if body.len() == wanted {
                return Ok(true);
            }
            if !self.fill(until)? {
                return Ok(false);
            }
        }
    }

    /// Reads a body in chunks. `Ok(false)` means that the connection has ended before its end.
    fn take_chunks(&mut self, body: &mut Vec<u8>, until: Instant) -> Result<bool, ReadFailure> {
        loop {
            let end = loop {
                if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                    break end;
                }
                if !self.fill(until)? {
                    return Ok(false);
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let size = line.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(size, 16)
                .map_err(|_| ReadFailure::Malformed(format!("chunk size {line:?}")))?;
            let mut chunk = Vec::new();
            let whole = self.take(length + 2, &mut chunk, until)?;
            chunk.truncate(length);
            body.extend_from_slice(&chunk);
            if !whole {
                return Ok(false);
            }
            if length == 0 {
                return Ok(true);
            }
        }
    }

    /// Reads the next request. `None` if the connection has ended.
    pub fn next_request(&mut self, time_limit: Duration) -> Option<Request> {
        let until = Instant::now() + time_limit;
        let head = self.head(until).ok()??;
        let mut lines = head.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
        let headers = parse_headers(lines);
        let mut request = Request { method, target, headers, body: Vec::new() };
        let mut body = Vec::new();
        let whole = if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            self.take_chunks(&mut body, until).ok()?
        } else {
            let length = request.header("content-length").parse().unwrap_or(0);
            self.take(length, &mut body, until).ok()?
        };
        request.body = body;
        whole.then_some(request)
    }

    /// Reads the next response.
    pub fn next_response(&mut self, until: Instant) -> Result<Response, ReadFailure> {
        let Some(head) = self.head(until)? else { return Err(ReadFailure::Closed) };
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let Some(status) = status.filter(|_| first.starts_with("HTTP/1.1 ")) else {
            return Err(ReadFailure::Malformed(first));
        };
        let mut response = Response { status, headers: parse_headers(lines), body: Vec::new() };
        let mut body = Vec::new();
        let read = if response.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            self.take_chunks(&mut body, until)
        } else {
            let length = response.header("content-length").parse().unwrap_or(0);
            self.take(length, &mut body, until)
        };
        match read {
            Ok(true) => {
                response.body = body;
                Ok(response)
            }
            Ok(false) => Err(ReadFailure::Incomplete(status, body.len())),
            Err(failure) => Err(failure),
        }
    }

    /// Whether the peer has closed the connection. Does not wait.
    pub fn is_closed_by_peer(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0; 1]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

fn parse_headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

/// A whole response with a length.
pub fn response_text(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// An address of the loopback range, with this port.
pub fn at(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}
