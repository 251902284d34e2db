//! Claims on idempotency keys, as the platform stores them.

mod claim_answer;
mod claim_body;

pub use claim_answer::ClaimAnswer;
pub use claim_body::ClaimBody;
