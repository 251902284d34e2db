//! Recorded traces: what reaches one entry instance, as a small text table.

mod ask;
mod header;
mod incident;
mod levels;
mod other;
mod parse;
mod record;
mod recorded;
mod work_kind;

pub use ask::Ask;
pub use header::Header;
pub use incident::Incident;
pub use levels::Levels;
pub use other::Other;
pub use record::Record;
pub use recorded::Trace;
pub use work_kind::WorkKind;
