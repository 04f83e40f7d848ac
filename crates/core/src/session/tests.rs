//! Tests of proxy settings and of the placement on groups.

use googletest::prelude::*;

use super::placement::{place_shard, stable_hash};
use super::setting::{SessionSettings, SettingName, is_expired_id};

/// Guards against values out of range, and against a bad value that replaces a good one.
#[gtest]
fn settings_are_checked() {
    let mut settings = SessionSettings::default();
    let cases = [
        ("max_read_age_ms", "500", &["-1", "x", "3600001", "1 s"][..]),
        ("deadline_ms", "250", &["0", "600001", ""][..2]),
        ("repeatable", "on", &["yes please"][..]),
        ("request_id", "a-1", &["it's", "a b", "\u{e9}"][..]),
    ];
    for (name, good, bad) in cases {
        let name = SettingName::parse(&format!("Tanagerdeal.{name}")).unwrap();
        expect_that!(settings.change(name, good), ok(anything()));
        for value in bad {
            expect_that!(settings.change(name, value), err(anything()), "{value}");
        }
        expect_that!(settings.show(name), eq(good));
        expect_that!(settings.change(name, ""), ok(anything()));
        expect_that!(settings.show(name), not(eq(good)));
    }
    let long = "x".repeat(257);
    expect_that!(settings.change(SettingName::ShardKey, &long), err(anything()));
    expect_that!(SettingName::parse("tanagerdeal.other"), err(anything()));
    expect_that!(SettingName::parse("search_path"), err(anything()));
}

/// Guards against an order that runs twice because its id was forgotten, and against ids without a
/// time that are refused.
#[gtest]
fn ids_older_than_a_day_are_expired() {
    // 2024-01-01 00:00:00 UTC in the first 48 bits.
    let made_ms: u64 = 1_704_067_200_000;
    let id = format!("{:08x}-{:04x}-7000-8000-000000000000", made_ms >> 16, made_ms & 0xffff);
    let day_ms = 24 * 3600 * 1000;
    expect_false!(is_expired_id(&id, made_ms + day_ms - 1));
    expect_true!(is_expired_id(&id, made_ms + day_ms));
    expect_false!(is_expired_id(&id, made_ms - 1));
    expect_false!(is_expired_id("order-17", made_ms));
    expect_false!(is_expired_id("f47ac10b-58cc-4372-a567-0e02b2c3d479", u64::MAX));
}

/// Guards against a placement that differs between hosts or versions, so that a session that roams
/// loses its data, and against uneven groups.
#[gtest]
fn placement_is_stable_and_even() {
    // Computed independently of this code.
    expect_that!(stable_hash(&["a", "b"]), eq(0xb912458b53ec5105));
    expect_that!(stable_hash(&["ab"]), not(eq(stable_hash(&["a", "b"]))));
    let groups = ["g1", "g2", "g3"];
    let keys: Vec<String> = (0..3_000).map(|number| format!("customer-{number}")).collect();
    let place = |key: &str, groups: &[&'static str]| {
        place_shard(key, groups.iter().copied()).map(|index| groups[index])
    };
    for group in groups {
        let count = keys.iter().filter(|key| place(key, &groups) == Some(group)).count();
        expect_that!(count, all!(ge(850), le(1_150)), "{group}");
    }
    let moved = keys.iter().filter(|key| {
        let after = place(key, &["g3", "g1", "g4", "g2"]);
        after != place(key, &groups) && after != Some("g4")
    });
    expect_that!(moved.count(), eq(0));
    expect_that!(place("a", &[]), none());
}
