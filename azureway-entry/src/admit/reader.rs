//! Authentication and parsing of chat-completions calls and plain-service calls.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::chat::ChatRequest;
use azureway_wire::header;

use super::{Call, UpstreamRequest};

/// Reads one call against the configuration in effect.
#[derive(Debug)]
pub struct CallReader<'a> {
    fleet: &'a Fleet,
    call: &'a Call,
}

/// The path of the chat-completions interface.
const CHAT_PATH: &str = "/v1/chat/completions";
/// The path prefix of plain services, which the name of the service follows.
const PLAIN_PREFIX: &str = "/services/";
/// The number of output tokens that admission charges for a request without `max_tokens`.
const DEFAULT_OUTPUT: TokenCount = TokenCount::new(512);

impl<'a> CallReader<'a> {
    /// Creates a reader of `call`.
    pub const fn new(fleet: &'a Fleet, call: &'a Call) -> Self {
        Self { fleet, call }
    }

    /// Returns the request with ID `id`, and the bytes to send to a backend server.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose detail says what is wrong with the call.
    pub fn read(&self, id: RequestId) -> Result<(Request, UpstreamRequest), Refusal> {
        self.read_as(self.account()?, id)
    }

    /// Returns the request as `account` makes it, without checking the API key.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose detail says what is wrong with the call.
    pub fn read_as(
        &self,
        account: &ClientAccount,
        id: RequestId,
    ) -> Result<(Request, UpstreamRequest), Refusal> {
        match self.call.head.path.as_ref() {
            CHAT_PATH => self.chat(id, account),
            path => match path.strip_prefix(PLAIN_PREFIX) {
                Some(rest) => self.plain(id, account, rest),
                None => Err(Refusal::not_run(
                    RefusalReason::UnknownService,
                    "no such path",
                )),
            },
        }
    }

    fn account(&self) -> Result<&'a ClientAccount, Refusal> {
        let detail = "the Authorization header must be `Bearer` and a known API key";
        let refusal = || Refusal::not_run(RefusalReason::Unauthorized, detail);
        let value = self
            .call
            .head
            .get(header::AUTHORIZATION)
            .ok_or_else(refusal)?;
        let key = value.strip_prefix("Bearer ").ok_or_else(refusal)?;
        self.fleet
            .account_of(&KeyHash::of(key.trim()))
            .ok_or_else(refusal)
    }

    fn chat(
        &self,
        id: RequestId,
        account: &ClientAccount,
    ) -> Result<(Request, UpstreamRequest), Refusal> {
        if self.call.head.method.as_ref() != "POST" {
            return Err(malformed("this path takes POST"));
        }
        let chat: ChatRequest<'_> = serde_json::from_slice(&self.call.body)
            .map_err(|e| malformed(&format!("the body is not a chat-completions request: {e}")))?;
        let service = self.service(&chat.model, ServiceKind::Model)?;
        let salt = Salt::new(&account.id, &service.id, service.weights);
        let output = chat.max_tokens.map_or(DEFAULT_OUTPUT, TokenCount::new);
        let request = self.request(id, account, service, chat.prompt_blocks(salt), output)?;
        let body = if chat.stream {
            Arc::from(self.call.body.as_slice())
        } else {
            streaming_body(&self.call.body)?.into()
        };
        let upstream = self.upstream(&request, ServiceKind::Model, CHAT_PATH, body);
        Ok((request, upstream.with_streamed(chat.stream)))
    }

    fn plain(
        &self,
        id: RequestId,
        account: &ClientAccount,
        rest: &str,
    ) -> Result<(Request, UpstreamRequest), Refusal> {
        let (name, _) = rest.split_once('/').unwrap_or((rest, ""));
        let service = self.service(name, ServiceKind::Plain)?;
        let salt = Salt::new(&account.id, &service.id, service.weights);
        let prompt = PromptBlocks::new(salt, []);
        let request = self.request(id, account, service, prompt, TokenCount::new(1))?;
        let path = format!("/{}", &rest[name.len()..].trim_start_matches('/'));
        let body = Arc::from(self.call.body.as_slice());
        let upstream = self.upstream(&request, ServiceKind::Plain, &path, body);
        Ok((request, upstream))
    }

    fn service(&self, name: &str, kind: ServiceKind) -> Result<&'a ModelService, Refusal> {
        let service = self.fleet.services.get(name).filter(|s| s.kind == kind);
        service.ok_or_else(|| {
            let detail = format!("no service `{name}` is configured for this path");
            Refusal::not_run(RefusalReason::UnknownService, &detail)
        })
    }

    fn request(
        &self,
        id: RequestId,
        account: &ClientAccount,
        service: &ModelService,
        prompt: PromptBlocks,
        output: TokenCount,
    ) -> Result<Request, Refusal> {
        let rank = self.header(header::RANK, "`urgent` or `drafting`", Rank::parse)?;
        let rank = rank.unwrap_or(Rank::Drafting);
        let worth = self.header(header::WORTH, "a whole number", |t| u64::from_str(t).ok())?;
        // The target distinguishes services: the path of a plain call names its service, and so
        // does the body of a chat call.
        let target = format!("{} {}", self.call.head.method, self.call.head.path);
        Ok(Request {
            id,
            account: account.id.clone(),
            service: service.id.clone(),
            rank,
            kind: self.kind(service)?,
            worth: Worth::new(worth.unwrap_or(1)),
            deadline: self.deadline(rank)?,
            arrived: self.call.arrived,
            weights: service.weights,
            prompt,
            max_output: output,
            usage: None,
            idempotency_key: self.header(header::IDEMPOTENCY_KEY, "a non-empty key", |t| {
                (!t.is_empty()).then(|| IdempotencyKey::new(t))
            })?,
            fingerprint: Fingerprint::of(account.id.as_str(), &target, &self.call.body),
            max_attempts: None,
            time_limit: None,
        })
    }

    fn kind(&self, service: &ModelService) -> Result<RequestKind, Refusal> {
        let expected = "`repeatable` or `at-most-once`";
        let requested = self.header(header::KIND, expected, RequestKind::parse)?;
        let is_read = matches!(self.call.head.method.as_ref(), "GET" | "HEAD");
        let configured = if is_read {
            RequestKind::Repeatable
        } else {
            service.request_kind
        };
        // A caller can only make the configured kind stricter.
        let strict = [requested, Some(configured)].contains(&Some(RequestKind::AtMostOnce));
        Ok(if strict {
            RequestKind::AtMostOnce
        } else {
            RequestKind::Repeatable
        })
    }

    fn deadline(&self, rank: Rank) -> Result<Deadline, Refusal> {
        let expected = "a whole number of milliseconds";
        let millis = self.header(header::DEADLINE, expected, |t| i64::from_str(t).ok())?;
        let timeout = match millis.map(u64::try_from) {
            None => self.fleet.rules.default_timeout(rank),
            Some(Ok(millis)) if millis > 0 => Duration::from_millis(millis),
            Some(_) => {
                let detail = "the deadline has passed";
                return Err(Refusal::not_run(RefusalReason::Deadline, detail));
            }
        };
        Ok(Deadline::new(self.call.arrived + timeout))
    }

    fn header<T>(
        &self,
        name: &str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, Refusal> {
        let Some(text) = self.call.head.get(name) else {
            return Ok(None);
        };
        match parse(text.trim()) {
            Some(value) => Ok(Some(value)),
            None => Err(malformed(&format!("header {name}: expected {expected}"))),
        }
    }

    fn upstream(
        &self,
        request: &Request,
        kind: ServiceKind,
        path: &str,
        body: Arc<[u8]>,
    ) -> UpstreamRequest {
        let head = &self.call.head;
        UpstreamRequest {
            kind,
            streamed: false,
            method: head.method.clone(),
            path: path.into(),
            content_type: head
                .get("content-type")
                .unwrap_or("application/json")
                .into(),
            account: request.account.clone(),
            idempotency_key: request.idempotency_key.clone(),
            body,
            link: Arc::clone(&self.call.link),
            passthrough: None,
        }
    }
}

fn malformed(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::Malformed, detail)
}

/// Returns the body changed to request the answer as a stream.
fn streaming_body(body: &[u8]) -> Result<Vec<u8>, Refusal> {
    let mut value: serde_json::Value =
        serde_json::from_slice(body).map_err(|e| malformed(&e.to_string()))?;
    value["stream"] = true.into();
    serde_json::to_vec(&value).map_err(|e| malformed(&e.to_string()))
}
