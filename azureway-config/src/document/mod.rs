//! Parsing, checking and editing of the operators' document.

mod checker;
mod name;
mod parse;
mod section_edit;

pub use checker::Checker;
pub use parse::parse;
pub use section_edit::SectionEdit;
