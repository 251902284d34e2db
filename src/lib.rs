//! azureway: a router for language-model traffic with long shared prompts.
//!
//! This crate is the library: the coordination parts from which the daemons are built, for
//! others to embed. It has no I/O, no clock and no thread. Events, answers and the time go
//! in, actions come out, and the embedder carries them out. Each part stands without the
//! rest.
//!
//! # Parts
//!
//! | part | what it decides |
//! |---|---|
//! | [`member`] | which instances are alive, and what they tell each other |
//! | [`route`] | where a request goes: rendezvous placement and estimates |
//! | [`admit`] | which request is served next: a fair queue under two ranks, with limits |
//! | [`retry`] | how often and when something is tried again: budget and backoff |
//! | [`claim`] | whether a request that may not repeat may run |
//! | [`lease`] and [`order`] | who may give orders, with fencing numbers, and which |
//! | [`quarantine`] | which requests are kept away from servers that they crash |
//! | [`config`] | versions, edits and the audit trail of a shared document |
//! | [`cache`] | what each server's cache holds |
//! | [`stream`] | streams that arrive complete and in order |
//! | [`router`] | the parts put together |
//!
//! Durations are [`std::time::Duration`], times are [`domain::Timestamp`] on the embedder's
//! own clock, work is counted in [`domain::TokenCount`]. Errors are [`error::Error`], with a
//! kind to act on, the step and the peer.
//!
//! # Examples
//!
//! Rendezvous placement: every instance computes the same order, without history or peers.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let order = Rendezvous::new(PrefixKey::new(7));
//! let servers = ["a", "b", "c"].map(ServerId::new);
//! let home = servers.iter().max_by_key(|s| order.weight(s)).unwrap();
//! assert!(servers.contains(home));
//! ```
//!
//! A retry budget: retries are a stated share of the requests.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let mut budget = RetryBudget::new(20);
//! while budget.try_spend() {}
//! (0..5).for_each(|_| budget.deposit());
//! assert!(budget.try_spend());
//! assert!(!budget.try_spend());
//! ```
//!
//! A change of a shared document: the embedder carries out each step against its store.
//!
//! ```
//! use azureway::prelude::*;
//!
//! struct Any;
//!
//! impl DocumentCheck for Any {
//!     type Faults = String;
//!
//!     fn check(&self, _: &str) -> Result<(), String> {
//!         Ok(())
//!     }
//! }
//!
//! let base = Snapshot::new(ConfigVersion::new(4), "[limits]\nteam = retail\nrate = 1\n");
//! let team = TeamId::new("retail");
//! let note = ChangeMetadata::new(ChangeId::new("c1"), "ana", team, ChangeTime::new(0));
//! let mut edit = Edit::new(note, &base, "[limits]\nteam = retail\nrate = 2\n", Any);
//! assert!(matches!(edit.step(), EditStep::Read));
//! edit.handle(EditReply::Read(base));
//! assert!(matches!(edit.step(), EditStep::Write(_)));
//! edit.handle(EditReply::Written(ConfigVersion::new(5)));
//! assert_eq!(edit.outcome(), Some(&EditOutcome::Accepted(ConfigVersion::new(5))));
//! ```
//!
//! A lease: the holder stops by its own clock before another one may begin, and its orders
//! carry a fencing number.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let me = InstanceId::new("kranj-a-entry-1");
//! let mut lease = Lease::new(LeaseConfig::new(), me, 1);
//! let now = Timestamp::from_millis(10);
//! assert_eq!(lease.next(now), LeaseStep::Read);
//! lease.handle_reply(&LeaseReply::Absent, now);
//! assert!(matches!(lease.next(now), LeaseStep::Write(0, _)));
//! lease.handle_reply(&LeaseReply::Written(1), now);
//! assert_eq!(lease.fencing_number(now, true), Some(FencingNumber::new(1)));
//! let late = now + LeaseConfig::new().term;
//! assert_eq!(lease.fencing_number(late, true), None);
//! ```
//!
//! Versions of a configuration: only ever newer ones come into force, and each is judged once.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let mut gate = VersionGate::new();
//! gate.accept(ConfigVersion::new(5));
//! gate.reject(ConfigVersion::new(6));
//! assert!(!gate.is_newer(ConfigVersion::new(5)));
//! assert_eq!(gate.accepted(), ConfigVersion::new(5));
//! assert_eq!(gate.rejected(), Some(ConfigVersion::new(6)));
//! ```
//!
//! Streams: late and doubled events of a try that was given up are told from the next one.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let id = RequestId::new(1, 1);
//! let mut progress = StreamProgress::new(Attempt::new(id, 1));
//! let (first, second) = (StreamPosition::new(0), StreamPosition::new(1));
//! assert_eq!(progress.accept(Attempt::new(id, 1), first), Delivery::Next);
//! progress.switch_to(Attempt::new(id, 2));
//! assert_eq!(progress.accept(Attempt::new(id, 1), second), Delivery::Stale);
//! assert_eq!(progress.accept(Attempt::new(id, 2), second), Delivery::Next);
//! ```
//!
//! A claim, which lets a request run at most once: an answer that was lost after the write took
//! effect is resolved by reading the object back.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let id = RequestId::new(1, 1);
//! let mut calls = ClaimCreation::new(id);
//! assert_eq!(calls.first(), ClaimStep::Write(0));
//! assert_eq!(calls.next(ClaimReply::Lost), ClaimStep::Read);
//! let request = Fingerprint::of("wax-desk", "orders", b"order 17");
//! let own = ClaimRecord::open(ClaimNonce::of(id), request);
//! let end = calls.next(ClaimReply::Found(9, own));
//! assert_eq!(end, ClaimStep::Done(ClaimOutcome::Granted(id, 9)));
//! ```
//!
//! Membership: heartbeats go to some peers a round, and the embedder carries them.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let instance = |name: &str, port| {
//!     let address = ([127, 0, 0, 1], port).into();
//!     Instance::new(InstanceId::new(name), ZoneId::new("kranj-a"), address)
//! };
//! let (me, peer) = (instance("entry-1", 8081), instance("entry-2", 8082));
//! let mut members = Membership::new(MembershipConfig::new(), me, [&peer], 1, Timestamp::ZERO);
//! let (mut now, mut out) = (Timestamp::ZERO, Vec::new());
//! while !out.iter().any(|a| matches!(a, PeerAction::Send(to, _) if *to == peer)) {
//!     now = members.next_wakeup();
//!     members.handle(PeerEvent::Tick, now, &mut out);
//! }
//! assert!(now <= Timestamp::from_millis(2_000));
//! ```
//!
//! # Crates
//!
//! * `azureway-core`: decisions and state, re-exported here;
//! * `azureway-config`: settings of a daemon and the operators' document, in INI;
//! * `azureway-wire`: messages, with conversions from and to the types of the core;
//! * `azureway-objects`: the client side of the platform's object API;
//! * `azureway-entry`: the daemon that stands between callers and backend servers;
//! * `azureway-cli`: the operators' command line;
//! * `azureway-dev`: stand-ins, replay and benches, never linked into a daemon.

pub use azureway_core::*;
