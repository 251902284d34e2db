//! Admission of calls in the product's own interface, as opposed to calls on a site's routes.

use azureway_core::prelude::{AccountId, Fleet, Refusal, RefusalReason, Request};

use super::{Call, CallReader, ReadCall, UpstreamRequest};

/// Reads calls of the chat-completions interface and of plain services.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChatCalls;

impl ReadCall for ChatCalls {
    fn read(&self, fleet: &Fleet, call: &mut Call) -> Result<(Request, UpstreamRequest), Refusal> {
        CallReader::new(fleet, call).read(call.id)
    }

    fn read_as(
        &self,
        fleet: &Fleet,
        account: &AccountId,
        call: &mut Call,
    ) -> Result<Request, Refusal> {
        let found = fleet.accounts.get(account);
        let detail = "no client account of this name";
        let refusal = || Refusal::not_run(RefusalReason::Unauthorized, detail);
        let reader = CallReader::new(fleet, call);
        let (request, _) = reader.read_as(found.ok_or_else(refusal)?, call.id)?;
        Ok(request)
    }
}
