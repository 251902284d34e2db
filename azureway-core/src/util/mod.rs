//! Small helpers.

#[macro_use]
mod name;
#[macro_use]
mod number;
mod xorshift;

pub(crate) use xorshift::Xorshift;
