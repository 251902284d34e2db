//! Parses one line of a server-sent event stream.

/// A line of a server-sent event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SseLine<'a> {
    /// The `id` field: the stream position of the event.
    Id(u64),
    /// The `data` field of the event.
    Data(&'a str),
    /// The empty line that ends an event.
    End,
    /// A comment, or a field that azureway does not use.
    Other,
}

impl<'a> SseLine<'a> {
    /// The data that ends a chat-completions stream.
    pub const DONE: &'static str = "[DONE]";

    /// Parses a line, with or without its line break.
    pub fn parse(line: &'a str) -> Self {
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            return Self::End;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "data" => Self::Data(value),
            "id" => value.parse().map_or(Self::Other, Self::Id),
            _ => Self::Other,
        }
    }
}
