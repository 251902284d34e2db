//! The part of the routed interface in which sites differ: the headers of their callers.

use super::CallMetadata;
use crate::caller::Head;

/// The site's own headers by which callers state what the router needs to know of a call.
pub trait CallerDialect: Clone + Send + 'static {
    /// Reads the metadata of a call.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if a header is malformed.
    fn read<'a>(&self, head: &'a Head) -> Result<CallMetadata<'a>, &'static str>;

    /// Returns whether a caller's header, given by its lower-case name, must not be forwarded to
    /// backend servers.
    fn is_withheld(&self, name: &str) -> bool;
}
