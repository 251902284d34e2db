//! The definitions by which a site is served: the protocols of its callers, servers and platform.

use crate::exchange::BackendDialect;
use crate::routed::CallerDialect;
use crate::site::SiteCodec;

/// The protocols of a site's callers, backend servers and platform.
pub trait Site: CallerDialect + BackendDialect + SiteCodec {}

impl<S: CallerDialect + BackendDialect + SiteCodec> Site for S {}
