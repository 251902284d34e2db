//! The events that the router handles and the actions that it returns.

mod action;
mod dispatch;
mod failure;
mod failure_kind;
mod finish;
mod input;
mod recall;
mod recall_cause;
mod send_state;

pub use action::Action;
pub use dispatch::Dispatch;
pub use failure::Failure;
pub use failure_kind::FailureKind;
pub use finish::Finish;
pub use input::Event;
pub use recall::Recall;
pub use recall_cause::RecallCause;
pub use send_state::SendState;
