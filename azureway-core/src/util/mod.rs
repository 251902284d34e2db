//! Small helpers.

#[macro_use]
mod name;
#[macro_use]
mod number;
mod half_digest;
mod xorshift;

pub(crate) use half_digest::HalfDigest;
pub(crate) use xorshift::Xorshift;
