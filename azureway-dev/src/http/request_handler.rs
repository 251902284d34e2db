//! The trait by which the HTTP server passes requests to a simulated service.

use tiny_http::Request;

/// Handles the requests to a simulated service.
pub trait RequestHandler: Send + Sync + 'static {
    /// Answers the request. Runs on a thread of its own.
    fn handle(&self, request: Request);
}
