//! What a stand-in does with a request.

use tiny_http::Request;

/// What a stand-in does with a request.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers the request. Runs on a thread of its own.
    fn handle(&self, request: Request);
}
