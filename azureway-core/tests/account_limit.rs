//! Tests of what a request costs under the limit of a client account.

mod support;

use azureway_core::prelude::*;
use googletest::prelude::*;

use support::*;

#[gtest]
fn a_request_costs_what_its_limit_counts() {
    let tokens = AccountLimit::new(1_000).with_uncounted(TokenCount::new(200));
    let requests = tokens.with_unit(LimitUnit::Requests);
    let mut request = RouterFixture::new(1, 1).request("small", &["house"]);
    expect_that!(tokens.cost(&request), eq(200));
    expect_that!(requests.cost(&request), eq(1));
    request.usage = Some(TokenCount::new(1_540));
    expect_that!(tokens.cost(&request), eq(1_540));
    expect_that!(requests.cost(&request), eq(1));
}
