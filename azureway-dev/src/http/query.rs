//! Reads the path and query of a request's URL.

/// The path and query of a request's URL.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The path.
    pub path: &'a str,
    pairs: &'a str,
}

impl<'a> Query<'a> {
    /// Splits a URL into path and query.
    pub fn new(url: &'a str) -> Self {
        let (path, pairs) = url.split_once('?').unwrap_or((url, ""));
        Self { path, pairs }
    }

    /// Returns the value of `key`, not percent-decoded.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let pairs = self.pairs.split('&').filter_map(|p| p.split_once('='));
        pairs
            .into_iter()
            .find(|(k, _)| *k == key)
            .map(|(_, value)| value)
    }

    /// Returns the value of `key` as a number, or 0 if it is missing or invalid.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}
