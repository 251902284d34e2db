//! Macros for name and number types, a digest and a random number generator.

#[macro_use]
mod name;
#[macro_use]
mod number;
mod truncated_sha256;
mod xorshift;

pub(crate) use truncated_sha256::TruncatedSha256;
pub(crate) use xorshift::Xorshift;
