//! Just enough JSON to find the members of an object.

/// Returns the text of the value of `key` in the object `text`.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        at = skip_blank(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let name_end = skip_value(bytes, at)?;
        let name = &text[at + 1..name_end - 1];
        at = skip_blank(bytes, name_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_blank(bytes, at + 1);
        let end = skip_value(bytes, at)?;
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_blank(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns the text of a string value without its quotes.
pub fn string<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    member(text, key)?.strip_prefix('"')?.strip_suffix('"')
}

/// Returns a whole number.
pub fn number(text: &str, key: &str) -> Option<u64> {
    member(text, key)?.parse().ok()
}

fn skip_blank(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the index after the value that starts at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while bytes.get(at)? != &b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth <= 1 => return Some(if depth == 1 { at + 1 } else { at }),
            b'}' | b']' => {
                depth -= 1;
                at += 1;
            }
            b',' if depth == 0 => return Some(at),
            _ => at += 1,
        }
    }
}
