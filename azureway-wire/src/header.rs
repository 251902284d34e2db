//! The names of the headers that azureway reads and writes, in lower case.

/// The caller's API key, as `Bearer KEY`.
pub const AUTHORIZATION: &str = "authorization";
/// The caller's mark of a request that may be sent again.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The client account, on requests to backend servers; idempotency keys are unique within it.
pub const ACCOUNT: &str = "azureway-account";
/// The rank: `urgent` or `drafting`.
pub const RANK: &str = "azureway-rank";
/// The time to first token that the caller waits for, in milliseconds.
pub const DEADLINE: &str = "azureway-deadline-ms";
/// The worth of an answer in time.
pub const WORTH: &str = "azureway-worth";
/// Whether the request may run more than once: `repeatable` or `at-most-once`.
pub const KIND: &str = "azureway-kind";
/// The identity of a request, on answers.
pub const REQUEST_ID: &str = "azureway-request-id";
/// The try of a request, on requests to backend servers.
pub const ATTEMPT: &str = "azureway-attempt";
/// The salt of the blocks that the server may use, as a decimal number.
pub const SALT: &str = "azureway-cache-salt";
/// The incarnation that the server must have.
pub const INCARNATION: &str = "azureway-incarnation";
/// The weights version that the server must have loaded.
pub const WEIGHTS: &str = "azureway-weights";
/// The position at which the server resumes the stream.
pub const RESUME: &str = "azureway-resume";
/// The address of an engine from which the server can fetch blocks.
pub const IMPORT: &str = "azureway-import";
