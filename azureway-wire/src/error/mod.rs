//! The error responses that callers get, all of one format.

mod error_body;
mod error_detail;
mod reason_phrase;
mod status;

pub use error_body::ErrorBody;
pub use error_detail::ErrorDetail;
pub use reason_phrase::reason_phrase;
pub use status::status_of;
