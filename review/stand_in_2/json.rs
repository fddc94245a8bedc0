//! A small reader of JSON, for the calls that nodes make to the store.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Table(fields) => fields.iter().find(|(known, _)| known == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }
}

/// Reads a JSON text. Returns `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == text.len()).then_some(value)
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn next(&mut self, wanted: u8) -> Option<()> {
        self.skip_space();
        (*self.text.get(self.at)? == wanted).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.text.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.next(b'}').is_some() {
                    return Some(Value::Table(fields));
                }
                loop {
                    self.skip_space();
                    let name = self.string()?;
                    self.next(b':')?;
                    fields.push((name, self.value()?));
                    if self.next(b',').is_none() {
                        self.next(b'}')?;
                        return Some(Value::Table(fields));
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                if self.next(b']').is_some() {
                    return Some(Value::List(values));
                }
                loop {
                    values.push(self.value()?);
                    if self.next(b',').is_none() {
                        self.next(b']')?;
                        return Some(Value::List(values));
                    }
                }
            }
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                std::str::from_utf8(&self.text[start..self.at]).ok()?.parse().ok().map(Value::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn string(&mut self) -> Option<String> {
        self.next(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.text.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = std::str::from_utf8(self.text.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let code = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend_from_slice(code.encode_utf8(&mut [0; 4]).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits =
            group.iter().enumerate().fold(0_u32, |bits, (index, byte)| bits | u32::from(*byte) << (16 - 8 * index));
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    for group in digits.chunks(4) {
        let bits = group.iter().enumerate().fold(0, |bits, (index, digit)| bits | digit << (18 - 6 * index));
        bytes.extend((1..group.len()).map(|index| (bits >> (24 - 8 * index)) as u8));
    }
    bytes
}
