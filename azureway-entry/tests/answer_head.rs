//! Tests of the response heads that are accepted.

use azureway_entry::exchange::AnswerHead;
use googletest::prelude::*;

/// The length of the name in every case, longer than what the parser compares at once.
const NAME_LENGTH: usize = 70;

/// Returns whether a field name may contain a byte (RFC 9110, `tchar`).
fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

// Guards against a line that is passed on although it is not a field, or ignored although it is one.
#[gtest]
fn a_field_name_contains_only_the_bytes_of_a_token() {
    for byte in (0..=u8::MAX).filter(|b| *b != b':') {
        for position in 0..NAME_LENGTH {
            let mut name = [b'a'; NAME_LENGTH];
            name[position] = byte;
            let head = [b"HTTP/1.1 200 OK\r\n", &name[..], b": 1\r\n\r\n"].concat();
            let accepted = matches!(AnswerHead::parse(&head), Ok(Some(_)));
            expect_that!(accepted, eq(is_token(byte)), "{byte:#04x} at {position}");
        }
    }
}
