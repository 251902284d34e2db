//! Small helpers without a type of their own.

/// The most edits between an unknown name and the known one that is proposed for it.
const NEAR_EDITS: usize = 3;

/// Returns the known name that is nearest to `name`, if one is near.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let best = known.iter().map(|k| (edits(name, k), *k)).min()?;
    (best.0 <= NEAR_EDITS).then_some(best.1)
}

/// Returns the number of letters to insert, delete or replace to make `a` into `b`.
fn edits(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let replace = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
