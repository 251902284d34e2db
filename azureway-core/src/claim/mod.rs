//! At most once: claims on idempotency keys, which entries share through the platform.
//!
//! [`ClaimBook`] decides when a claim is asked for, used, finished or given back;
//! [`ClaimAsking`] and [`ClaimSettling`] decide the calls of one such step, so that an answer
//! that was lost after its write took effect is told from a write that was not.

mod ask;
mod asking;
mod book;
mod call;
mod gate;
mod held;
mod name;
mod news;
mod nonce;
mod record;
mod reply;
mod run;
mod settling;
mod short_answer;
mod state;
mod step;
mod sweep;
mod ticket;
mod verdict;

pub use ask::ClaimAsk;
pub use asking::ClaimAsking;
pub use book::ClaimBook;
pub use call::ClaimCall;
pub use gate::ClaimGate;
pub use held::HeldClaim;
pub use name::ClaimName;
pub use news::ClaimNews;
pub use nonce::ClaimNonce;
pub use record::ClaimRecord;
pub use reply::ClaimReply;
pub use run::ClaimRun;
pub use settling::ClaimSettling;
pub use short_answer::ShortAnswer;
pub use state::ClaimState;
pub use step::ClaimStep;
pub use sweep::ClaimSweep;
pub use ticket::ClaimTicket;
pub use verdict::ClaimVerdict;
