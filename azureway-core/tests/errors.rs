//! Tests of the error that the library returns.

use azureway_core::prelude::*;
use googletest::prelude::*;

/// Guards against log lines as long as the text that a peer sent.
#[gtest]
fn a_long_description_is_cut_at_a_character() {
    for text in ["x".repeat(1_000_000), "é".repeat(1_000_000)] {
        let error = Error::new(ErrorKind::Protocol, Step::new("read server"), &text);
        let error = error.with_peer(&text);
        expect_that!(error.to_string().len(), lt(2_000));
        expect_true!(text.starts_with(error.detail()));
        expect_that!(error.detail().len(), gt(100));
    }
    let short = Error::new(ErrorKind::Protocol, Step::new("read server"), "short");
    expect_that!(short.detail(), eq("short"));
}
