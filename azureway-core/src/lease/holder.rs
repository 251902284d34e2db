//! The lease protocol, which an entry's order duty drives.

use super::{LeaseConfig, LeaseRecord, LeaseReply, LeaseState, LeaseStep, LeaseWrite};
use crate::domain::{FencingNumber, InstanceId, Timestamp};

/// The state machine by which one entry acquires and renews a lease.
///
/// The holder measures its term from a time before it sent the write, and the other entries from a
/// time after they read it. Therefore the holder stops before another entry takes over, although
/// their clocks show different times.
#[derive(Clone, Debug)]
pub struct Lease {
    config: LeaseConfig,
    me: InstanceId,
    process_id: u64,
    sequence: u64,
    state: LeaseState,
    write: Option<LeaseWrite>,
    next_call: Timestamp,
    /// The time before which servers that check no fencing number get no orders.
    cooldown_end: Timestamp,
}

impl Lease {
    /// Creates the state of the process `process_id` of instance `me`.
    pub const fn new(config: LeaseConfig, me: InstanceId, process_id: u64) -> Self {
        Self {
            config,
            me,
            process_id,
            sequence: 0,
            state: LeaseState::Unknown,
            write: None,
            next_call: Timestamp::ZERO,
            cooldown_end: Timestamp::ZERO,
        }
    }

    /// Returns the next step at `now`. A write that it returns has to be sent or abandoned.
    pub fn next(&mut self, now: Timestamp) -> LeaseStep {
        match self.state {
            LeaseState::Held(_, _, ends) if now >= ends => self.state = LeaseState::Unknown,
            _ => {}
        }
        match self.state {
            LeaseState::Unknown if now >= self.next_call => LeaseStep::Read,
            LeaseState::Free => self.start_write(0, FencingNumber::new(1), now),
            LeaseState::Reclaimable(version, number) => {
                self.start_write(version, number.next(), now)
            }
            LeaseState::Observed(version, number, since) => {
                let expiry = since + self.config.takeover_delay();
                if now >= expiry {
                    // The previous holder wrote at `since` at the latest. It stops sending orders
                    // one margin before the end of the term that began then.
                    let last_order = since + self.config.term.saturating_sub(self.config.margin);
                    self.cooldown_end = last_order + self.config.cooldown;
                    return self.start_write(version, number.next(), now);
                }
                self.read_or_wait(now, expiry)
            }
            LeaseState::Held(version, number, _)
                if self.write.is_none() && now >= self.next_call =>
            {
                self.start_write(version, number, now)
            }
            LeaseState::Held(_, _, ends) if now < self.cooldown_end => {
                self.read_or_wait(now, ends.min(self.cooldown_end))
            }
            LeaseState::Held(_, _, ends) => self.read_or_wait(now, ends),
            LeaseState::Unknown => LeaseStep::Wait(self.next_call),
        }
    }

    /// Handles the reply to the last step.
    pub fn handle_reply(&mut self, reply: &LeaseReply, now: Timestamp) {
        self.next_call = now + self.config.renew_interval();
        match reply {
            LeaseReply::Written(version) => self.acquire(*version),
            LeaseReply::Conflict => {
                self.write = None;
                self.next_call = now;
                self.state = LeaseState::Unknown;
            }
            LeaseReply::NoAnswer => self.handle_no_answer(now),
            LeaseReply::Found(version, record) => self.handle_found(*version, record, now),
            LeaseReply::Absent => {
                self.write = None;
                self.state = LeaseState::Free;
            }
        }
    }

    /// Returns the fencing number of an order at `now`, if this entry may send one. `fenced` is
    /// whether the server checks the number.
    pub fn fencing_number(&self, now: Timestamp, fenced: bool) -> Option<FencingNumber> {
        let LeaseState::Held(_, number, ends) = self.state else {
            return None;
        };
        let (last_order, cooling_down) = match fenced {
            true => (now, false),
            false => (now + self.config.margin, now < self.cooldown_end),
        };
        (last_order < ends && !cooling_down).then_some(number)
    }

    /// Gives up the lease because a server has received a higher fencing number.
    pub fn step_down(&mut self, now: Timestamp) {
        self.write = None;
        self.next_call = now;
        self.state = LeaseState::Unknown;
    }

    fn start_write(&mut self, expected: u64, number: FencingNumber, now: Timestamp) -> LeaseStep {
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
        if now >= self.next_call {
            LeaseStep::Read
        } else {
            LeaseStep::Wait(self.next_call.min(end))
        }
    }

    fn acquire(&mut self, version: u64) {
        if let Some(write) = self.write.take() {
            let ends = write.started + self.config.term;
            self.next_call = write.started + self.config.renew_interval();
            self.state = LeaseState::Held(version, write.number, ends);
        }
    }

    /// Keeps a held lease until its end, and retries soon.
    fn handle_no_answer(&mut self, now: Timestamp) {
        self.next_call = now + self.config.renew_interval() / 4;
        if !matches!(self.state, LeaseState::Held(..)) {
            self.state = LeaseState::Unknown;
        }
    }

    fn handle_found(&mut self, version: u64, record: &LeaseRecord, now: Timestamp) {
        let same_process = record.process_id == self.process_id;
        let same_instance = self.config.single_process && record.holder == self.me;
        if same_process && self.write.is_some_and(|w| w.sequence == record.sequence) {
            return self.acquire(version);
        }
        self.write = None;
        if same_instance && !same_process {
            self.cooldown_end = now + record.cooldown;
        }
        self.state = match self.state {
            LeaseState::Held(_, number, ends) if same_process && number == record.number => {
                self.next_call = now;
                LeaseState::Held(version, number, ends)
            }
            LeaseState::Observed(observed, number, since) if observed == version => {
                LeaseState::Observed(version, number, since)
            }
            // No other entry has acquired the lease since this one held it, so this entry can write
            // a new number at once.
            _ if same_process || same_instance => LeaseState::Reclaimable(version, record.number),
            _ => LeaseState::Observed(version, record.number, now),
        };
    }
}
