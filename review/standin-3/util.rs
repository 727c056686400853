//! JSON, Base64, random numbers and HTTP messages, without libraries.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A parsed JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b'}') {
                    *at += 1;
                    return Some(Json::Table(table));
                }
                let Json::Text(name) = parse_value(bytes, at)? else { return None };
                skip_space(bytes, at);
                if bytes.get(*at) != Some(&b':') {
                    return None;
                }
                *at += 1;
                table.insert(name, parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b']') {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
                skip_space(bytes, at);
                if bytes.get(*at) == Some(&b',') {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        text.push(match *bytes.get(*at + 1)? {
                            b'n' => b'\n',
                            b't' => b'\t',
                            b'r' => b'\r',
                            other => other,
                        });
                        *at += 2;
                    }
                    byte => {
                        text.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool)
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && !matches!(bytes[*at], b',' | b'}' | b']' | b' ' | b'\n') {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for index in 0..4 {
            if index <= group.len() {
                let letter = ALPHABET[(word >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}

static SEED: AtomicU64 = AtomicU64::new(0);

/// A random number.
pub fn random() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let count = SEED.fetch_add(1, Ordering::Relaxed);
    let mut word = time ^ count.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for _ in 0..3 {
        word ^= word << 13;
        word ^= word >> 7;
        word ^= word << 17;
        word = word.wrapping_mul(0x2545_f491_4f6c_dd1d);
    }
    word
}

/// Random hexadecimal text.
pub fn identifier() -> String {
    format!("{:016x}", random())
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// An HTTP request or response whose body has been read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads bytes from a connection, with a buffer.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count > 0)
    }

    /// Reads a line without its end.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    pub fn bytes(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// Reads the line and the headers of a message; none at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let mut message = Message { line, ..Message::default() };
        loop {
            let Some(line) = self.line()? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a chunk of a chunked body; an empty one is the last, and none a broken connection.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let Some(line) = self.line()? else { return Ok(None) };
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(None) };
        let data = self.bytes(size)?;
        if self.line()?.is_none() {
            return Ok(None);
        }
        Ok(data)
    }

    /// Reads a whole message, with a length, in chunks or without a body.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else { return Ok(None) };
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(data) = self.chunk()? else { return Ok(None) };
                if data.is_empty() {
                    return Ok(Some(message));
                }
                message.body.extend_from_slice(&data);
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        if let Some(length) = length {
            let Some(body) = self.bytes(length)? else { return Ok(None) };
            message.body = body;
        }
        Ok(Some(message))
    }
}

/// Sends a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let text =
        format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1, 0];
    // SAFETY: the descriptor is open, and the value is two integers.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that this program has started.
pub fn signal(pid: u32, number: i32) {
    // SAFETY: no memory is passed.
    unsafe { kill(pid as i32, number) };
}

/// Has the system kill this process when the thread that has started it ends.
pub fn end_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: no memory is passed.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL as u64) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Waits until `condition` holds; false if it doesn't within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    condition()
}
