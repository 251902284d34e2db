//! One change of the document, from its draft to its outcome.

use super::edit_state::EditState;
use super::{
    ChangeMetadata, ChangeRecord, ConditionalWrite, Delta, DocumentCheck, EditOutcome, EditReply,
    EditStep, Sections, Snapshot,
};
use crate::domain::ConfigVersion;

/// The state machine of one change. Its driver carries out [`Edit::step`] and tells
/// [`Edit::handle`] what came of it, until the step is [`EditStep::Done`].
///
/// Every write of the change carries its identity and the version that it expects, so that a
/// write whose answer was lost can be sent again: at most one of them takes effect.
#[derive(Debug)]
pub struct Edit<C: DocumentCheck> {
    note: ChangeMetadata,
    base: ConfigVersion,
    text: Box<str>,
    delta: Delta,
    check: C,
    state: EditState<C::Faults>,
    unsure: Option<ConfigVersion>,
    tries: u32,
}

/// The steps of an edit that may fail or be raced before it gives up.
const TRIES: u32 = 16;

impl<C: DocumentCheck> Edit<C> {
    /// Creates the change from `base` to `text`.
    pub fn new(note: ChangeMetadata, base: &Snapshot, text: &str, check: C) -> Self {
        let delta = Delta::between(&Sections::parse(&base.text), &Sections::parse(text));
        let forbidden = delta.forbidden(&note.team);
        let state = match check.check(text) {
            Err(faults) => EditState::Done(EditOutcome::Invalid(faults)),
            Ok(()) if delta.is_empty() => EditState::Done(EditOutcome::Unchanged),
            Ok(()) if !forbidden.is_empty() => EditState::Done(EditOutcome::NotOwned(forbidden)),
            Ok(()) => EditState::Reading,
        };
        Self {
            note,
            base: base.version,
            text: text.into(),
            delta,
            check,
            state,
            unsure: None,
            tries: TRIES,
        }
    }

    /// Returns what is to be done next.
    pub fn step(&self) -> EditStep<'_> {
        match &self.state {
            EditState::Reading => EditStep::Read,
            EditState::Archiving(change, _) => EditStep::Archive(change),
            EditState::Writing(plan) => EditStep::Write(plan),
            EditState::Finding(_) => EditStep::Find(&self.note),
            EditState::Done(_) => EditStep::Done,
        }
    }

    /// Returns the outcome once the edit is over.
    pub fn outcome(&self) -> Option<&EditOutcome<C::Faults>> {
        match &self.state {
            EditState::Done(outcome) => Some(outcome),
            _ => None,
        }
    }

    /// Takes in what came of the step. A reply that does not belong to it changes nothing.
    pub fn handle(&mut self, reply: EditReply) {
        let state = std::mem::replace(&mut self.state, EditState::Reading);
        self.state = match (state, reply) {
            (EditState::Reading, EditReply::Read(current)) => self.read(current),
            (EditState::Archiving(_, plan), EditReply::Archived) => EditState::Writing(plan),
            (EditState::Writing(_), EditReply::Written(version)) => {
                EditState::Done(EditOutcome::Accepted(version))
            }
            (EditState::Writing(_), EditReply::TooLarge(bytes)) => {
                EditState::Done(EditOutcome::TooLarge(bytes))
            }
            (EditState::Writing(_), EditReply::VersionMismatch) => self.again(EditState::Reading),
            (EditState::Writing(plan), EditReply::NoAnswer) => {
                self.unsure = Some(plan.expected);
                self.again(EditState::Reading)
            }
            (EditState::Finding(_), EditReply::Found(Some(version))) => {
                EditState::Done(EditOutcome::Accepted(version))
            }
            (EditState::Finding(current), EditReply::Found(None)) => {
                // The version that the write expected has passed, so it can never take effect.
                self.unsure = None;
                self.plan(&current)
            }
            (state, EditReply::Failed) => self.again(state),
            (state, _) => state,
        };
    }

    fn read(&mut self, current: Snapshot) -> EditState<C::Faults> {
        if current.is_made_by(&self.note.id) {
            return EditState::Done(EditOutcome::Accepted(current.version));
        }
        if self.unsure.is_some_and(|v| v != current.version) {
            return EditState::Finding(current);
        }
        self.plan(&current)
    }

    /// Brings the change onto `current`.
    fn plan(&self, current: &Snapshot) -> EditState<C::Faults> {
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
        let plan = ConditionalWrite {
            expected: current.version,
            text: rebased.map_or_else(|| self.text.clone(), Into::into),
            record: ChangeRecord {
                metadata: self.note.clone(),
                from: current.version,
                delta,
            },
        };
        match current.last_change() {
            Some(change) => EditState::Archiving(change, plan),
            None => EditState::Writing(plan),
        }
    }

    /// Goes on at `state` unless too many steps have failed.
    fn again(&mut self, state: EditState<C::Faults>) -> EditState<C::Faults> {
        self.tries = self.tries.saturating_sub(1);
        match (self.tries, self.unsure) {
            (0, None) => EditState::Done(EditOutcome::Unavailable),
            (0, Some(_)) => EditState::Done(EditOutcome::Unknown),
            _ => state,
        }
    }
}
