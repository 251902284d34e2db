//! The macro that defines number types.

/// Defines a number type over `u64` with ordering, display and conversion.
macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(u64);

        impl $name {
            /// The lowest value.
            pub const ZERO: Self = Self(0);

            /// Creates a value from its number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the next greater value, or the same one at the maximum.
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<u64> for $name {
            fn from(number: u64) -> Self {
                Self(number)
            }
        }
    };
}
