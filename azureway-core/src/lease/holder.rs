//! One entry's side of a lease.

use super::{LeaseConfig, LeaseRecord, LeaseReply, LeaseState, LeaseStep, LeaseWrite};
use crate::domain::{FencingNumber, InstanceId, Timestamp};

/// One entry's side of a lease.
///
/// The holder counts its term from before it sent the write, and the others count it from after
/// they saw the write: by every clock the holder stops before another one begins.
#[derive(Clone, Debug)]
pub struct Lease {
    config: LeaseConfig,
    me: InstanceId,
    process_id: u64,
    sequence: u64,
    state: LeaseState,
    write: Option<LeaseWrite>,
    look: Timestamp,
    /// Until when servers that check no fencing number get no orders.
    cooldown_end: Timestamp,
}

impl Lease {
    /// Creates the side of the process `mark` of instance `me`.
    pub const fn new(config: LeaseConfig, me: InstanceId, process_id: u64) -> Self {
        Self {
            config,
            me,
            process_id,
            sequence: 0,
            state: LeaseState::Unknown,
            write: None,
            look: Timestamp::ZERO,
            cooldown_end: Timestamp::ZERO,
        }
    }

    /// Returns what is to be done at `now`. What it says to write must be sent or given up.
    pub fn next(&mut self, now: Timestamp) -> LeaseStep {
        match self.state {
            LeaseState::Held(_, _, ends) if now >= ends => self.state = LeaseState::Unknown,
            _ => {}
        }
        match self.state {
            LeaseState::Unknown if now >= self.look => LeaseStep::Read,
            LeaseState::Free => self.write(0, FencingNumber::new(1), now),
            LeaseState::Lapsed(version, number) => self.write(version, number.next(), now),
            LeaseState::Seen(version, number, since) => {
                let over = since + self.config.takeover_delay();
                if now >= over {
                    // The holder before wrote at `since` at the latest, and ordered until the
                    // margin of that term.
                    let last = since + self.config.term.saturating_sub(self.config.margin);
                    self.cooldown_end = last + self.config.cooldown;
                    return self.write(version, number.next(), now);
                }
                self.read_or_wait(now, over)
            }
            LeaseState::Held(version, number, _) if self.write.is_none() && now >= self.look => {
                self.write(version, number, now)
            }
            LeaseState::Held(_, _, ends) if now < self.cooldown_end => {
                self.read_or_wait(now, ends.min(self.cooldown_end))
            }
            LeaseState::Held(_, _, ends) => self.read_or_wait(now, ends),
            LeaseState::Unknown => LeaseStep::Wait(self.look),
        }
    }

    /// Takes in the reply to the last step.
    pub fn handle_reply(&mut self, reply: &LeaseReply, now: Timestamp) {
        self.look = now + self.config.renew_interval();
        match reply {
            LeaseReply::Written(version) => self.hold(*version),
            LeaseReply::Conflict => {
                self.write = None;
                self.look = now;
                self.state = LeaseState::Unknown;
            }
            LeaseReply::NoAnswer => self.lose(now),
            LeaseReply::Found(version, record) => self.find(*version, record, now),
            LeaseReply::Absent => {
                self.write = None;
                self.state = LeaseState::Free;
            }
        }
    }

    /// Returns the fencing number of an order that may be sent at `now`, to a server that checks
    /// it or not.
    pub fn fencing_number(&self, now: Timestamp, fenced: bool) -> Option<FencingNumber> {
        let LeaseState::Held(_, number, ends) = self.state else {
            return None;
        };
        let (last, rests) = match fenced {
            true => (now, false),
            false => (now + self.config.margin, now < self.cooldown_end),
        };
        (last < ends && !rests).then_some(number)
    }

    /// Notes that a server has seen a higher fencing number.
    pub fn step_down(&mut self, now: Timestamp) {
        self.write = None;
        self.look = now;
        self.state = LeaseState::Unknown;
    }

    fn write(&mut self, expected: u64, number: FencingNumber, now: Timestamp) -> LeaseStep {
        self.sequence += 1;
        self.write = Some(LeaseWrite {
            started: now,
            sequence: self.sequence,
            number,
        });
        let record = LeaseRecord {
            holder: self.me.clone(),
            process_id: self.process_id,
            sequence: self.sequence,
            number,
            cooldown: self.cooldown_end.since(now),
        };
        LeaseStep::Write(expected, record)
    }

    fn read_or_wait(&self, now: Timestamp, end: Timestamp) -> LeaseStep {
        if now >= self.look {
            LeaseStep::Read
        } else {
            LeaseStep::Wait(self.look.min(end))
        }
    }

    fn hold(&mut self, version: u64) {
        if let Some(write) = self.write.take() {
            let ends = write.started + self.config.term;
            self.look = write.started + self.config.renew_interval();
            self.state = LeaseState::Held(version, write.number, ends);
        }
    }

    /// Keeps what is held until its end, and looks again soon.
    fn lose(&mut self, now: Timestamp) {
        self.look = now + self.config.renew_interval() / 4;
        if !matches!(self.state, LeaseState::Held(..)) {
            self.state = LeaseState::Unknown;
        }
    }

    fn find(&mut self, version: u64, record: &LeaseRecord, now: Timestamp) {
        let mine = record.process_id == self.process_id;
        let before = self.config.single_process && record.holder == self.me;
        if mine && self.write.is_some_and(|w| w.sequence == record.sequence) {
            return self.hold(version);
        }
        self.write = None;
        if before && !mine {
            self.cooldown_end = now + record.cooldown;
        }
        self.state = match self.state {
            LeaseState::Held(_, number, ends) if mine && number == record.number => {
                self.look = now;
                LeaseState::Held(version, number, ends)
            }
            LeaseState::Seen(seen, number, since) if seen == version => {
                LeaseState::Seen(version, number, since)
            }
            // Nobody else has taken it, so a new number can be written at once.
            _ if mine || before => LeaseState::Lapsed(version, record.number),
            _ => LeaseState::Seen(version, record.number, now),
        };
    }
}
