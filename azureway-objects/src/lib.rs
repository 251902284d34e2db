//! The client side of the platform's object API.
//!
//! [`ObjectApi`] is the interface and [`HttpObjects`] its implementation over HTTP. A test
//! implements the interface by a small fake. An answer can be lost after a write took
//! effect: an error of [`ObjectApi::put`] with the kind
//! [`Unavailable`](azureway_core::prelude::ErrorKind::Unavailable) says nothing of whether
//! the object was written.

mod call_counter;
mod http_objects;
mod object_api;
mod put;

pub use call_counter::CallCounter;
pub use http_objects::HttpObjects;
pub use object_api::ObjectApi;
pub use put::Put;
