//! Reads request headers and writes answers that are not streamed.

use azureway_core::prelude::Incarnation;
use azureway_wire::header;
use serde::Serialize;
use tiny_http::{Header, Request, Response};

/// Reads headers and writes answers that are not streamed.
#[derive(Clone, Copy, Debug)]
pub struct Reply;

impl Reply {
    /// Answers with a value as JSON.
    pub fn json(request: Request, status: u16, value: &impl Serialize) {
        Self::json_with_header(request, status, value, None);
    }

    /// Answers with a value as JSON and with one more header.
    pub fn json_with_header(
        request: Request,
        status: u16,
        value: &impl Serialize,
        header: Option<Header>,
    ) {
        let body = serde_json::to_string(value).unwrap_or_default();
        let content_type = Header::from_bytes("content-type", "application/json");
        let response = Response::from_string(body).with_status_code(status);
        let headers = content_type.into_iter().chain(header);
        // A caller that has disconnected needs no answer.
        let _ = request.respond(headers.fold(response, Response::with_header));
    }

    /// Answers with a plain text.
    pub fn text(request: Request, status: u16, text: &str) {
        Self::text_with_header(request, status, text, None);
    }

    /// Rejects a request and asks for a pause with the text `pause`.
    pub fn pause(request: Request, pause: &str) {
        let header = Header::from_bytes(header::PAUSE, pause).ok();
        Self::text_with_header(request, 503, "the engine wants a pause", header);
    }

    /// Answers with a plain text, and states which incarnation of the server leaves, if one does.
    pub fn rejection(request: Request, status: u16, text: &str, leaving: Option<Incarnation>) {
        let leaving = leaving.map(|i| Header::from_bytes(header::LEAVING, i.to_string()));
        Self::text_with_header(request, status, text, leaving.and_then(Result::ok));
    }

    fn text_with_header(request: Request, status: u16, text: &str, header: Option<Header>) {
        let response = Response::from_string(text).with_status_code(status);
        let _ = request.respond(header.into_iter().fold(response, Response::with_header));
    }

    /// Returns the value of the header `name`, in any case of letters.
    pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
        let header = request
            .headers()
            .iter()
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
        header.map(|h| h.value.as_str())
    }
}
