//! azureway: a router for language-model traffic with long shared prompts.
//!
//! This crate is the library of the coordination components from which the daemons are built, for
//! use in other programs. It performs no I/O, reads no clock and starts no threads: the embedding
//! program passes in events, answers and the time, and carries out the actions that are returned.
//! Each component can be used on its own.
//!
//! # Components
//!
//! | module | responsibility |
//! |---|---|
//! | [`member`] | group membership: which instances are alive, and gossip between them |
//! | [`route`] | routing policies: rendezvous placement and load estimates |
//! | [`admit`] | admission: a fair queue with two ranks, and limits per client account |
//! | [`retry`] | retries: budget and backoff |
//! | [`claim`] | claims, by which a request runs at most once |
//! | [`lease`] and [`order`] | the lease to give orders, with fencing numbers, and the orders |
//! | [`quarantine`] | quarantine of requests that crash backend servers |
//! | [`config`] | versions, edits and the audit trail of a shared document |
//! | [`cache`] | the index of the blocks in each server's prefix cache |
//! | [`stream`] | complete and in-order delivery of streams |
//! | [`router`] | the router, which combines these components |
//!
//! Durations are [`std::time::Duration`], points in time are [`domain::Timestamp`] on the embedding
//! program's clock, and work is counted in [`domain::TokenCount`]. Errors are [`error::Error`],
//! with a kind to act on, the step and the peer.
//!
//! # Examples
//!
//! Rendezvous placement: every instance computes the same order, without history or
//! communication.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let rendezvous = Rendezvous::new(PrefixKey::new(7));
//! let servers = ["a", "b", "c"].map(ServerId::new);
//! let preferred = servers.iter().max_by_key(|s| rendezvous.weight(s)).unwrap();
//! assert!(servers.contains(preferred));
//! ```
//!
//! A retry budget, which limits retries to a percentage of the requests.
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
//! A change of a shared document. The embedding program carries out each step against its store.
//!
//! ```
//! use azureway::prelude::*;
//!
//! struct AcceptAll;
//!
//! impl DocumentCheck for AcceptAll {
//!     type Faults = String;
//!
//!     fn check(&self, _: &str) -> Result<(), String> {
//!         Ok(())
//!     }
//! }
//!
//! let base = Snapshot::new(ConfigVersion::new(4), "[limits]\nteam = retail\nrate = 1\n");
//! let team = TeamId::new("retail");
//! let metadata = ChangeMetadata::new(ChangeId::new("c1"), "ana", team, ChangeTime::new(0));
//! let mut edit = Edit::new(metadata, &base, "[limits]\nteam = retail\nrate = 2\n", AcceptAll);
//! assert!(matches!(edit.step(), EditStep::Read));
//! edit.handle(EditReply::Read(base));
//! assert!(matches!(edit.step(), EditStep::Write(_)));
//! edit.handle(EditReply::Written(ConfigVersion::new(5)));
//! assert_eq!(edit.outcome(), Some(&EditOutcome::Accepted(ConfigVersion::new(5))));
//! ```
//!
//! A lease. The holder stops giving orders by its own clock before another instance may take over,
//! and its orders carry a fencing number.
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
//! Versions of a configuration. Only a newer version can take effect, and each is checked once.
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
//! Streams. Late or duplicate events of an abandoned attempt are distinguished from those of the
//! next attempt.
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
//! A claim, which lets a request run at most once. If the response to a write is lost, the object
//! is read back to find out whether the write took effect.
//!
//! ```
//! use azureway::prelude::*;
//!
//! let id = RequestId::new(1, 1);
//! let mut creation = ClaimCreation::new(id);
//! assert_eq!(creation.first(), ClaimStep::Write(0));
//! assert_eq!(creation.next(ClaimReply::Lost), ClaimStep::Read);
//! let fingerprint = Fingerprint::of("wax-desk", "orders", b"order 17");
//! let record = ClaimRecord::open(ClaimNonce::of(id), fingerprint);
//! let step = creation.next(ClaimReply::Found(9, record));
//! assert_eq!(step, ClaimStep::Done(ClaimOutcome::Granted(id, 9)));
//! ```
//!
//! Membership. In each round, heartbeats are sent to some of the peers. The embedding program
//! transmits them.
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
//! * `azureway-core`: decisions and state, re-exported by this crate;
//! * `azureway-config`: the settings of a daemon and the operators' document, in INI format;
//! * `azureway-wire`: message types, with conversions from and to the types of `azureway-core`;
//! * `azureway-objects`: the client of the platform's object API;
//! * `azureway-entry`: the daemon that routes requests from callers to backend servers;
//! * `azureway-cli`: the operators' command line;
//! * `azureway-dev`: simulated services, replay and benchmarks, never linked into a daemon.

pub use azureway_core::*;
