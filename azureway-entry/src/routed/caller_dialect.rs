//! How a site's callers spell their calls.

use super::CallMetadata;
use crate::caller::Head;

/// How a site's callers spell what the decisions need to know of a call.
pub trait CallerDialect: Clone + Send + 'static {
    /// Reads what a call says beside its body.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the call.
    fn read<'a>(&self, head: &'a Head) -> Result<CallMetadata<'a>, &'static str>;

    /// Tells whether backend servers must not get a header, given by its lower-case name, as
    /// the caller sent it.
    fn is_withheld(&self, name: &str) -> bool;
}
