//! The names of the headers that azureway reads and writes, in lower case.

/// The caller's API key, as `Bearer KEY`.
pub const AUTHORIZATION: &str = "authorization";
/// The key by which the caller marks repeated sends of one request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The client account, in requests to backend servers; it scopes idempotency keys.
pub const ACCOUNT: &str = "azureway-account";
/// The rank of a request: `urgent` or `drafting`.
pub const RANK: &str = "azureway-rank";
/// The time to first token that the caller accepts at most, in milliseconds.
pub const DEADLINE: &str = "azureway-deadline-ms";
/// The worth of an answer that meets its deadline.
pub const WORTH: &str = "azureway-worth";
/// Whether the request may run more than once: `repeatable` or `at-most-once`.
pub const KIND: &str = "azureway-kind";
/// The identifier of the request, in responses.
pub const REQUEST_ID: &str = "azureway-request-id";
/// The identifier of an attempt at a request, in requests to backend servers.
pub const ATTEMPT: &str = "azureway-attempt";
/// The salt of the cache blocks that the server may use, as a decimal number.
pub const SALT: &str = "azureway-cache-salt";
/// The incarnation that the server must have to run the request.
pub const INCARNATION: &str = "azureway-incarnation";
/// The incarnation of the server that leaves, in answers of model engines.
pub const LEAVING: &str = "azureway-leaving";
/// The weights version that the server must have loaded to run the request.
pub const WEIGHTS: &str = "azureway-weights";
/// The stream position from which the server resumes.
pub const RESUME: &str = "azureway-resume";
/// The address of an engine from which the server can fetch cache blocks.
pub const IMPORT: &str = "azureway-import";
/// The time for which a backend server wants nothing from the entry whose request it rejects with
/// status 503, in whole milliseconds.
pub const PAUSE: &str = "azureway-pause-ms";
