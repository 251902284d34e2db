//! The way from a call to a request.

use azureway_core::prelude::{AccountId, Fleet, Refusal, Request};

use super::{Call, UpstreamRequest};

/// Reads calls of one interface against the configuration in force.
pub trait ReadCall {
    /// Returns the request, and what a relay carries of it, which takes the body along.
    ///
    /// # Errors
    ///
    /// Returns a refusal that tells the caller what is wrong with the call.
    fn read(&self, fleet: &Fleet, call: &mut Call) -> Result<(Request, UpstreamRequest), Refusal>;

    /// Returns the request as `account` would make it, for an operator who asks.
    ///
    /// # Errors
    ///
    /// Returns a refusal that tells the operator what is wrong with the call.
    fn read_as(
        &self,
        fleet: &Fleet,
        account: &AccountId,
        call: &mut Call,
    ) -> Result<Request, Refusal>;
}
