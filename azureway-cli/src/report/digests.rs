//! Shortening the digests of API keys.

/// The number of hexadecimal digits of a digest.
const DIGEST_DIGITS: usize = 64;
/// The number of digits of a digest that are shown.
const SHOWN_DIGITS: usize = 8;

/// Returns the text of a section with every digest shortened to its first digits.
pub(super) fn shorten_digests(text: &str) -> Box<str> {
    let is_digest = |w: &str| w.len() == DIGEST_DIGITS && w.bytes().all(|b| b.is_ascii_hexdigit());
    let words = text.split_inclusive(|c: char| !c.is_ascii_alphanumeric());
    let mut short = String::with_capacity(text.len());
    for word in words {
        let bare = word.trim_end_matches(|c: char| !c.is_ascii_alphanumeric());
        if is_digest(bare) {
            short.push_str(&bare[..SHOWN_DIGITS]);
            short.push_str("...");
            short.push_str(&word[bare.len()..]);
        } else {
            short.push_str(word);
        }
    }
    short.into()
}
