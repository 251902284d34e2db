//! The part of admission that differs between interfaces: reading calls into requests.

use azureway_core::prelude::{AccountId, Fleet, Refusal, Request};

use super::{Call, UpstreamRequest};

/// Reads calls of one interface against the configuration in effect.
pub trait ReadCall {
    /// Returns the request, and the bytes to send to a backend server. May take the body out of
    /// `call`.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose detail says what is wrong with the call.
    fn read(&self, fleet: &Fleet, call: &mut Call) -> Result<(Request, UpstreamRequest), Refusal>;

    /// Returns the request as `account` would make it, for an operator's explain query.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose detail says what is wrong with the call.
    fn read_as(
        &self,
        fleet: &Fleet,
        account: &AccountId,
        call: &mut Call,
    ) -> Result<Request, Refusal>;
}
