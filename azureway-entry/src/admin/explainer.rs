//! Explanations of routing decisions for operators, without running a request.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::{AccountId, Rank};
use azureway_wire::admin::ExplainBody;
use azureway_wire::header;

use super::{AdminError, AdminHandles};
use crate::admit::{AdmitMessage, Call, ExplainCall};
use crate::caller::Head;

/// Queries the duties for the server to which a request would be routed, and why.
#[derive(Debug)]
pub struct Explainer<'a> {
    handles: &'a AdminHandles,
    timeout: Duration,
}

impl<'a> Explainer<'a> {
    /// Creates an explainer that waits up to `timeout` for each reply of a duty.
    pub const fn new(handles: &'a AdminHandles, timeout: Duration) -> Self {
        Self { handles, timeout }
    }

    /// Explains the routing of the chat request `body` of an account at a rank.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is malformed or the duties do not reply in time.
    pub fn explain(
        &self,
        account: &str,
        rank: Rank,
        body: Vec<u8>,
    ) -> Result<ExplainBody, AdminError> {
        let (reply, answer) = flume::bounded(1);
        let call = ExplainCall {
            account: AccountId::new(account),
            call: self.call(rank, body)?,
            reply,
        };
        let message = AdmitMessage::Explain(Box::new(call));
        let sent = self.handles.admit.send_timeout(message, self.timeout);
        sent.map_err(|_| AdminError::Timeout)?;
        let answer = answer.recv_timeout(self.timeout);
        let answer = answer.map_err(|_| AdminError::Timeout)?;
        let (request, options) = answer.map_err(|r| AdminError::Invalid(r.detail))?;
        Ok(ExplainBody {
            service: request.service.as_str().into(),
            account: request.account.as_str().into(),
            rank: request.rank.as_str().into(),
            prompt: request.prompt.tokens().get(),
            options: options.iter().map(Into::into).collect(),
        })
    }

    /// Returns the call that a caller would make with this body.
    fn call(&self, rank: Rank, body: Vec<u8>) -> Result<Call, AdminError> {
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\n{}: {rank}\r\n\r\n",
            header::RANK
        );
        let head = Head::parse(head.as_bytes()).ok().flatten();
        let (head, _) = head.ok_or_else(|| AdminError::Invalid("no head".into()))?;
        // The call is only explained, so it never gets updates.
        let (updates, _) = flume::bounded(1);
        Ok(Call {
            id: self.handles.ids.next(),
            head,
            body,
            arrived: self.handles.clock.now(),
            updates,
            link: Arc::default(),
        })
    }
}
