//! Draws random requests of client accounts and their shops for a trace.

use fastrand::Rng;

use super::Workload;
use crate::trace::{PromptLevels, TraceRequest, WorkKind};

/// The client accounts of a generated trace, with their shops and the notes of each shop.
#[derive(Clone, Debug)]
pub struct Population {
    shops: usize,
}

/// The accounts with their shares of the requests, in percent.
const ACCOUNT_SHARES: [(&str, u32); 8] = [
    ("alpska", 32),
    ("bohinj", 22),
    ("cerkno", 14),
    ("dovje", 10),
    ("golte", 8),
    ("krvavec", 6),
    ("pokljuka", 5),
    ("rogla", 3),
];
/// The number of large accounts, which come first.
const LARGE_ACCOUNTS: usize = 3;
/// The number of shops of an account that is not large.
const SMALL_SHOPS: usize = 2;
/// The number of notes of a shop.
const SHOP_NOTES: usize = 2;
/// The length of the instructions of an account, in tokens.
const INSTRUCTION_TOKENS: u64 = 2_000;
/// The length of a snow report, in tokens.
const REPORT_TOKENS: u64 = 4_000;
/// The kinds of work with their shares of the requests, in percent.
const KIND_SHARES: [(WorkKind, u32); 5] = [
    (WorkKind::Advice, 30),
    (WorkKind::Quotation, 15),
    (WorkKind::Order, 5),
    (WorkKind::Draft, 30),
    (WorkKind::Classify, 20),
];

impl Population {
    /// Creates the population of a workload.
    pub const fn new(workload: &Workload) -> Self {
        Self {
            shops: workload.shops,
        }
    }

    /// Returns the names of the accounts.
    pub fn accounts() -> Vec<String> {
        ACCOUNT_SHARES
            .iter()
            .map(|(name, _)| (*name).to_owned())
            .collect()
    }

    /// Returns all prompt levels, with random lengths.
    pub fn levels(&self, rng: &mut Rng) -> PromptLevels {
        let mut levels = PromptLevels::new();
        for report in ["snow1", "snow2"] {
            levels.insert(report, REPORT_TOKENS);
        }
        for account in 0..ACCOUNT_SHARES.len() {
            levels.insert(&instructions_name(account), INSTRUCTION_TOKENS);
            for shop in 0..self.shops_of(account) {
                levels.insert(&shop_name(account, shop), rng.u64(1_500..2_500));
                for note in 0..SHOP_NOTES {
                    levels.insert(&note_name(account, shop, note), rng.u64(800..2_000));
                }
            }
        }
        levels
    }

    /// Returns a random request, of the given account and kind if there are any.
    pub fn random_request(
        &self,
        rng: &mut Rng,
        account: Option<usize>,
        kind: Option<WorkKind>,
    ) -> TraceRequest {
        let account =
            account.unwrap_or_else(|| weighted_index(rng, &ACCOUNT_SHARES.map(|(_, share)| share)));
        let kind = kind.unwrap_or_else(|| {
            KIND_SHARES[weighted_index(rng, &KIND_SHARES.map(|(_, share)| share))].0
        });
        let shop = rng.usize(..self.shops_of(account));
        let note = rng.usize(..SHOP_NOTES);
        let levels = vec![
            instructions_name(account),
            shop_name(account, shop),
            note_name(account, shop, note),
        ];
        TraceRequest {
            account: ACCOUNT_SHARES[account].0.to_owned(),
            kind,
            worth: worth(kind),
            ttft_limit: ttft_limit(kind),
            output: rng.u64(output(kind)),
            levels,
            unique_tokens: rng.u64(60..300),
            poison: false,
        }
    }

    const fn shops_of(&self, account: usize) -> usize {
        if account < LARGE_ACCOUNTS {
            self.shops
        } else {
            SMALL_SHOPS
        }
    }
}

fn instructions_name(account: usize) -> String {
    format!("h{account}")
}

fn shop_name(account: usize, shop: usize) -> String {
    format!("s{account}.{shop}")
}

fn note_name(account: usize, shop: usize, note: usize) -> String {
    format!("n{account}.{shop}.{note}")
}

/// Returns a random index, with probabilities in proportion to `shares`.
fn weighted_index<const N: usize>(rng: &mut Rng, shares: &[u32; N]) -> usize {
    let total: u32 = shares.iter().sum();
    let mut rest = rng.u32(..total);
    for (index, share) in shares.iter().enumerate() {
        if rest < *share {
            return index;
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

/// Returns the longest time to first token that callers accept, in milliseconds.
const fn ttft_limit(kind: WorkKind) -> u64 {
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
