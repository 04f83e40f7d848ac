//! Session tokens and keys that come from clients.

use googletest::prelude::*;
use tanagerdeal_wire::key::CallerKey;
use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::name::MAX_NAME_BYTES;
use tanagerdeal_wire::token::{GroupWatermark, MAX_TOKEN_BYTES, SessionToken, TokenError};
use tanagerdeal_wire::{CustomerName, GroupName};

const SECRET: &[u8] = b"fleet-secret";

fn customer(name: &str) -> CustomerName {
    CustomerName::new(name).unwrap()
}

fn token() -> SessionToken {
    let position = LogPosition { term: 3, offset: 1_000 };
    let group = GroupName::new("orders-1").unwrap();
    let watermarks = vec![GroupWatermark { group, position }];
    SessionToken { customer: customer("quarry"), watermarks }
}

/// Guards against a watermark that a client has changed: no single changed character is accepted.
#[gtest]
fn a_changed_token_is_refused() {
    let text = token().seal(SECRET);
    for place in 0..text.len() {
        let mut changed = text.clone().into_bytes();
        changed[place] = if changed[place] == b'A' { b'B' } else { b'A' };
        let changed = String::from_utf8(changed).unwrap();
        let opened = SessionToken::open(&changed, SECRET, &customer("quarry"));
        expect_that!(opened, err(anything()), "character {place}");
    }
}

/// Guards against a token of one customer, or of another fleet, in the hands of another.
#[gtest]
fn a_token_is_bound_to_customer_and_fleet() {
    let text = token().seal(SECRET);
    let foreign = SessionToken::open(&text, SECRET, &customer("kennel"));
    expect_that!(foreign, err(eq(&TokenError::Foreign)));
    let forged = SessionToken::open(&text, b"other-secret", &customer("quarry"));
    expect_that!(forged, err(eq(&TokenError::Forged)));
    expect_that!(SessionToken::open(&text, SECRET, &customer("quarry")), ok(eq(&token())));
}

/// Guards against input that costs memory or ends the process before its signature is checked.
#[gtest]
fn malformed_tokens_are_refused() {
    let long = "A".repeat(MAX_TOKEN_BYTES + 1);
    for text in ["", "A", "not base64!", "AAAA", long.as_str()] {
        let opened = SessionToken::open(text, SECRET, &customer("quarry"));
        expect_that!(opened, err(eq(&TokenError::Malformed)), "{} bytes", text.len());
    }
}

/// Guards against names that could break a table key, a log line or a certificate name.
#[gtest]
fn names_have_few_characters() {
    let long = "a".repeat(MAX_NAME_BYTES + 1);
    for name in ["", "a/b", "a b", "a\n", "ä", "a'b", long.as_str()] {
        expect_that!(CustomerName::new(name), err(anything()), "{name:?}");
    }
    expect_that!(CustomerName::new(&"a".repeat(MAX_NAME_BYTES)), ok(anything()));
}

/// Guards against a secret that is cut at the wrong dot: names may hold dots, secrets may not.
#[gtest]
fn a_key_is_split_at_its_last_dot() {
    let key = CallerKey::parse("yard.2026.s3cret").unwrap();
    expect_that!(key.name().unwrap().as_str(), eq("yard.2026"));
    for password in ["", ".", "k.", ".s", "secret"] {
        expect_that!(CallerKey::parse(password).is_err(), eq(true), "{password:?}");
    }
}
