//! A path with its query.

/// A path with its query, borrowed from a request's URL.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The path.
    pub path: &'a str,
    pairs: &'a str,
}

impl<'a> Query<'a> {
    /// Splits a URL.
    pub fn new(url: &'a str) -> Self {
        let (path, pairs) = url.split_once('?').unwrap_or((url, ""));
        Self { path, pairs }
    }

    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        let pairs = self.pairs.split('&').filter_map(|p| p.split_once('='));
        pairs
            .into_iter()
            .find(|(k, _)| *k == key)
            .map(|(_, value)| value)
    }

    /// Returns the number of a key, or zero.
    pub fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|v| v.parse().ok()).unwrap_or(0)
    }
}
