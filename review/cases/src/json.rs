//! JSON values and base64, as far as the stand-ins need them.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    #[allow(clippy::cast_precision_loss)]
    pub fn number(value: u64) -> Self {
        Self::Number(value as f64)
    }

    pub fn map(entries: Vec<(&str, Json)>) -> Self {
        Self::Map(entries.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Self::Map(entries) => entries.iter().find(|(known, _)| known == name).map_or(&Json::Null, |(_, value)| value),
            _ => &Json::Null,
        }
    }

    pub fn as_text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn as_u64(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn as_list(&self) -> &[Json] {
        if let Self::List(list) = self { list } else { &[] }
    }

    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == bytes.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => out.write_str("null"),
            Self::Bool(value) => write!(out, "{value}"),
            Self::Number(value) => write!(out, "{value}"),
            Self::Text(text) => write_text(out, text),
            Self::List(list) => {
                out.write_str("[")?;
                for (position, value) in list.iter().enumerate() {
                    out.write_str(if position > 0 { "," } else { "" })?;
                    write!(out, "{value}")?;
                }
                out.write_str("]")
            }
            Self::Map(entries) => {
                out.write_str("{")?;
                for (position, (name, value)) in entries.iter().enumerate() {
                    out.write_str(if position > 0 { "," } else { "" })?;
                    write_text(out, name)?;
                    write!(out, ":{value}")?;
                }
                out.write_str("}")
            }
        }
    }
}

fn write_text(out: &mut std::fmt::Formatter<'_>, text: &str) -> std::fmt::Result {
    out.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            '\r' => out.write_str("\\r")?,
            '\t' => out.write_str("\\t")?,
            control if (control as u32) < 0x20 => write!(out, "\\u{:04x}", control as u32)?,
            other => write!(out, "{other}")?,
        }
    }
    out.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip_space();
        let is_next = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(is_next);
        is_next
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut entries = Vec::new();
                if self.take(b'}') {
                    return Some(Json::Map(entries));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    if !self.take(b':') {
                        return None;
                    }
                    entries.push((name, self.value()?));
                    if self.take(b'}') {
                        return Some(Json::Map(entries));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.take(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let is_next = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_next.then_some(value)
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escape {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let mut code = self.hex()?;
                            if (0xD800..0xDC00).contains(&code) && self.bytes[self.at..].starts_with(b"\\u") {
                                self.at += 2;
                                code = 0x10000 + ((code - 0xD800) << 10) + self.hex()?.checked_sub(0xDC00)?;
                            }
                            char::from_u32(code)?
                        }
                        other => char::from(other),
                    };
                    text.extend_from_slice(character.encode_utf8(&mut [0; 4]).as_bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn hex(&mut self) -> Option<u32> {
        let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        u32::from_str_radix(digits, 16).ok()
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| (group << 8) | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(char::from(ALPHABET[(group >> (18 - 6 * position)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut group, mut bits) = (Vec::new(), 0u32, 0);
    for character in text.bytes().filter(|byte| *byte != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == character) else { continue };
        group = (group << 6) | u32::try_from(value).unwrap_or_default();
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
            group &= (1 << bits) - 1;
        }
    }
    bytes
}
