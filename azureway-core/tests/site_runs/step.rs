//! The steps of a site run: their text form and the strategy that generates them.

use std::str::FromStr;

use proptest::prelude::*;

/// A step of a run. An index is reduced modulo the number of entries, servers, accounts, prompts,
/// requests or attempts that it selects from.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A request of an account arrives at an entry with one of a few prompts.
    Arrive {
        entry: usize,
        account: usize,
        prompt: usize,
        at_most_once: bool,
    },
    /// A running attempt finishes.
    Finish(usize),
    /// The connection of a running attempt breaks after some more events of its stream.
    Break(usize, u64),
    /// The caller of a request disconnects.
    Disconnect(usize),
    /// A server crashes, and its running attempts fail.
    Crash(usize),
    /// A server starts to leave.
    Leave(usize),
    /// A server is replaced by another one at the same address.
    Replace(usize),
    /// The operator names newer weights.
    NameWeights,
    /// A server loads the newest weights while its running attempts continue.
    LoadWeights(usize),
    /// The operator changes the configuration.
    Configure,
    /// The operator isolates an account or ends its isolation.
    Isolate(usize),
    /// An entry is cut off from the store.
    CutOff(usize),
    /// The store is unavailable for so long that its list of servers expires.
    ExpireList,
    /// The store is available again to all entries and servers.
    Reconnect,
    /// The answer to an entry's read of the store is held up for some milliseconds.
    HoldUp(usize, u64),
    /// An entry is killed and restarts.
    Restart(usize),
    /// Some milliseconds of time pass.
    Advance(u64),
}

impl Step {
    /// Returns the strategy that generates random steps.
    pub fn any() -> impl Strategy<Value = Self> {
        let index = any::<u8>;
        let number = |n: u8| usize::from(n);
        prop_oneof![
            12 => (index(), index(), index(), any::<bool>()).prop_map(move |(e, a, p, once)| {
                Self::Arrive { entry: number(e), account: number(a), prompt: number(p), at_most_once: once }
            }),
            6 => index().prop_map(move |n| Self::Finish(number(n))),
            8 => (index(), 0..4u64).prop_map(move |(n, events)| Self::Break(number(n), events)),
            1 => index().prop_map(move |n| Self::Disconnect(number(n))),
            1 => index().prop_map(move |n| Self::Crash(number(n))),
            1 => index().prop_map(move |n| Self::Leave(number(n))),
            1 => index().prop_map(move |n| Self::Replace(number(n))),
            1 => Just(Self::NameWeights),
            3 => index().prop_map(move |n| Self::LoadWeights(number(n))),
            1 => Just(Self::Configure),
            1 => index().prop_map(move |n| Self::Isolate(number(n))),
            1 => index().prop_map(move |n| Self::CutOff(number(n))),
            1 => Just(Self::ExpireList),
            2 => Just(Self::Reconnect),
            2 => (index(), 1..9_000u64).prop_map(move |(n, millis)| Self::HoldUp(number(n), millis)),
            1 => index().prop_map(move |n| Self::Restart(number(n))),
            8 => (1..900u64).prop_map(Self::Advance),
        ]
    }
}

impl FromStr for Step {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let number = |index: usize| -> Result<usize, String> {
            let word = words.get(index).ok_or(format!("too short: {text}"))?;
            word.parse().map_err(|e| format!("{text}: {e}"))
        };
        Ok(match *words.first().ok_or("empty")? {
            "arrive" => Self::Arrive {
                entry: number(1)?,
                account: number(2)?,
                prompt: number(3)?,
                at_most_once: words.get(4) == Some(&"once"),
            },
            "finish" => Self::Finish(number(1)?),
            "break" => Self::Break(number(1)?, number(2)? as u64),
            "hangup" => Self::Disconnect(number(1)?),
            "crash" => Self::Crash(number(1)?),
            "leave" => Self::Leave(number(1)?),
            "replace" => Self::Replace(number(1)?),
            "name" => Self::NameWeights,
            "load" => Self::LoadWeights(number(1)?),
            "configure" => Self::Configure,
            "isolate" => Self::Isolate(number(1)?),
            "away" => Self::CutOff(number(1)?),
            "lapse" => Self::ExpireList,
            "back" => Self::Reconnect,
            "hold" => Self::HoldUp(number(1)?, number(2)? as u64),
            "restart" => Self::Restart(number(1)?),
            "pass" => Self::Advance(number(1)? as u64),
            word => return Err(format!("unknown step {word}")),
        })
    }
}
