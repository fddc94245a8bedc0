//! A small JSON reader, and the encoding of texts.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Reads a value. Returns `Null` if the text is malformed.
    pub fn parse(text: &str) -> Self {
        let mut chars: Vec<char> = text.chars().rev().collect();
        parse_value(&mut chars).unwrap_or(Self::Null)
    }

    /// Returns a field of a table, or `Null`.
    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(fields) => {
                fields.iter().find(|(other, _)| other == name).map_or(&Self::Null, |(_, value)| value)
            }
            _ => &Self::Null,
        }
    }

    /// Returns the values of a list, or none.
    pub fn items(&self) -> &[Self] {
        if let Self::List(items) = self { items } else { &[] }
    }

    /// Returns a text, or an empty one.
    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    /// Returns a number, or 0.
    pub fn number(&self) -> f64 {
        if let Self::Number(number) = self { *number } else { 0.0 }
    }
}

fn skip_spaces(chars: &mut Vec<char>) {
    while chars.last().is_some_and(|char| char.is_whitespace()) {
        chars.pop();
    }
}

fn parse_value(chars: &mut Vec<char>) -> Option<Json> {
    skip_spaces(chars);
    match chars.pop()? {
        '"' => parse_text(chars).map(Json::Text),
        '[' => {
            let mut items = Vec::new();
            loop {
                skip_spaces(chars);
                match *chars.last()? {
                    ']' => {
                        chars.pop();
                        return Some(Json::List(items));
                    }
                    ',' => {
                        chars.pop();
                    }
                    _ => items.push(parse_value(chars)?),
                }
            }
        }
        '{' => {
            let mut fields = Vec::new();
            loop {
                skip_spaces(chars);
                match chars.pop()? {
                    '}' => return Some(Json::Table(fields)),
                    ',' => {}
                    '"' => {
                        let name = parse_text(chars)?;
                        skip_spaces(chars);
                        if chars.pop()? != ':' {
                            return None;
                        }
                        fields.push((name, parse_value(chars)?));
                    }
                    _ => return None,
                }
            }
        }
        first => {
            let mut word = first.to_string();
            while chars.last().is_some_and(|char| char.is_alphanumeric() || "+-.".contains(*char)) {
                word.push(chars.pop()?);
            }
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(chars: &mut Vec<char>) -> Option<String> {
    let mut text = String::new();
    loop {
        match chars.pop()? {
            '"' => return Some(text),
            '\\' => match chars.pop()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'u' => {
                    let digits: String = (0..4).filter_map(|_| chars.pop()).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            other => text.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Returns bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte)) << (8 * (3 - group.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Returns the text that `base64` has encoded; other texts may come out as anything.
pub fn text_from_base64(text: &str) -> String {
    let digits = text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let number = group.iter().fold(0, |number, digit| number << 6 | digit) << (6 * (4 - group.len()));
        bytes.extend(&number.to_be_bytes()[1..group.len()]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
