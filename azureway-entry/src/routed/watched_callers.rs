//! The connections whose callers wait for an answer.

use std::collections::HashMap;
use std::sync::Arc;

use azureway_core::prelude::RequestId;

use crate::caller::CallerLink;

/// The watched connections by their tokens. No token is given out twice, since an event may be handled
/// after the watch of its connection has ended.
#[derive(Debug, Default)]
pub(super) struct WatchedCallers {
    callers: HashMap<usize, (RequestId, Arc<CallerLink>)>,
    last_token: usize,
}

impl WatchedCallers {
    /// Adds the caller of a request, and returns its token.
    pub(super) fn insert(&mut self, id: RequestId, link: Arc<CallerLink>) -> usize {
        self.last_token = self.last_token.wrapping_add(1);
        self.callers.insert(self.last_token, (id, link));
        self.last_token
    }

    /// Returns the request and the link of a caller that is watched.
    pub(super) fn get(&self, token: usize) -> Option<(RequestId, Arc<CallerLink>)> {
        self.callers.get(&token).cloned()
    }

    /// Removes a caller.
    pub(super) fn remove(&mut self, token: usize) {
        self.callers.remove(&token);
    }
}
