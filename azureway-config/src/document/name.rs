//! Validation of the names in the document, which appear in logs, metric labels and paths.

/// The format of a name, as stated in faults.
pub(super) const NAME_FORMAT: &str = "a name of 1 to 64 letters, digits, `.`, `_` or `-`";
/// The maximum length of a name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

/// Returns whether `text` is a valid name, which is safe in logs, metric labels and paths.
pub(super) fn is_valid_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed)
}
