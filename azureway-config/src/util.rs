//! Suggestions for misspelled names.

/// The maximum edit distance between an unknown name and the known name suggested for it.
const MAX_EDIT_DISTANCE: usize = 3;

/// Returns the known name with the smallest edit distance to `name`, if one is close enough to be
/// suggested.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let best = known.iter().map(|k| (edit_distance(name, k), *k)).min()?;
    (best.0 <= MAX_EDIT_DISTANCE).then_some(best.1)
}

/// Returns the Levenshtein distance between `a` and `b`, in bytes.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let replace = diagonal + usize::from(x != y);
            diagonal = row[j + 1];
            row[j + 1] = replace.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}
