//! HTTP/1.1 over blocking sockets: requests that a stand-in receives, and responses that a
//! client receives.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Value of a field of the query.
    pub fn field(&self, name: &str) -> Option<String> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(other, _)| *other == name).map(|(_, value)| unescape(value)).next()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// A connection with the bytes that have been received and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // A failure only costs time.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else { return Ok(headers) };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = usize::from_str_radix(self.line()?.trim(), 16);
        let data = self.take(size.map_err(|_| io::ErrorKind::InvalidData)?)?;
        self.line()?;
        Ok(data)
    }

    /// Reads a request; an error also when the connection ends before one.
    pub fn request(&mut self) -> io::Result<Request> {
        let line = self.line()?;
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let headers = self.headers()?;
        let mut body = Vec::new();
        if let Some(length) = find(&headers, "content-length") {
            body = self.take(length.parse().map_err(|_| io::ErrorKind::InvalidData)?)?;
        } else if find(&headers, "transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                body.extend(chunk);
            }
        }
        Ok(Request { method, path, query, headers, body })
    }

    /// Sends a response with a length.
    pub fn respond(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
        self.stream.write_all(&[head.as_bytes(), body].concat())
    }

    /// Sends a request of a client and reads the response.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> Outcome {
        let start = Instant::now();
        let mut outcome = Outcome::default();
        let request = format!("{head}Content-Length: {}\r\n\r\n", body.len());
        let sent = self.stream.write_all(&[request.as_bytes(), body].concat());
        if let Err(error) = sent.and_then(|()| self.read_response(&mut outcome, start, limit)) {
            outcome.error = Some(error.kind().to_string());
        }
        outcome.took = start.elapsed();
        outcome
    }

    fn read_response(
        &mut self,
        outcome: &mut Outcome,
        start: Instant,
        limit: Duration,
    ) -> io::Result<()> {
        let timed = |stream: &TcpStream| {
            let left = limit.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            stream.set_read_timeout(Some(left))
        };
        timed(&self.stream)?;
        let line = self.line()?;
        outcome.status = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        outcome.headers = self.headers()?;
        if let Some(length) = find(&outcome.headers, "content-length") {
            outcome.body = self.take(length.parse().map_err(|_| io::ErrorKind::InvalidData)?)?;
            outcome.complete = true;
            return Ok(());
        }
        loop {
            timed(&self.stream)?;
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                outcome.complete = true;
                return Ok(());
            }
            outcome.body.extend(chunk);
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Status; 0 without a response.
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the response was complete.
    pub complete: bool,
    /// Why it was not.
    pub error: Option<String>,
    pub took: Duration,
}

impl Outcome {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Number of complete events in the body.
    pub fn events(&self) -> usize {
        String::from_utf8_lossy(&self.body).matches("\n\n").count()
    }

    pub fn describe(&self) -> String {
        let end = match &self.error {
            None => "complete".to_owned(),
            Some(error) => format!("cut: {error}"),
        };
        let took = self.took.as_millis();
        format!("status={} events={} took_ms={took} {end}", self.status, self.events())
    }
}
