//! The number of times that the platform's store was restored from a copy.

number_type! {
    /// The era of the platform's store. A restore from a copy begins the next one: the store loses
    /// what it acknowledged since the copy was made, and assigns the lost versions again.
    StoreEra
}

impl StoreEra {
    /// The last era for which fencing numbers are exact integers in JSON.
    pub const LAST: Self = Self::new((1 << 21) - 1);
}
