//! The accounts of a trace, with their shops and notes.

use fastrand::Rng;

use super::Shape;
use crate::trace::{Ask, Levels, WorkKind};

/// The accounts of a trace, with their shops and notes.
#[derive(Clone, Debug)]
pub struct Population {
    shops: usize,
}

/// The accounts, with the share in percent that each has in the requests.
const ACCOUNTS: [(&str, u32); 8] = [
    ("alpska", 32),
    ("bohinj", 22),
    ("cerkno", 14),
    ("dovje", 10),
    ("golte", 8),
    ("krvavec", 6),
    ("pokljuka", 5),
    ("rogla", 3),
];
/// The accounts that are large.
const LARGE: usize = 3;
/// The shops of an account that is not large.
const SMALL_SHOPS: usize = 2;
/// The notes of a shop.
const NOTES: usize = 2;
/// The tokens of the house instructions.
const HOUSE_TOKENS: u64 = 2_000;
/// The tokens of a snow report.
const SNOW_TOKENS: u64 = 4_000;
/// The kinds of work with their share in percent.
const MIX: [(WorkKind, u32); 5] = [
    (WorkKind::Advice, 30),
    (WorkKind::Quotation, 15),
    (WorkKind::Order, 5),
    (WorkKind::Draft, 30),
    (WorkKind::Classify, 20),
];

impl Population {
    /// Creates the population of a shape.
    pub const fn new(shape: &Shape) -> Self {
        Self { shops: shape.shops }
    }

    /// Returns the names of the accounts.
    pub fn accounts() -> Vec<String> {
        ACCOUNTS
            .iter()
            .map(|(name, _)| (*name).to_owned())
            .collect()
    }

    /// Returns the levels, with lengths drawn from `rng`.
    pub fn levels(&self, rng: &mut Rng) -> Levels {
        let mut levels = Levels::new();
        for report in ["snow1", "snow2"] {
            levels.insert(report, SNOW_TOKENS);
        }
        for account in 0..ACCOUNTS.len() {
            levels.insert(&house(account), HOUSE_TOKENS);
            for shop in 0..self.shops_of(account) {
                levels.insert(&shop_name(account, shop), rng.u64(1_500..2_500));
                for note in 0..NOTES {
                    levels.insert(&note_name(account, shop, note), rng.u64(800..2_000));
                }
            }
        }
        levels
    }

    /// Draws a request of any account and kind, or of the given ones.
    pub fn ask(&self, rng: &mut Rng, account: Option<usize>, kind: Option<WorkKind>) -> Ask {
        let account = account.unwrap_or_else(|| draw(rng, &ACCOUNTS.map(|(_, share)| share)));
        let kind = kind.unwrap_or_else(|| MIX[draw(rng, &MIX.map(|(_, share)| share))].0);
        let shop = rng.usize(..self.shops_of(account));
        let note = rng.usize(..NOTES);
        let levels = vec![
            house(account),
            shop_name(account, shop),
            note_name(account, shop, note),
        ];
        Ask {
            account: ACCOUNTS[account].0.to_owned(),
            kind,
            worth: worth(kind),
            patience: patience(kind),
            output: rng.u64(output(kind)),
            levels,
            question: rng.u64(60..300),
            poison: false,
        }
    }

    const fn shops_of(&self, account: usize) -> usize {
        if account < LARGE {
            self.shops
        } else {
            SMALL_SHOPS
        }
    }
}

fn house(account: usize) -> String {
    format!("h{account}")
}

fn shop_name(account: usize, shop: usize) -> String {
    format!("s{account}.{shop}")
}

fn note_name(account: usize, shop: usize, note: usize) -> String {
    format!("n{account}.{shop}.{note}")
}

/// Draws a place by the shares.
fn draw<const N: usize>(rng: &mut Rng, shares: &[u32; N]) -> usize {
    let whole: u32 = shares.iter().sum();
    let mut rest = rng.u32(..whole);
    for (place, share) in shares.iter().enumerate() {
        if rest < *share {
            return place;
        }
        rest -= share;
    }
    0
}

const fn worth(kind: WorkKind) -> u64 {
    match kind {
        WorkKind::Advice => 10,
        WorkKind::Quotation => 20,
        WorkKind::Order => 30,
        WorkKind::Draft => 2,
        WorkKind::Classify => 1,
    }
}

/// Returns the time to first token that callers allow, in milliseconds.
const fn patience(kind: WorkKind) -> u64 {
    match kind {
        WorkKind::Advice | WorkKind::Quotation => 2_000,
        WorkKind::Order => 3_000,
        WorkKind::Draft => 20_000,
        WorkKind::Classify => 30_000,
    }
}

const fn output(kind: WorkKind) -> std::ops::Range<u64> {
    match kind {
        WorkKind::Advice => 120..240,
        WorkKind::Quotation => 150..300,
        WorkKind::Order => 30..60,
        WorkKind::Draft => 200..400,
        WorkKind::Classify => 10..30,
    }
}
