//! The platform's object API.

mod object_body;
mod object_list;

pub use object_body::ObjectBody;
pub use object_list::ObjectList;
