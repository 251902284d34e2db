//! Sending the request of an attempt and receiving the response head.

use std::fmt::Write as _;
use std::io;

use azureway_wire::header;

use super::{AttemptError, RelayAttempt, log_invalid_head};
use crate::exchange::{AnswerHead, BackendConnection};

impl RelayAttempt {
    /// Sends the request on a new connection. Returns the connection with the response head.
    pub(super) fn send_request(&self) -> Result<(BackendConnection, AnswerHead), AttemptError> {
        let (address, limit) = (self.dispatch.address, self.bounds.event_timeout);
        let connection = BackendConnection::open(address, self.bounds.connect_timeout);
        let mut connection = connection.map_err(|e| AttemptError::from_connect(&e))?;
        let failed = |e| AttemptError::from_read(&e);
        connection.set_read_timeout(limit).map_err(failed)?;
        let sent = connection.send_parts(self.encode_head(), &self.upstream.body, limit);
        sent.map_err(failed)?;
        let head = connection.read_head();
        let head = head.map_err(|e| self.invalid_head(&e))?;
        Ok((connection, head))
    }

    /// Logs a response head that is not valid, and returns the error that it stands for.
    pub(super) fn invalid_head(&self, error: &io::Error) -> AttemptError {
        log_invalid_head(&self.dispatch, error);
        AttemptError::from_head(error)
    }

    /// Returns the bytes of the request's head.
    fn encode_head(&self) -> Vec<u8> {
        let (upstream, dispatch) = (&self.upstream, &self.dispatch);
        let mut head = format!("{} {} HTTP/1.1\r\n", upstream.method, upstream.path);
        // Writing to a string does not fail.
        let _ = write!(
            head,
            "host: {}\r\nconnection: close\r\ncontent-type: {}\r\ncontent-length: {}\r\n",
            dispatch.address,
            upstream.content_type,
            upstream.body.len()
        );
        let _ = write!(head, "{}: {}\r\n", header::ATTEMPT, dispatch.attempt);
        let _ = write!(head, "{}: {}\r\n", header::RANK, dispatch.rank.as_str());
        let _ = write!(head, "{}: {}\r\n", header::SALT, dispatch.salt.number());
        let _ = write!(head, "{}: {}\r\n", header::WEIGHTS, dispatch.weights);
        let _ = write!(head, "{}: {}\r\n", header::RESUME, dispatch.position);
        if let Some(incarnation) = dispatch.incarnation {
            let _ = write!(head, "{}: {incarnation}\r\n", header::INCARNATION);
        }
        if is_header_text(upstream.account.as_str()) {
            let _ = write!(head, "{}: {}\r\n", header::ACCOUNT, upstream.account);
        }
        if let Some(key) = &upstream.idempotency_key {
            let _ = write!(head, "{}: {key}\r\n", header::IDEMPOTENCY_KEY);
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

/// Returns whether a name can be sent in a header. The header is left out for other names.
fn is_header_text(name: &str) -> bool {
    name.bytes().all(|b| (b' '..=b'~').contains(&b))
}
