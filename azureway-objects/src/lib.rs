//! The client side of the platform's object API.
//!
//! [`ObjectApi`] is the interface and [`HttpObjects`] its implementation over HTTP; tests
//! implement the interface with an in-memory fake. An answer can be lost after a write took
//! effect, so after an error of [`ObjectApi::put`] with the kind
//! [`Unavailable`](azureway_core::prelude::ErrorKind::Unavailable) the object may or may not
//! have been written.

mod call_counter;
mod call_kind;
mod http_objects;
mod object_answer;
mod object_api;
mod object_call;
mod object_codec;
mod plain_codec;
mod put;

pub use call_counter::CallCounter;
pub use call_kind::CallKind;
pub use http_objects::HttpObjects;
pub use object_answer::ObjectAnswer;
pub use object_api::ObjectApi;
pub use object_call::ObjectCall;
pub use object_codec::ObjectCodec;
pub use plain_codec::PlainCodec;
pub use put::Put;
