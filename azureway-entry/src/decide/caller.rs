//! What the deciding duty keeps of a caller.

use std::sync::Arc;

use azureway_core::prelude::{Rank, Timestamp, TokenCount};
use flume::Sender;

use crate::admit::Errand;
use crate::caller::Outcome;

/// What the deciding duty keeps of a caller: bytes and rings, which the core never sees.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What a relay carries.
    pub errand: Arc<Errand>,
    /// Where the outcome goes.
    pub outcome: Sender<Outcome>,
    /// The rank.
    pub rank: Rank,
    /// When the request arrived.
    pub arrived: Timestamp,
    /// The tokens of the prompt.
    pub prompt: TokenCount,
    /// Whether a token has come.
    pub begun: bool,
}
