//! Splits JSON text into its members without a full parser.

/// Returns the raw value of the member `key` of the object `text`.
pub fn member<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let (mut depth, mut index) = (0, 0);
    while index < bytes.len() {
        match bytes[index] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b'"' => {
                let end = string_end(bytes, index);
                let name = &text[index + 1..end];
                let rest = text[end + 1..].trim_start();
                if depth == 1 && name == key && rest.starts_with(':') {
                    let start = text.len() - rest.len() + 1;
                    return Some(value(&text[start..]));
                }
                index = end;
            }
            _ => {}
        }
        index += 1;
    }
    None
}

/// Returns the text of a raw string value.
pub fn unquote(raw: &str) -> &str {
    raw.trim().trim_matches('"')
}

fn value(text: &str) -> &str {
    let bytes = text.as_bytes();
    let (mut depth, mut index) = (0, 0);
    while index < bytes.len() {
        match bytes[index] {
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => break,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => break,
            b'"' => index = string_end(bytes, index),
            _ => {}
        }
        index += 1;
    }
    text[..index.min(text.len())].trim()
}

/// Returns the index of the quote that ends the string that begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> usize {
    let mut index = start + 1;
    while index < bytes.len() && bytes[index] != b'"' {
        index += if bytes[index] == b'\\' { 2 } else { 1 };
    }
    index.min(bytes.len().saturating_sub(1))
}
