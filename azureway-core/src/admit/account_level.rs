//! What one client account may still use at this entry and over all entries.

use std::time::Duration;

use super::{DemandMeter, GroupUse};
use crate::domain::{AccountLimit, Timestamp};

/// This entry's part of one account's limit, and its estimate of the whole.
///
/// The part is a token bucket that refills by the entry's fraction of the limit. The estimate is a
/// token bucket too, which refills by the whole limit and is drained by the use that all entries
/// report. While it is not empty, the account is below its limit, and a request may take the part
/// below zero. Otherwise accounts whose parts are smaller than a request would be refused below
/// their limits. While it is empty, or unknown, a request has to draw from what is in the part.
///
/// Both begin empty, so that a restart is no second burst.
#[derive(Clone, Copy, Debug)]
pub struct AccountLevel {
    /// What the account asks for here.
    pub demand: DemandMeter,
    /// What the account is charged here.
    pub used: DemandMeter,
    part: f64,
    whole: f64,
    /// The capacity of the whole.
    capacity: f64,
    /// The refill of the part, in units per second.
    rate: f64,
    /// Whether the account is known to be below its limit.
    below: bool,
    started: Timestamp,
    /// The largest request of late.
    largest: f64,
    /// What was promised to refused requests and not refilled since.
    promised: f64,
    updated: Timestamp,
}

/// The time constant of the demand meter, in seconds.
const DEMAND_DECAY: f64 = 3.0;
/// The time constant of the use meter, in seconds. It is short, since late news is overuse.
const USE_DECAY: f64 = 0.5;
/// The smallest capacity of the bucket, as seconds of the limit's rate.
const MIN_BURST: f64 = 0.25;
/// The multiple of the unused whole that all entries together may use beyond their parts. What is used
/// so is a debt of the parts, which refill before more is admitted, so it is no overuse of a window.
const SPARE_FACTOR: f64 = 3.0;
/// The requests, as large as the largest of late, that an entry may admit beyond its part while half of
/// the whole is unused.
const SPARE_REQUESTS: f64 = 2.0;
/// The capacity of the whole, as a multiple of the burst. While the demand is below the limit, a large
/// request then does not make the account's small ones wait.
const WHOLE_FACTOR: f64 = 2.0;
/// The multiple of the limit's rate that the demand may reach for a moment while the account counts as
/// below its limit.
const DEMAND_FACTOR: f64 = 1.25;
/// The time constant with which the largest request is forgotten, in seconds.
const LARGEST_DECAY: f64 = 10.0;
/// The time after a start for which the estimate of the whole may miss what was used before.
const WARM_TIME: Duration = Duration::from_secs(4);
/// The fraction of the refill until then, since the debts from before the start are forgotten.
const COLD_REFILL: f64 = 0.5;
/// The largest debt of the whole, as seconds of the limit's rate.
const MAX_DEBT: f64 = 4.0;
/// The time constant with which the debt of a part fades while the whole is not used up, in seconds.
const SETTLE_TIME: f64 = 4.0;
/// The refill that is promised to refused requests at most, in seconds. Not all of them come back.
const PROMISE_TIME: f64 = 4.0;
/// The smallest fraction to which a debt of the whole reduces the refill.
const MIN_REFILL: f64 = 0.5;
/// The debt of the whole at which the refill is smallest, as seconds of the limit's rate.
const TRIM_DEBT: f64 = 2.0;

impl AccountLevel {
    /// Creates the empty level of an account that is first known of at `now`.
    pub const fn new(now: Timestamp) -> Self {
        Self {
            demand: DemandMeter::new().with_decay(DEMAND_DECAY),
            used: DemandMeter::new().with_decay(USE_DECAY),
            part: 0.0,
            whole: 0.0,
            capacity: 0.0,
            rate: 0.0,
            below: false,
            started: now,
            largest: 0.0,
            promised: 0.0,
            updated: now,
        }
    }

    /// Returns the units that the account may use here, negative if it has used more.
    pub const fn part(&self) -> f64 {
        self.part
    }

    /// Returns the units that the account may use over all entries, negative if it has used more.
    pub const fn whole(&self) -> f64 {
        self.whole
    }

    /// Refills up to `now`. This entry enforces `fraction` of the limit, and `group` is the use over
    /// the entries that are heard of, out of `entries`.
    pub fn refill(
        &mut self,
        limit: &AccountLimit,
        fraction: f64,
        group: Option<GroupUse>,
        entries: f64,
        now: Timestamp,
    ) {
        let (rate, burst) = (limit.rate as f64, limit.burst as f64);
        self.capacity = burst.max(rate * MIN_BURST);
        let time = now.since(self.updated).as_secs_f64();
        self.updated = now;
        self.largest *= (-time / LARGEST_DECAY).exp();
        let debt = -self.whole / (TRIM_DEBT * rate);
        let debt = (1.0 - MIN_REFILL) * debt.clamp(0.0, 1.0);
        let warm = now.since(self.started) >= WARM_TIME;
        let cold = if warm { 1.0 } else { COLD_REFILL };
        self.rate = rate * fraction * (1.0 - debt) * cold;
        let refilled = self.rate * time;
        let room = self.capacity * fraction;
        let room = room.max((self.largest / 4.0).min(2.0 * room));
        self.part = (self.part + refilled).min(room);
        self.promised = (self.promised - refilled).max(0.0);
        self.whole = match group {
            Some(group) => {
                let used = group.used * (entries / group.entries).max(1.0);
                (self.whole + (rate - used) * time)
                    .clamp(-MAX_DEBT * rate, WHOLE_FACTOR * self.capacity)
            }
            None if entries <= 1.0 => self.part,
            None => self.whole.min(0.0),
        };
        if warm && group.is_some_and(|g| g.entries >= entries) {
            self.settle(time);
        }
        let demand = match group {
            Some(group) if warm => group.demand * (entries / group.entries).max(1.0),
            None if entries <= 1.0 => self.demand.rate(now),
            _ => f64::MAX,
        };
        self.below = self.whole > 0.0 && demand <= DEMAND_FACTOR * rate;
    }

    /// Lets the debt of the part fade while much of the whole is unused, which has paid for it.
    fn settle(&mut self, time: f64) {
        let unused = self.whole - (WHOLE_FACTOR - 1.0) * self.capacity;
        if self.part < 0.0 && unused > 0.9 * self.capacity {
            self.part *= (-time / SETTLE_TIME).exp();
        }
    }

    /// Takes `cost` out of the part. `draw`, from 0 to 1, is the random fraction of a request's cost
    /// that has to be there while the account is not known to be below its limit, so that parts that
    /// are smaller than a request are used in the mean.
    ///
    /// # Errors
    ///
    /// Returns the time until `cost` is there for this request, after those refused before it.
    pub fn spend(
        &mut self,
        cost: f64,
        draw: f64,
        entries: f64,
        now: Timestamp,
    ) -> Result<(), Duration> {
        self.demand.add(cost, now);
        self.largest = self.largest.max(cost);
        let admitted = match self.below && cost <= self.whole {
            true => self.part + self.spare(entries) >= 0.0,
            false => self.part >= draw * cost,
        };
        if admitted {
            self.charge(cost, now);
            return Ok(());
        }
        let missing = cost - self.part + self.promised;
        self.promised = (self.promised + cost).min(self.rate * PROMISE_TIME);
        let wait = Duration::try_from_secs_f64(missing / self.rate);
        Err(wait.unwrap_or(Duration::MAX))
    }

    /// Returns how far a request may take the part below zero.
    fn spare(&self, entries: f64) -> f64 {
        let requests = match 2.0 * self.whole >= self.capacity {
            true => (SPARE_REQUESTS * self.largest).min(self.whole / 2.0),
            false => 0.0,
        };
        SPARE_FACTOR * self.whole / entries + requests
    }

    /// Charges a request without a check, or gives back a negative `cost`.
    pub fn charge(&mut self, cost: f64, now: Timestamp) {
        self.part -= cost;
        self.used.add(cost, now);
    }
}
