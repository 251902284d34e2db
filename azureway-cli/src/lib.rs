//! The operators' command line of azureway.
