//! The table of answers with broken response heads.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

/// An answer whose response head is broken.
pub struct BrokenHead {
    /// What is wrong with the head.
    pub fault: &'static str,
    /// The bytes of the answer.
    pub bytes: Vec<u8>,
}

/// Returns the answers in `testdata/broken_heads.txt`.
pub fn read() -> Vec<BrokenHead> {
    let lines = include_str!("../../testdata/broken_heads.txt").lines();
    let rows = lines.filter(|l| !l.starts_with('#')).map(|line| {
        let (fault, answer) = line.split_once('|').expect("two cells");
        BrokenHead {
            fault: fault.trim(),
            bytes: decode(answer.trim_start()),
        }
    });
    rows.collect()
}

/// Decodes the notation of the table.
fn decode(text: &str) -> Vec<u8> {
    let text = text.replace('~', "\r\n").replace('#', "\n");
    let mut parts = text.split('{');
    let mut bytes = Vec::from(parts.next().unwrap_or_default());
    for part in parts {
        let (code, rest) = part.split_once('}').expect("the end of a code");
        bytes.push(u8::from_str_radix(code, 16).expect("a hexadecimal code"));
        bytes.extend_from_slice(rest.as_bytes());
    }
    bytes
}
