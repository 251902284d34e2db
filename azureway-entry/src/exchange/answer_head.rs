//! Parsing of the response heads of backend servers.

/// The response status and headers of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: Box<str>,
    /// The headers in the order received, with the case of their names kept.
    pub headers: Vec<(Box<str>, Box<str>)>,
}

/// The largest number of response headers.
const MAX_HEADERS: usize = 64;

impl AnswerHead {
    /// Parses a response head from the start of `bytes`. Returns it with its length in bytes, or
    /// `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an HTTP/1.1 response head with a valid status.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, httparse::Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(length) = answer.parse(bytes)? else {
            return Ok(None);
        };
        if !has_uniform_lines(&bytes[..length]) {
            return Err(httparse::Error::NewLine);
        }
        let owned = |h: &httparse::Header<'_>| {
            let value = std::str::from_utf8(h.value).map_err(|_| httparse::Error::HeaderValue)?;
            Ok((h.name.into(), value.into()))
        };
        let headers: Result<_, httparse::Error> = answer.headers.iter().map(owned).collect();
        // No request asks for another protocol, so 101 is not an answer to one.
        let status = answer.code.filter(|s| matches!(s, 100 | 102..=599));
        let head = Self {
            status: status.ok_or(httparse::Error::Status)?,
            reason: answer.reason.unwrap_or_default().into(),
            headers: headers?,
        };
        Ok(Some((head, length)))
    }

    /// Returns the first value of a header, ignoring the case of its name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.get_all(name).next()
    }

    /// Returns the values of all headers with a name, ignoring its case.
    pub fn get_all<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a str> {
        let named = move |(n, _): &&(Box<str>, Box<str>)| n.eq_ignore_ascii_case(name);
        self.headers.iter().filter(named).map(|(_, v)| v.as_ref())
    }

    /// Returns whether the status is a success (2xx).
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns whether the body is a stream of server-sent events.
    pub fn is_event_stream(&self) -> bool {
        let media = self.get("content-type").unwrap_or_default();
        media.starts_with("text/event-stream")
    }

    /// Returns whether the server closes the connection after the answer.
    pub fn closes_connection(&self) -> bool {
        let connection = self.get("connection").unwrap_or_default();
        connection.eq_ignore_ascii_case("close")
    }
}

/// Returns whether the lines of a head all end in CRLF or all in LF. The parser accepts both, also in one
/// head, where a damaged line could end the head early and turn the fields after it into a body.
fn has_uniform_lines(head: &[u8]) -> bool {
    let lines = || head.split_inclusive(|b| *b == b'\n');
    let crlf = lines().filter(|l| l.ends_with(b"\r\n")).count();
    crlf == 0 || crlf == lines().count()
}
