//! Versions, edits and the audit trail of the operators' document.
//!
//! The document is one text whose sections belong to teams. [`Edit`] is the state machine of
//! one change: its driver carries out each [`EditStep`] against the store and passes back the
//! [`EditReply`]. The accepted text and its [`ChangeRecord`] are stored in one write, and a writer
//! first archives the record that its write replaces. Every accepted change therefore has its
//! record, at whatever step a writer fails.

mod accepted_change;
mod change_id;
mod change_metadata;
mod change_record;
mod change_time;
mod conditional_write;
mod delta;
mod document_check;
mod edit;
mod edit_outcome;
mod edit_reply;
mod edit_state;
mod edit_step;
mod history;
mod section_change;
mod section_view;
mod sections;
mod snapshot;
mod team_id;
mod version_gate;

pub use accepted_change::AcceptedChange;
pub use change_id::ChangeId;
pub use change_metadata::ChangeMetadata;
pub use change_record::ChangeRecord;
pub use change_time::ChangeTime;
pub use conditional_write::ConditionalWrite;
pub use delta::Delta;
pub use document_check::DocumentCheck;
pub use edit::Edit;
pub use edit_outcome::EditOutcome;
pub use edit_reply::EditReply;
pub use edit_step::EditStep;
pub use history::History;
pub use section_change::SectionChange;
pub use section_view::SectionView;
pub use sections::Sections;
pub use snapshot::Snapshot;
pub use team_id::TeamId;
pub use version_gate::VersionGate;
