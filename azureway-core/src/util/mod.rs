//! Small helpers without a type of their own.

#[macro_use]
mod name;
#[macro_use]
mod number;
