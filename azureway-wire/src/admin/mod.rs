//! The paths and bodies of an entry instance's admin interface.

mod count_body;
mod explain_body;
mod option_body;
mod server_body;
mod status_body;

pub use count_body::CountBody;
pub use explain_body::ExplainBody;
pub use option_body::OptionBody;
pub use server_body::ServerBody;
pub use status_body::StatusBody;

/// The path that returns the state of the instance.
pub const STATUS_PATH: &str = "/admin/status";
/// The path that explains a routing decision; the account is given as `?account=NAME`.
pub const EXPLAIN_PATH: &str = "/admin/explain";
/// The path that starts the shutdown of the instance.
pub const DRAIN_PATH: &str = "/admin/drain";
