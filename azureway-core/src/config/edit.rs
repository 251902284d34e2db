//! The protocol that rebases, validates and writes one change of the document.

use super::edit_state::EditState;
use super::{
    ChangeMetadata, ChangeRecord, ConditionalWrite, Delta, DocumentCheck, EditOutcome, EditReply,
    EditStep, Sections, Snapshot,
};
use crate::domain::ConfigVersion;

/// The state machine of one change of the document. Its driver carries out [`Edit::step`] and
/// passes the result to [`Edit::handle`], until the step is [`EditStep::Done`].
///
/// Every write of the change carries the identity of the change and the version that it expects.
/// A write whose answer was lost can therefore be sent again: at most one of them takes effect.
#[derive(Debug)]
pub struct Edit<C: DocumentCheck> {
    metadata: ChangeMetadata,
    base: ConfigVersion,
    text: Box<str>,
    delta: Delta,
    check: C,
    state: EditState<C::Faults>,
    unconfirmed: Option<ConfigVersion>,
    failures_left: u32,
}

/// The number of failed steps after which an edit ends. A write that finds another version of the
/// document counts as a failed step.
const MAX_FAILURES: u32 = 16;

impl<C: DocumentCheck> Edit<C> {
    /// Creates the edit that changes `base` to `text`.
    pub fn new(metadata: ChangeMetadata, base: &Snapshot, text: &str, check: C) -> Self {
        let delta = Delta::between(&Sections::parse(&base.text), &Sections::parse(text));
        let forbidden = delta.forbidden(&metadata.team);
        let state = match check.check(text) {
            Err(faults) => EditState::Done(EditOutcome::Invalid(faults)),
            Ok(()) if delta.is_empty() => EditState::Done(EditOutcome::Unchanged),
            Ok(()) if !forbidden.is_empty() => EditState::Done(EditOutcome::NotOwned(forbidden)),
            Ok(()) => EditState::Reading,
        };
        Self {
            metadata,
            base: base.version,
            text: text.into(),
            delta,
            check,
            state,
            unconfirmed: None,
            failures_left: MAX_FAILURES,
        }
    }

    /// Returns the step that the driver must carry out next.
    pub fn step(&self) -> EditStep<'_> {
        match &self.state {
            EditState::Reading => EditStep::Read,
            EditState::Archiving(change, _) => EditStep::Archive(change),
            EditState::Writing(write) => EditStep::Write(write),
            EditState::Finding(_) => EditStep::Find(&self.metadata),
            EditState::Done(_) => EditStep::Done,
        }
    }

    /// Returns the outcome once the edit has ended.
    pub fn outcome(&self) -> Option<&EditOutcome<C::Faults>> {
        match &self.state {
            EditState::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Handles the result of the step. A reply that does not belong to the step changes nothing.
    pub fn handle(&mut self, reply: EditReply) {
        let state = std::mem::replace(&mut self.state, EditState::Reading);
        self.state = match (state, reply) {
            (EditState::Reading, EditReply::Read(current)) => self.handle_read(current),
            (EditState::Archiving(_, write), EditReply::Archived) => EditState::Writing(write),
            (EditState::Writing(_), EditReply::Written(version)) => {
                EditState::Done(EditOutcome::Accepted(version))
            }
            (EditState::Writing(_), EditReply::TooLarge(bytes)) => {
                EditState::Done(EditOutcome::TooLarge(bytes))
            }
            (EditState::Writing(_), EditReply::VersionMismatch) => self.retry(EditState::Reading),
            (EditState::Writing(write), EditReply::NoAnswer) => {
                self.unconfirmed = Some(write.expected);
                self.retry(EditState::Reading)
            }
            (EditState::Finding(_), EditReply::Found(Some(version))) => {
                EditState::Done(EditOutcome::Accepted(version))
            }
            (EditState::Finding(current), EditReply::Found(None)) => {
                // The document no longer has the version that the earlier write expects, so that
                // write can never take effect.
                self.unconfirmed = None;
                self.prepare(&current)
            }
            (state, EditReply::Failed) => self.retry(state),
            (state, _) => state,
        };
    }

    fn handle_read(&mut self, current: Snapshot) -> EditState<C::Faults> {
        if current.is_made_by(&self.metadata.id) {
            return EditState::Done(EditOutcome::Accepted(current.version));
        }
        if self.unconfirmed.is_some_and(|v| v != current.version) {
            return EditState::Finding(current);
        }
        self.prepare(&current)
    }

    /// Rebases the change onto `current` and prepares its write.
    fn prepare(&self, current: &Snapshot) -> EditState<C::Faults> {
        let sections = Sections::parse(&current.text);
        let delta = match self.delta.rebase(&sections) {
            Err(conflicts) => return EditState::Done(EditOutcome::Conflict(conflicts)),
            Ok(delta) if delta.is_empty() => return EditState::Done(EditOutcome::Unchanged),
            Ok(delta) => delta,
        };
        let rebased = (current.version != self.base).then(|| delta.apply(&sections));
        if let Some(Err(faults)) = rebased.as_ref().map(|text| self.check.check(text)) {
            return EditState::Done(EditOutcome::Invalid(faults));
        }
        let write = ConditionalWrite {
            expected: current.version,
            text: rebased.map_or_else(|| self.text.clone(), Into::into),
            record: ChangeRecord {
                metadata: self.metadata.clone(),
                from: current.version,
                delta,
            },
        };
        match current.last_change() {
            Some(change) => EditState::Archiving(change, write),
            None => EditState::Writing(write),
        }
    }

    /// Counts a failed step and returns `state`, or the final state if too many steps have failed.
    fn retry(&mut self, state: EditState<C::Faults>) -> EditState<C::Faults> {
        self.failures_left = self.failures_left.saturating_sub(1);
        match (self.failures_left, self.unconfirmed) {
            (0, None) => EditState::Done(EditOutcome::Unavailable),
            (0, Some(_)) => EditState::Done(EditOutcome::Unknown),
            _ => state,
        }
    }
}
