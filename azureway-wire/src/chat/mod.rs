//! The chat-completions interface.

mod chat_content;
mod chat_message;
mod chat_part;
mod chat_request;
mod usage;
mod usage_details;
mod usage_frame;

pub use chat_content::ChatContent;
pub use chat_message::ChatMessage;
pub use chat_part::ChatPart;
pub use chat_request::ChatRequest;
pub use usage::Usage;
pub use usage_details::UsageDetails;
pub use usage_frame::UsageFrame;
