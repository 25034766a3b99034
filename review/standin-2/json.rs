//! A small JSON reader, enough for the transactions that instances send to the store.

use std::collections::BTreeMap;

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
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut position = 0;
        let value = parse_value(bytes, &mut position)?;
        skip_space(bytes, &mut position);
        (position == bytes.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key)? {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key)? {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self, key: &str) -> &[Json] {
        match self.get(key) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }

    pub fn as_text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

fn skip_space(bytes: &[u8], position: &mut usize) {
    while bytes.get(*position).is_some_and(u8::is_ascii_whitespace) {
        *position += 1;
    }
}

fn expect(bytes: &[u8], position: &mut usize, byte: u8) -> Option<()> {
    skip_space(bytes, position);
    (bytes.get(*position) == Some(&byte)).then(|| *position += 1)
}

fn parse_value(bytes: &[u8], position: &mut usize) -> Option<Json> {
    skip_space(bytes, position);
    match bytes.get(*position)? {
        b'"' => parse_text(bytes, position).map(Json::Text),
        b'[' => {
            *position += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, position);
                if bytes.get(*position) == Some(&b']') {
                    *position += 1;
                    return Some(Json::List(list));
                }
                if !list.is_empty() {
                    expect(bytes, position, b',')?;
                }
                list.push(parse_value(bytes, position)?);
            }
        }
        b'{' => {
            *position += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(bytes, position);
                if bytes.get(*position) == Some(&b'}') {
                    *position += 1;
                    return Some(Json::Table(table));
                }
                if !table.is_empty() {
                    expect(bytes, position, b',')?;
                    skip_space(bytes, position);
                }
                let key = parse_text(bytes, position)?;
                expect(bytes, position, b':')?;
                table.insert(key, parse_value(bytes, position)?);
            }
        }
        _ => {
            let start = *position;
            while bytes
                .get(*position)
                .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(byte))
            {
                *position += 1;
            }
            match std::str::from_utf8(&bytes[start..*position]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool),
                "false" => Some(Json::Bool),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(bytes: &[u8], position: &mut usize) -> Option<String> {
    expect(bytes, position, b'"')?;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*position)?;
        *position += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*position)?;
                *position += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = bytes.get(*position..*position + 4)?;
                        let digits = std::str::from_utf8(digits).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *position += 4;
                        let letter = char::from_u32(code)?;
                        text.extend(letter.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
