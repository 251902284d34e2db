//! What a request's headers ask of an engine.

use std::net::SocketAddr;

use azureway_core::prelude::{Incarnation, Rank, Salt, WeightsVersion};
use azureway_wire::header;
use tiny_http::Request;

use crate::http::Reply;

/// What a request's headers ask of an engine.
#[derive(Clone, Debug)]
pub struct RequestTerms {
    /// The try of the request.
    pub attempt_id: String,
    /// The salt of the blocks that may be used.
    pub salt: Salt,
    /// The weights version that must be loaded.
    pub weights: WeightsVersion,
    /// The incarnation that the engine must have.
    pub incarnation: Option<Incarnation>,
    /// The position to resume at.
    pub resume_position: u64,
    /// The rank, which decides who waits for whom.
    pub rank: Rank,
    /// The engine from which blocks can be fetched.
    pub import_from: Option<SocketAddr>,
}

impl RequestTerms {
    /// Reads the headers of a request.
    pub fn new(request: &Request) -> Self {
        let text = |name| Reply::header(request, name);
        let number = |name| text(name).and_then(|v| v.parse::<u64>().ok());
        let salt = text(header::SALT).and_then(|v| v.parse().ok());
        Self {
            attempt_id: text(header::ATTEMPT).unwrap_or("").to_owned(),
            salt: Salt::from_number(salt.unwrap_or(0)),
            weights: WeightsVersion::new(number(header::WEIGHTS).unwrap_or(0)),
            incarnation: number(header::INCARNATION).map(Incarnation::new),
            resume_position: number(header::RESUME).unwrap_or(0),
            rank: text(header::RANK)
                .and_then(Rank::parse)
                .unwrap_or(Rank::Drafting),
            import_from: text(header::IMPORT).and_then(|v| v.parse().ok()),
        }
    }
}
