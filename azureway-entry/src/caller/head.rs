//! Parsing of HTTP request heads.

use super::BadInput;

/// A request head: the method, the path and the headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The method.
    pub method: Box<str>,
    /// The path with the query.
    pub path: Box<str>,
    headers: Vec<(Box<str>, Box<str>)>,
}

/// The largest number of headers that a request may have.
const MAX_HEADERS: usize = 64;

impl Head {
    /// Parses a head at the start of `bytes`. Returns it with its length in bytes, or `None` if it
    /// is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an HTTP/1.1 request head, or if it has too many
    /// headers.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, BadInput> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(|e| match e {
            httparse::Error::TooManyHeaders => BadInput::HeadTooLarge,
            _ => BadInput::BadHead,
        })?;
        let httparse::Status::Complete(length) = status else {
            return Ok(None);
        };
        let method = request.method.ok_or(BadInput::BadHead)?;
        let path = request.path.ok_or(BadInput::BadHead)?;
        let headers = request
            .headers
            .iter()
            .map(owned_header)
            .collect::<Result<_, _>>()?;
        Ok(Some((
            Self {
                method: method.into(),
                path: path.into(),
                headers,
            },
            length,
        )))
    }

    /// Returns the first value of the header `name`, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = self.headers.iter().find(|(n, _)| n.as_ref() == name);
        named.map(|(_, value)| value.as_ref())
    }

    /// Returns the headers in order, with names in lower case.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(n, v)| (n.as_ref(), v.as_ref()))
    }

    /// Returns every value of the header `name`, which must be in lower case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.headers.iter().filter(move |(n, _)| n.as_ref() == name);
        named.map(|(_, value)| value.as_ref())
    }
}

fn owned_header(header: &httparse::Header<'_>) -> Result<(Box<str>, Box<str>), BadInput> {
    let value = std::str::from_utf8(header.value).map_err(|_| BadInput::BadHead)?;
    Ok((header.name.to_ascii_lowercase().into(), value.trim().into()))
}
