//! What a name in the document looks like.

/// What a name looks like, for a fault's text.
pub(super) const NAME: &str = "a name of 1 to 64 letters, digits, `.`, `_` or `-`";
/// The letters of the longest name.
const NAME_MAX: usize = 64;

/// Tells whether `text` is a name that logs, labels and paths can carry.
pub(super) fn is_name(text: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    (1..=NAME_MAX).contains(&text.len()) && text.bytes().all(fits)
}
