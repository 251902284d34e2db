//! Admission of routed calls: authentication, choice of the service and prompt blocks.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_core::site::ANONYMOUS;

use super::{CallMetadata, CallerDialect};
use crate::admit::{Call, Passthrough, ReadCall, UpstreamRequest};

/// Turns calls that are routed by host and path into requests.
#[derive(Clone, Debug)]
pub struct RoutedCallReader<D> {
    dialect: D,
}

/// The read timeout of a backend server as a multiple of the route's target latency.
const READ_TIMEOUT_FACTOR: u32 = 4;
/// The shortest read timeout of a backend server: several times the latency of a service that
/// answers within tens of milliseconds.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest read timeout of a backend server that is not known to be busy: callers abandon a
/// silent stream after two seconds or more.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The hop-by-hop headers of a request, in lower case, which are not forwarded.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl<D: CallerDialect> RoutedCallReader<D> {
    /// Creates a reader of calls whose site headers `dialect` reads.
    pub const fn new(dialect: D) -> Self {
        Self { dialect }
    }

    fn route<'a>(&self, fleet: &'a Fleet, call: &Call) -> Result<&'a Route, Refusal> {
        let host = call.head.get("host").unwrap_or_default();
        let path = call.head.path.split('?').next().unwrap_or_default();
        let refusal =
            || Refusal::not_run(RefusalReason::UnknownService, "no route takes this path");
        fleet.routes.find(host, path).ok_or_else(refusal)
    }

    fn request(
        &self,
        route: &Route,
        fleet: &Fleet,
        account: &ClientAccount,
        call: &Call,
        metadata: &CallMetadata<'_>,
    ) -> Result<Request, Refusal> {
        let service = route.choose_service(call.id.seed());
        let service = service.and_then(|id| fleet.services.get(id));
        let no_service = || {
            Refusal::not_run(
                RefusalReason::NoServer,
                "no service stands behind the route",
            )
        };
        let service = service.ok_or_else(no_service)?;
        let salt = fleet.shared_salt(&account.id, &service.id);
        let target = format!("{} {}", call.head.method, call.head.path);
        let timeout = metadata
            .timeout
            .map_or(route.timeout, |t| t.min(route.timeout));
        let rank = fleet.rank_of(route, account);
        Ok(Request {
            id: call.id,
            account: account.id.clone(),
            service: service.id.clone(),
            rank,
            kind: route.kind,
            worth: Worth::new(1),
            deadline: Deadline::new(call.arrived + timeout),
            arrived: call.arrived,
            weights: service.weights,
            prompt: prompt_blocks(salt, metadata),
            max_output: metadata.max_output,
            usage: metadata.usage,
            idempotency_key: None,
            fingerprint: Fingerprint::of(account.id.as_str(), &target, &call.body),
            max_attempts: Some(route.max_attempts),
            time_limit: Some(call.arrived + route.timeout),
        })
    }

    fn upstream(
        &self,
        route: &Route,
        account: &ClientAccount,
        request: &Request,
        attempt_id: Option<Box<str>>,
        kind: ServiceKind,
        call: &mut Call,
    ) -> UpstreamRequest {
        let read_timeout = route.target_latency.saturating_mul(READ_TIMEOUT_FACTOR);
        let read_timeout = read_timeout.clamp(MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
        let passthrough = Passthrough {
            attempt_id,
            once: route.kind == RequestKind::AtMostOnce,
            headers: self.headers(call),
            priority: route.precedence(account),
            deadline: request.deadline.timestamp(),
            read_timeout,
            max_attempts: match route.kind {
                RequestKind::Repeatable => route.max_attempts,
                RequestKind::AtMostOnce => 1,
            },
        };
        UpstreamRequest {
            kind,
            streamed: route.streamed,
            method: call.head.method.clone(),
            path: call.head.path.clone(),
            content_type: "".into(),
            account: account.id.clone(),
            idempotency_key: None,
            body: Arc::from(std::mem::take(&mut call.body)),
            link: Arc::clone(&call.link),
            passthrough: Some(passthrough),
        }
    }

    /// Returns the headers that are forwarded.
    fn headers(&self, call: &Call) -> Vec<(Box<str>, Box<str>)> {
        let listed = call.head.get_all("connection").flat_map(|v| v.split(','));
        let listed: Vec<_> = listed.map(|n| n.trim().to_ascii_lowercase()).collect();
        let forwarded = |name: &str| {
            !HOP_BY_HOP.contains(&name)
                && !listed.iter().any(|n| n == name)
                && !self.dialect.is_withheld(name)
        };
        let headers = call.head.iter().filter(|(name, _)| forwarded(name));
        headers.map(|(n, v)| (n.into(), v.into())).collect()
    }
}

impl<D: CallerDialect> ReadCall for RoutedCallReader<D> {
    fn read(&self, fleet: &Fleet, call: &mut Call) -> Result<(Request, UpstreamRequest), Refusal> {
        let route = self.route(fleet, call)?;
        let metadata = self.dialect.read(&call.head).map_err(malformed)?;
        let account = account(fleet, route, &metadata)?;
        let request = self.request(route, fleet, account, call, &metadata)?;
        log::info!(
            request:% = call.id, step = "admit", caller = metadata.attempt_id.unwrap_or_default(),
            route:% = route.id, service:% = request.service, account:% = account.id,
            rank:% = request.rank, precedence = route.precedence(account),
            prompt = request.prompt.tokens().get(), parts:? = metadata.shared_part_ids(),
            fingerprint:% = request.fingerprint, wait:? = metadata.timeout,
            limit:? = route.timeout, fleet:% = fleet.version;
            "admitted"
        );
        let plain = fleet.is_plain(&request.service);
        let kind = if plain {
            ServiceKind::Plain
        } else {
            ServiceKind::Model
        };
        let attempt_id = metadata.attempt_id.map(Into::into);
        drop(metadata);
        let upstream = self.upstream(route, account, &request, attempt_id, kind, call);
        Ok((request, upstream))
    }

    fn read_as(
        &self,
        fleet: &Fleet,
        account: &AccountId,
        call: &mut Call,
    ) -> Result<Request, Refusal> {
        let route = self.route(fleet, call)?;
        let metadata = self.dialect.read(&call.head).map_err(malformed)?;
        let unknown = || Refusal::not_run(RefusalReason::Unauthorized, "no such client account");
        let account = fleet.accounts.get(account).ok_or_else(unknown)?;
        self.request(route, fleet, account, call, &metadata)
    }
}

/// Returns the client account of a call.
fn account<'a>(
    fleet: &'a Fleet,
    route: &Route,
    metadata: &CallMetadata<'_>,
) -> Result<&'a ClientAccount, Refusal> {
    let known = metadata
        .api_key
        .and_then(|k| fleet.account_of(&KeyHash::of(k)));
    // Every fleet has the anonymous account. Callers without a key use it on public routes, and on
    // all routes if there is no other account.
    let anonymous_allowed = route.public || fleet.accounts.len() == 1;
    let anonymous = fleet.accounts.get(ANONYMOUS).filter(|_| anonymous_allowed);
    let refusal = || Refusal::not_run(RefusalReason::Unauthorized, "the API key is not known");
    known.or(anonymous).ok_or_else(refusal)
}

/// Returns the blocks of a prompt, one for each part. Servers report each cached part separately,
/// so the key of a block does not depend on the blocks before it; a cached part is usable only if
/// all parts before it are cached. The last part is specific to the request, so only the parts
/// before it determine the prefix by which a backend server is chosen.
fn prompt_blocks(salt: Salt, metadata: &CallMetadata<'_>) -> PromptBlocks {
    let blocks = metadata.parts.iter().map(|part| Block {
        key: BlockKey::first(salt, part.id.as_bytes()),
        tokens: part.tokens,
    });
    let blocks: Vec<_> = blocks.collect();
    let prefix_blocks = blocks.len().saturating_sub(1);
    let shared = metadata.shared_part_ids().into_iter();
    PromptBlocks::from_blocks(salt, blocks, prefix_blocks)
        .with_shared_parts(shared.map(|id| PartKey::of(id.as_bytes())))
        .with_shared_salt()
}

fn malformed(detail: &'static str) -> Refusal {
    Refusal::not_run(RefusalReason::Malformed, detail)
}
