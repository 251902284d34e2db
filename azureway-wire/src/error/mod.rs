//! The one shape of errors that callers see.

mod error_body;
mod error_detail;
mod status;

pub use error_body::ErrorBody;
pub use error_detail::ErrorDetail;
pub use status::status_of;
