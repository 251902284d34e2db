//! A group of entries that keep one account's limit together, without a network.

mod load;

use std::time::Duration;

use azureway_core::admit::AccountLimits;
use azureway_core::member::DemandTable;
use azureway_core::prelude::*;

pub(crate) use load::{Draw, Load};

/// The number of availability zones.
const ZONES: usize = 6;
/// The interval between the rounds in which entries tell each other the use of the account.
const ROUND: Duration = Duration::from_millis(400);
/// The window of the promise.
const WINDOW: f64 = 8.0;
/// The units beyond the limit that the promise allows in a window.
const SLACK: f64 = 110_000.0;

/// An entry, and what befalls it.
pub(crate) struct Entry {
    instance: Instance,
    limits: AccountLimits,
    table: DemandTable,
    /// What the entry hears one round late.
    heard: Vec<ZoneDemand>,
    /// Whether the entry is cut off from the others.
    pub(crate) cut: bool,
    /// Whether the entry neither sends nor admits anything.
    pub(crate) frozen: bool,
}

/// The entries, and what the account used and was refused.
pub(crate) struct Group {
    pub(crate) entries: Vec<Entry>,
    pub(crate) limit: AccountLimit,
    now: Timestamp,
    next_round: Timestamp,
    /// The time and the cost of each admitted request.
    pub(crate) used: Vec<(f64, f64)>,
    /// The time and the cost of each refused request.
    pub(crate) refused: Vec<(f64, f64)>,
    sent: u64,
    /// The level of one token bucket for all entries, when it was last filled, and how many requests it
    /// admits that were refused.
    ideal: (f64, f64),
    wronged: Vec<f64>,
}

impl Group {
    pub(crate) fn new(count: usize, limit: AccountLimit) -> Self {
        let mut group = Self {
            entries: Vec::new(),
            limit,
            now: Timestamp::from_millis(3_600_000),
            next_round: Timestamp::ZERO,
            used: Vec::new(),
            refused: Vec::new(),
            sent: 0,
            ideal: (0.0, 0.0),
            wronged: Vec::new(),
        };
        group.entries = (0..count).map(|n| group.start(n, count)).collect();
        group
    }

    /// Returns entry `number` as it is after a start.
    fn start(&self, number: usize, count: usize) -> Entry {
        let zone = ZoneId::new(&format!("zone-{}", number % ZONES));
        let id = InstanceId::new(&format!("entry-{number:03}"));
        let instance = Instance::new(id, zone.clone(), ([127, 0, 0, 1], 1).into());
        let mut limits = AccountLimits::new(number as u64 * 77 + 5 + self.sent);
        limits.set_entries(u32::try_from(count).expect("few entries"));
        limits.reconfigure([&self.account()], self.now);
        Entry {
            instance,
            limits,
            table: DemandTable::new(zone),
            heard: Vec::new(),
            cut: false,
            frozen: false,
        }
    }

    fn account(&self) -> ClientAccount {
        ClientAccount::new(AccountId::new("x")).with_limit(self.limit)
    }

    pub(crate) fn restart(&mut self, number: usize) {
        self.entries[number] = self.start(number, self.entries.len());
    }

    pub(crate) fn set_limit(&mut self, limit: AccountLimit) {
        self.limit = limit;
        let (account, now) = (self.account(), self.now);
        for entry in &mut self.entries {
            entry.limits.reconfigure([&account], now);
        }
    }

    /// Returns the time since the start, in seconds.
    pub(crate) fn time(&self) -> f64 {
        self.now
            .since(Timestamp::from_millis(3_600_000))
            .as_secs_f64()
    }

    pub(crate) fn advance(&mut self, seconds: f64) {
        self.now = self.now + Duration::from_secs_f64(seconds);
        if self.now >= self.next_round {
            self.next_round = self.now + ROUND;
            self.exchange();
        }
    }

    /// Offers a request of `cost` to an entry. Returns whether it was admitted.
    pub(crate) fn offer(&mut self, request: &mut Request, number: usize, cost: u64) -> bool {
        let time = self.time();
        let entry = &mut self.entries[number];
        if entry.frozen {
            return false;
        }
        self.sent += 1;
        request.id = RequestId::new(0, self.sent);
        request.usage = Some(TokenCount::new(cost));
        let admitted = entry.limits.admit(request, self.now).is_ok();
        entry.limits.settle(request.id, false, self.now);
        if self.owes(cost as f64, time) && !admitted {
            self.wronged.push(time);
        }
        let list = match admitted {
            true => &mut self.used,
            false => &mut self.refused,
        };
        list.push((time, cost as f64));
        admitted
    }

    /// Returns whether one token bucket for all entries has room for a request, and takes it.
    fn owes(&mut self, cost: f64, time: f64) -> bool {
        let (level, filled) = self.ideal;
        let (rate, burst) = (self.limit.rate as f64, self.limit.burst as f64);
        let level = (level + rate * (time - filled)).min(burst);
        let owed = level >= cost;
        self.ideal = (if owed { level - cost } else { level }, time);
        owed
    }

    /// Lets the first entry that is in touch relay for each zone, as the membership does.
    fn exchange(&mut self) {
        let now = self.now;
        for entry in self.entries.iter_mut().filter(|e| !e.frozen) {
            let demand = entry.limits.demand(entry.instance.id.clone(), now);
            entry.table.expire(now);
            entry.table.update(&demand, 16, now);
        }
        let relays: Vec<_> = (0..ZONES).filter_map(|z| self.relay(z)).collect();
        for number in 0..self.entries.len() {
            if let Some(relay) = self.relay(number % ZONES) {
                self.call(number, relay);
            }
        }
        for from in &relays {
            relays.iter().for_each(|to| self.call(*from, *to));
        }
        for entry in self.entries.iter_mut().filter(|e| !e.frozen) {
            let mut heard = std::mem::replace(&mut entry.heard, entry.table.zones(now));
            heard.iter_mut().for_each(|z| z.age += ROUND);
            entry.limits.record(&heard, now);
        }
    }

    fn relay(&self, zone: usize) -> Option<usize> {
        let numbers = (0..self.entries.len()).filter(|n| n % ZONES == zone);
        let mut reachable = numbers.filter(|n| self.is_reachable(*n));
        reachable.next()
    }

    fn is_reachable(&self, number: usize) -> bool {
        !self.entries[number].cut && !self.entries[number].frozen
    }

    /// Exchanges heartbeats between two entries.
    fn call(&mut self, from: usize, to: usize) {
        if from == to || !self.is_reachable(from) || !self.is_reachable(to) {
            return;
        }
        let sent = self.heartbeat(from);
        self.entries[to].table.record(&sent, self.now);
        let reply = self.heartbeat(to);
        self.entries[from].table.record(&reply, self.now);
    }

    fn heartbeat(&self, number: usize) -> Heartbeat {
        let entry = &self.entries[number];
        Heartbeat {
            from: entry.instance.clone(),
            version: ConfigVersion::ZERO,
            digest: 0,
            full: false,
            updates: Vec::new(),
            demand: entry.table.own().to_vec(),
            zones: entry.table.zones(self.now),
        }
    }

    /// Returns the largest use in a window that begins at `from` or later, as a multiple of what the
    /// promise allows.
    pub(crate) fn worst_window(&self, from: f64) -> f64 {
        let limit = &self.limit;
        let allowed = (limit.rate as f64 * WINDOW + limit.burst as f64).mul_add(1.1, SLACK);
        let used: Vec<_> = self.used.iter().filter(|(t, _)| *t >= from).collect();
        let (mut sum, mut first, mut worst) = (0.0, 0, 0.0_f64);
        for (time, cost) in &used {
            sum += cost;
            while used[first].0 < time - WINDOW {
                sum -= used[first].1;
                first += 1;
            }
            worst = worst.max(sum);
        }
        worst / allowed
    }

    /// Returns the used fraction of the limit from `from` on.
    pub(crate) fn used_share(&self, from: f64) -> f64 {
        let used = self.used.iter().filter(|(t, _)| *t >= from);
        let used: f64 = used.map(|(_, c)| c).sum();
        used / (self.limit.rate as f64 * (self.time() - from))
    }

    /// Returns the fraction of the requests from `from` on that were refused though one token bucket for
    /// all entries had room for them.
    pub(crate) fn refused_share(&self, from: f64) -> f64 {
        let all = self.used.iter().chain(&self.refused);
        let all = all.filter(|(t, _)| *t >= from).count() as f64;
        let wronged = self.wronged.iter().filter(|t| **t >= from).count() as f64;
        wronged / all.max(1.0)
    }
}
