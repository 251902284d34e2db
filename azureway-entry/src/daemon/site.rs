//! What varies between sites.

use crate::exchange::BackendDialect;
use crate::routed::CallerDialect;
use crate::site::SiteCodec;

/// How a site's callers, backend servers and platform spell what they say.
pub trait Site: CallerDialect + BackendDialect + SiteCodec {}

impl<S: CallerDialect + BackendDialect + SiteCodec> Site for S {}
