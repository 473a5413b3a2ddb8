//! The part of HTTP/1.1 that the stand-ins need: heads, bodies with a length or in chunks.

use std::io::{self, Read};

/// The start line and the headers of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// A word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    fn parse(bytes: &[u8]) -> Head {
        let text = String::from_utf8_lossy(bytes);
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        Head { start, headers: headers.collect() }
    }
}

/// A stream with the bytes that were read beyond the last message.
pub struct Reader<S> {
    pub stream: S,
    buffer: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// As its framing says.
    Whole,
    /// The connection ended before the framing said so.
    Early,
    /// Bytes arrived where the framing allows none like them.
    Malformed,
    /// Nothing arrived until the reader's time was over.
    TimedOut,
}

impl<S: Read> Reader<S> {
    pub fn new(stream: S) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; returns how many.
    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the stream ends before it begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = Head::parse(&self.buffer[..end]);
                self.buffer.drain(..end + 4);
                return Ok(Some(head));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Reads the body that belongs to `head`, and returns it with how it ended.
    pub fn body(&mut self, head: &Head) -> (Vec<u8>, End) {
        let mut body = Vec::new();
        let end = if head.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            self.chunks(&mut body)
        } else {
            let length = head.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            self.exactly(length, &mut body)
        };
        match end {
            Ok(end) => (body, end),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                (body, End::TimedOut)
            }
            Err(_) => (body, End::Early),
        }
    }

    fn exactly(&mut self, length: usize, body: &mut Vec<u8>) -> io::Result<End> {
        let wanted = body.len() + length;
        loop {
            let count = (wanted - body.len()).min(self.buffer.len());
            body.extend(self.buffer.drain(..count));
            if body.len() == wanted {
                return Ok(End::Whole);
            }
            if self.fill()? == 0 {
                return Ok(End::Early);
            }
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<End> {
        loop {
            let Some(line) = self.line()? else { return Ok(End::Early) };
            let digits = line.split(';').next().unwrap_or_default().trim();
            let Ok(length) = usize::from_str_radix(digits, 16) else { return Ok(End::Malformed) };
            if length > 0 {
                match self.exactly(length, body)? {
                    End::Whole => {}
                    other => return Ok(other),
                }
            }
            match self.line()? {
                None => return Ok(End::Early),
                Some(line) if !line.is_empty() => return Ok(End::Malformed),
                Some(_) if length == 0 => return Ok(End::Whole),
                Some(_) => {}
            }
        }
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }
}
