//! Reads the headers that the entry sets on requests to engines.

use std::net::SocketAddr;

use azureway_core::prelude::{Incarnation, Rank, Salt, WeightsVersion};
use azureway_wire::header;
use tiny_http::Request;

use crate::http::Reply;

/// The values that the headers of a request to an engine carry.
#[derive(Clone, Debug)]
pub struct RequestMetadata {
    /// The ID of the attempt.
    pub attempt_id: String,
    /// The salt of the block keys that the request may use.
    pub salt: Salt,
    /// The weights version that the engine must have loaded.
    pub weights: WeightsVersion,
    /// The incarnation that the engine must have.
    pub incarnation: Option<Incarnation>,
    /// The position of the first event to send.
    pub resume_position: u64,
    /// The rank, which orders the queue.
    pub rank: Rank,
    /// The engine to import blocks from.
    pub import_from: Option<SocketAddr>,
}

impl RequestMetadata {
    /// Reads the headers of a request. Missing or invalid values get a default.
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
