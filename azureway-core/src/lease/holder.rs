//! The lease protocol, which an entry's order duty drives.

use super::{LeaseConfig, LeaseEra, LeaseRecord, LeaseReply, LeaseState, LeaseStep, LeaseWrite};
use crate::domain::{FencingNumber, InstanceId, StoreEra, Timestamp};

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
    era: LeaseEra,
    /// The highest fencing number that was seen.
    highest: FencingNumber,
}

/// The part of the interval between renewals after which a call that failed is made again.
const RETRY_DIVISOR: u32 = 4;

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
            era: LeaseEra::new(),
            highest: FencingNumber::ZERO,
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
            LeaseState::Free => self.start_acquisition(0, now),
            LeaseState::Reclaimable(version) => self.start_acquisition(version, now),
            LeaseState::Observed(version, since) => {
                let expiry = since + self.config.takeover_delay();
                if now >= expiry {
                    // The previous holder wrote at `since` at the latest.
                    self.cooldown_end = since + self.config.handover_time();
                    return self.start_acquisition(version, now);
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

    /// Records the era of the reply to the last step, before the reply is handled. A new era voids
    /// everything that is known of the lease except the term of the last one that was held, in
    /// which no other entry can have held it. Returns whether the era is new.
    pub fn enter_era(&mut self, era: Option<StoreEra>, now: Timestamp) -> bool {
        let held_until = match self.state {
            LeaseState::Held(_, _, ends) => ends,
            _ => Timestamp::ZERO,
        };
        let restored = self.era.enter(era, held_until);
        if restored {
            self.forget(now);
        }
        restored
    }

    /// Handles the reply to the last step.
    pub fn handle_reply(&mut self, reply: &LeaseReply, now: Timestamp) {
        self.next_call = now + self.config.renew_interval();
        match reply {
            LeaseReply::Written(version) => self.acquire(*version),
            LeaseReply::Conflict => self.forget(now),
            // A store whose era changes with each answer must not be called without a pause.
            LeaseReply::Restored => {
                self.forget(now + self.config.renew_interval() / RETRY_DIVISOR);
            }
            LeaseReply::NoAnswer => self.handle_no_answer(now),
            LeaseReply::Found(version, record) => self.handle_found(*version, record, now),
            LeaseReply::Absent => self.handle_absent(now),
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
        self.forget(now);
    }

    /// Drops what is known of the object, which is read again at `next_call`.
    const fn forget(&mut self, next_call: Timestamp) {
        self.write = None;
        self.next_call = next_call;
        self.state = LeaseState::Unknown;
    }

    /// Starts the write that acquires the lease, with a number above all earlier ones.
    fn start_acquisition(&mut self, expected: u64, now: Timestamp) -> LeaseStep {
        let number = self.highest.next().max(self.era.first_number());
        self.start_write(expected, number, now)
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
            era: self.era.get(),
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
            self.highest = self.highest.max(write.number);
            self.state = LeaseState::Held(version, write.number, ends);
        }
    }

    /// Keeps a held lease until its end, and retries soon.
    fn handle_no_answer(&mut self, now: Timestamp) {
        self.next_call = now + self.config.renew_interval() / RETRY_DIVISOR;
        if !matches!(self.state, LeaseState::Held(..)) {
            self.state = LeaseState::Unknown;
        }
    }

    /// Handles that the object does not exist. A restore may have lost it, and its holder may still
    /// send orders. That holder is given the time to write it again.
    fn handle_absent(&mut self, now: Timestamp) {
        self.write = None;
        let may_be_lost = self.era.get() > StoreEra::ZERO && !self.era.is_exclusive(now);
        self.state = match may_be_lost {
            true => self.observe(0, now),
            false => LeaseState::Free,
        };
    }

    /// Returns the state in which another process is seen to have written `version`.
    fn observe(&self, version: u64, now: Timestamp) -> LeaseState {
        match self.state {
            LeaseState::Observed(observed, since) if observed == version => {
                LeaseState::Observed(version, since)
            }
            _ => LeaseState::Observed(version, now),
        }
    }

    fn handle_found(&mut self, version: u64, record: &LeaseRecord, now: Timestamp) {
        self.highest = self.highest.max(record.number);
        let same_process = record.process_id == self.process_id;
        let same_instance = self.config.single_process && record.holder == self.me;
        if same_process && self.write.is_some_and(|w| w.sequence == record.sequence) {
            return self.acquire(version);
        }
        self.write = None;
        if same_instance && !same_process {
            self.cooldown_end = now + record.cooldown;
        }
        let is_copy = record.era != self.era.get();
        if !is_copy && !same_process {
            self.era.end_exclusive();
        }
        let is_observed = matches!(self.state, LeaseState::Observed(v, _) if v == version);
        self.state = match self.state {
            LeaseState::Held(_, number, ends) if same_process && number == record.number => {
                self.next_call = now;
                LeaseState::Held(version, number, ends)
            }
            // Nobody can have acquired the lease between the copy and the restore.
            _ if is_copy && self.era.is_exclusive(now) => LeaseState::Reclaimable(version),
            // No other entry has acquired the lease since this one held it, so this entry can write
            // a new number at once.
            _ if !is_copy && !is_observed && (same_process || same_instance) => {
                LeaseState::Reclaimable(version)
            }
            _ => {
                self.next_call = now + self.config.observe_interval();
                self.observe(version, now)
            }
        };
    }
}
