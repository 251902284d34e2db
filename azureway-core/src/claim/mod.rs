//! At-most-once execution through claims on idempotency keys, which entries share through the
//! platform.
//!
//! [`ClaimTable`] decides when a claim is requested, used, finished or released.
//! [`ClaimCreation`] and [`ClaimClosing`] decide the platform calls for it. They distinguish a
//! write whose answer was lost from a write that did not take effect.

mod breaker;
mod closing;
mod command;
mod creation;
mod decision;
mod handle;
mod name;
mod nonce;
mod operation;
mod outcome;
mod record;
mod reply;
mod request;
mod short_answer;
mod state;
mod step;
mod sweep;
mod table;
mod tracked;

pub use breaker::ClaimBreaker;
pub use closing::ClaimClosing;
pub use command::ClaimCommand;
pub use creation::ClaimCreation;
pub use decision::ClaimDecision;
pub use handle::ClaimHandle;
pub use name::ClaimName;
pub use nonce::ClaimNonce;
pub use operation::ClaimOperation;
pub use outcome::ClaimOutcome;
pub use record::ClaimRecord;
pub use reply::ClaimReply;
pub use request::ClaimRequest;
pub use short_answer::ShortAnswer;
pub use state::ClaimState;
pub use step::ClaimStep;
pub use sweep::ClaimSweep;
pub use table::ClaimTable;
pub use tracked::TrackedClaim;
