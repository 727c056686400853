//! Just enough JSON for the bodies of calls to the stand-ins.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; anything malformed becomes [`Json::Other`].
    pub fn parse(bytes: &[u8]) -> Self {
        let mut parser = Parser { bytes, at: 0 };
        parser.value().unwrap_or(Self::Other)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(fields) => {
                fields.iter().find(|(other, _)| other == name).map_or(&Self::Other, |(_, v)| v)
            }
            _ => &Self::Other,
        }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn skip(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.peek()? != b'}' {
                    let Json::Text(name) = self.value()? else { return None };
                    self.skip(b':')?;
                    fields.push((name, self.value()?));
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Table(fields))
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != b']' {
                    items.push(self.value()?);
                    if self.peek()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    match *self.bytes.get(self.at)? {
                        b'"' => break,
                        b'\\' => {
                            self.at += 1;
                            text.push(*self.bytes.get(self.at)?);
                        }
                        byte => text.push(byte),
                    }
                    self.at += 1;
                }
                self.at += 1;
                Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(word.parse().map_or(Json::Other, Json::Number))
            }
        }
    }
}

/// Encodes bytes as standard Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            (0..3).fold(0_u32, |sum, at| sum << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let code = group >> (18 - 6 * at) & 63;
            let used = at <= chunk.len();
            text.push(if used { char::from(ALPHABET[code as usize]) } else { '=' });
        }
    }
    text
}
