//! Reading routed calls.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_core::site::ANONYMOUS;

use super::{CallMetadata, CallerDialect};
use crate::admit::{Call, Passthrough, ReadCall, UpstreamRequest};

/// Reads calls that are routed by host and path.
#[derive(Clone, Debug)]
pub struct RoutedCallReader<D> {
    dialect: D,
}

/// How many times its target a backend server may take before another one is asked.
const PATIENCE: u32 = 4;
/// The shortest time after which a silent backend server is given up: a few times the answer
/// of a service that works for tens of milliseconds.
const PATIENCE_MIN: Duration = Duration::from_millis(500);
/// The longest time after which a silent backend server is given up where nothing says that it
/// is busy: callers abandon a silent stream after two seconds and more.
const PATIENCE_MAX: Duration = Duration::from_millis(2_500);
/// The headers that concern one connection only.
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
    /// Creates a reader of calls in a site's spelling.
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
        let none = || {
            Refusal::not_run(
                RefusalReason::NoServer,
                "no service stands behind the route",
            )
        };
        let service = service.ok_or_else(none)?;
        let owner = if account.isolated {
            account.id.as_str()
        } else {
            ANONYMOUS
        };
        let salt = Salt::new(&AccountId::new(owner), &service.id, WeightsVersion::ZERO);
        let target = format!("{} {}", call.head.method, call.head.path);
        let wait = metadata
            .timeout
            .map_or(route.timeout, |w| w.min(route.timeout));
        let rank = account.priority.map_or(route.rank, |(rank, _)| rank);
        Ok(Request {
            id: call.id,
            account: account.id.clone(),
            service: service.id.clone(),
            rank,
            kind: route.kind,
            worth: Worth::new(1),
            deadline: Deadline::new(call.arrived + wait),
            arrived: call.arrived,
            weights: service.weights,
            chain: chain(salt, metadata),
            max_output: metadata.max_output,
            idempotency_key: None,
            fingerprint: Fingerprint::of(account.id.as_str(), &target, &call.body),
            max_attempts: Some(route.max_attempts),
        })
    }

    fn upstream(
        &self,
        route: &Route,
        account: &ClientAccount,
        request: &Request,
        attempt: Option<Box<str>>,
        kind: ServiceKind,
        call: &mut Call,
    ) -> UpstreamRequest {
        let patience = (route.target_latency * PATIENCE).clamp(PATIENCE_MIN, PATIENCE_MAX);
        let passthrough = Passthrough {
            attempt_id: attempt,
            once: route.kind == RequestKind::AtMostOnce,
            headers: self.headers(call),
            priority: route.precedence(account),
            deadline: request.deadline.timestamp(),
            read_timeout: patience,
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
            passthrough: Some(passthrough),
        }
    }

    /// Returns the headers that are passed on.
    fn headers(&self, call: &Call) -> Vec<(Box<str>, Box<str>)> {
        let named = call.head.get_all("connection").flat_map(|v| v.split(','));
        let named: Vec<_> = named.map(|n| n.trim().to_ascii_lowercase()).collect();
        let passed = |name: &str| {
            !HOP_BY_HOP.contains(&name)
                && !named.iter().any(|n| n == name)
                && !self.dialect.is_withheld(name)
        };
        let headers = call.head.iter().filter(|(name, _)| passed(name));
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
            prompt = request.chain.tokens().get(), fleet:% = fleet.version;
            "admitted"
        );
        let plain = fleet.is_plain(&request.service);
        let kind = if plain {
            ServiceKind::Plain
        } else {
            ServiceKind::Model
        };
        let attempt = metadata.attempt_id.map(Into::into);
        drop(metadata);
        let upstream = self.upstream(route, account, &request, attempt, kind, call);
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

/// Returns the client account that makes a call.
fn account<'a>(
    fleet: &'a Fleet,
    route: &Route,
    metadata: &CallMetadata<'_>,
) -> Result<&'a ClientAccount, Refusal> {
    let known = metadata
        .api_key
        .and_then(|k| fleet.account_of(&KeyHash::of(k)));
    // The one account that every fleet has stands for callers without a key.
    let open = route.public || fleet.accounts.len() == 1;
    let anonymous = fleet.accounts.get(ANONYMOUS).filter(|_| open);
    let refusal = || Refusal::not_run(RefusalReason::Unauthorized, "the API key is not known");
    known.or(anonymous).ok_or_else(refusal)
}

/// Derives the blocks of a prompt from its parts. Servers tell of each part by itself, so keys
/// do not chain; a part counts only where all before it are held. The last part is the request's own, so the
/// parts before it place the request.
fn chain(salt: Salt, metadata: &CallMetadata<'_>) -> BlockChain {
    let blocks = metadata.parts.iter().map(|part| Block {
        key: BlockKey::first(salt, part.id.as_bytes()),
        tokens: part.tokens,
    });
    let blocks: Vec<_> = blocks.collect();
    let placing = blocks.len().saturating_sub(1);
    BlockChain::from_blocks(salt, blocks, placing)
}

fn malformed(detail: &'static str) -> Refusal {
    Refusal::not_run(RefusalReason::Malformed, detail)
}
