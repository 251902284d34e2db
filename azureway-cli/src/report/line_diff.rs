//! A line diff.

use std::fmt;

/// The difference between two texts, line by line, along their longest common subsequence.
#[derive(Clone, Debug)]
pub(super) struct LineDiff<'a> {
    lines: Vec<(char, &'a str)>,
}

impl<'a> LineDiff<'a> {
    pub(super) fn new(before: &'a str, after: &'a str) -> Self {
        let (old, new): (Vec<&str>, Vec<&str>) =
            (before.lines().collect(), after.lines().collect());
        let lengths = lcs_lengths(&old, &new);
        let (mut i, mut j, mut lines) = (0, 0, Vec::new());
        while i < old.len() || j < new.len() {
            if i < old.len() && j < new.len() && old[i] == new[j] {
                lines.push((' ', old[i]));
                (i, j) = (i + 1, j + 1);
            } else if j == new.len() || (i < old.len() && lengths[i + 1][j] >= lengths[i][j + 1]) {
                lines.push(('-', old[i]));
                i += 1;
            } else {
                lines.push(('+', new[j]));
                j += 1;
            }
        }
        Self { lines }
    }
}

/// Returns a table whose cell `[i][j]` is the length of the longest common subsequence of
/// `old[i..]` and `new[j..]`.
fn lcs_lengths(old: &[&str], new: &[&str]) -> Vec<Vec<usize>> {
    let mut lengths = vec![vec![0; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    lengths
}

impl fmt::Display for LineDiff<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = self.lines.iter();
        lines.try_for_each(|(sign, line)| writeln!(f, "{sign} {line}"))
    }
}
