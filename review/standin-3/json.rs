//! A small JSON reader, and base64 with padding.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON text. `None` if it is malformed.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut at = 0;
    let value = parse_value(text, &mut at)?;
    skip_space(text, &mut at);
    (at == text.len()).then_some(value)
}

fn skip_space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn take(text: &[u8], at: &mut usize, expected: &[u8]) -> Option<()> {
    skip_space(text, at);
    text[*at..].starts_with(expected).then(|| *at += expected.len())
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Value> {
    skip_space(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            if take(text, at, b"}").is_some() {
                return Some(Value::Object(fields));
            }
            loop {
                skip_space(text, at);
                let name = parse_text(text, at)?;
                take(text, at, b":")?;
                fields.insert(name, parse_value(text, at)?);
                if take(text, at, b",").is_none() {
                    take(text, at, b"}")?;
                    return Some(Value::Object(fields));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            if take(text, at, b"]").is_some() {
                return Some(Value::List(list));
            }
            loop {
                list.push(parse_value(text, at)?);
                if take(text, at, b",").is_none() {
                    take(text, at, b"]")?;
                    return Some(Value::List(list));
                }
            }
        }
        b'"' => parse_text(text, at).map(Value::Text),
        b't' => take(text, at, b"true").map(|()| Value::Bool(true)),
        b'f' => take(text, at, b"false").map(|()| Value::Bool(false)),
        b'n' => take(text, at, b"null").map(|()| Value::Null),
        _ => {
            let begin = *at;
            while text.get(*at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[begin..*at]).ok()?;
            number.parse().ok().map(Value::Number)
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    if text.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escape = *text.get(*at)?;
                *at += 1;
                let byte = match escape {
                    b'n' => b'\n',
                    b'r' => b'\r',
                    b't' => b'\t',
                    b'b' => 8,
                    b'f' => 12,
                    b'u' => {
                        let digits = text.get(*at..*at + 4)?;
                        *at += 4;
                        let code = std::str::from_utf8(digits).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        let mut buffer = [0; 4];
                        let char = char::from_u32(code)?;
                        bytes.extend(char.encode_utf8(&mut buffer).as_bytes());
                        continue;
                    }
                    other => other,
                };
                bytes.push(byte);
            }
            byte => bytes.push(byte),
        }
    }
}

const ALPHABET: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(content: &[u8]) -> String {
    let mut text = String::new();
    for chunk in content.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            text.push(match index <= chunk.len() {
                true => char::from(ALPHABET[(bits >> (18 - 6 * index) & 63) as usize]),
                false => '=',
            });
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut content = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes().take_while(|byte| *byte != b'=') {
        let Some(digit) = ALPHABET.iter().position(|letter| *letter == byte) else {
            break;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            content.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    content
}
