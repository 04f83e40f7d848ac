//! Settings of a host that coordinates through the platform's store.

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal::ledger::{SiteSettings, SiteSettingsError};
use tanagerdeal_core::ledger::pooling::FeatureMode;

/// Settings with those lines of `extra` in place of, or beside, the required ones.
fn parse(extra: &str) -> std::result::Result<SiteSettings, SiteSettingsError> {
    SiteSettings::parse(&format!(
        "[host]\nname = h1\ndomain = d1\ndomains = d1,d2\n\
         [platform]\nstore = 127.0.0.1:4\ncontrol = 127.0.0.1:5\n\
         [listen]\ncallers = 127.0.0.1:1\nadmin = 127.0.0.1:2\npeers = 127.0.0.1:3\n{extra}"
    ))
}

/// Guards against a settings file of an earlier build that is refused, and against a host that
/// forwards statements without an address for them.
#[gtest]
fn settings_without_pooling_stay_valid() {
    let settings = parse("").unwrap();
    expect_that!(settings.forwarding, none());
    expect_that!(settings.processor, eq(1_000));
    expect_that!(settings.pooling, eq(FeatureMode::Auto));
    expect_that!(settings.scheduling, eq(FeatureMode::Auto));
    let empty = "forwarding =\n[limits]\nprocessor =\n[endpoints]\npooling =\nscheduling =\n";
    expect_that!(parse(empty).unwrap(), eq(&settings));
}

/// Guards against a setting that has no effect.
#[gtest]
fn settings_of_pooling_are_read() {
    let settings = parse(
        "forwarding = 127.0.0.1:6\n[limits]\nprocessor = 0.25\n\
         [endpoints]\npooling = on\nscheduling = off\n",
    )
    .unwrap();
    expect_that!(settings.forwarding, some(eq("127.0.0.1:6".parse().unwrap())));
    expect_that!(settings.processor, eq(250));
    expect_that!(settings.pooling, eq(FeatureMode::On));
    expect_that!(settings.scheduling, eq(FeatureMode::Off));
}

/// Guards against the ends of the range of a processor being refused.
#[gtest]
fn the_bounds_of_the_processor_are_valid() {
    expect_that!(parse("[limits]\nprocessor = 0.001\n").unwrap().processor, eq(1));
    expect_that!(parse("[limits]\nprocessor = 1024\n").unwrap().processor, eq(1_024_000));
}

/// Guards against a bad value that is taken for a default, and against an error that does not name
/// the setting, the value and what is valid.
#[gtest]
fn bad_settings_of_pooling_are_refused() {
    let cases = [
        ("forwarding = 127.0.0.1\n", "[listen] forwarding = \"127.0.0.1\": ", "socket address"),
        ("[limits]\nprocessor = 0\n", "[limits] processor = \"0\": ", "between 0.001 and 1024"),
        ("[limits]\nprocessor = -1\n", "[limits] processor = \"-1\": ", "between 0.001 and 1024"),
        ("[limits]\nprocessor = 1025\n", "[limits] processor = \"1025\": ", "0.001 and 1024"),
        ("[limits]\nprocessor = NaN\n", "[limits] processor = \"NaN\": ", "between 0.001 and 1024"),
        ("[limits]\nprocessor = half\n", "[limits] processor = \"half\": ", "invalid float"),
        ("[endpoints]\npooling = yes\n", "[endpoints] pooling = \"yes\": ", "auto, on or off"),
        ("[endpoints]\nscheduling = 1\n", "[endpoints] scheduling = \"1\": ", "auto, on or off"),
    ];
    for (extra, name, limits) in cases {
        let error = parse(extra).unwrap_err().to_string();
        expect_that!(error, all!(starts_with(name), contains_substring(limits)));
    }
}

/// Guards against a process that ends at each start, as the platform gives a fraction for a figure
/// (review/14).
#[gtest]
fn every_figure_may_be_a_fraction() {
    let settings = parse(
        "[limits]\nshutdown_s = 6.5\ndescriptors = 4200.0\nlink_mbps = 1000.5\nprocessor = 0.25\n\
         config_apply_ms = 3000.5\ndrain_ms = 7000.5\nrate_overage = 0.1\nrate_slack = 20.5\n\
         rate_window_s = 5.5\n[duties]\nlease_ms = 6000.5\nusage_window_s = 2.5\n\
         usage_late_s = 5.5\n",
    )
    .unwrap();
    expect_that!(settings.shutdown_limit, eq(Duration::from_millis(6_500)));
    expect_that!(settings.descriptors, eq(4_200));
    expect_that!(settings.link_mbps, eq(1_000));
    expect_that!(settings.config_limit, eq(Duration::from_micros(3_000_500)));
    expect_that!(settings.registration_pause, eq(Duration::from_micros(2_600_500)));
    expect_that!(settings.duty_term, eq(Duration::from_micros(6_000_500)));
}

/// Guards against a figure without a meaning that is taken, and against an error that does not name
/// the setting, the value and the range.
#[gtest]
fn figures_out_of_their_range_are_refused() {
    let seconds = "between 0 and 86400";
    let cases = [
        ("limits", "shutdown_s", "-1", seconds),
        ("limits", "shutdown_s", "inf", seconds),
        ("limits", "config_apply_ms", "1e12", "between 0 and 86400000"),
        ("limits", "drain_ms", "NaN", "between 0 and 86400000"),
        ("limits", "rate_window_s", "86401", seconds),
        ("limits", "rate_slack", "-0.5", "between 0 and 1000000000"),
        ("duties", "lease_ms", "-1", "between 0 and 86400000"),
        ("limits", "descriptors", "many", "invalid float"),
    ];
    for (section, key, value, limits) in cases {
        let error = parse(&format!("[{section}]\n{key} = {value}\n")).unwrap_err().to_string();
        let name = format!("[{section}] {key} = ");
        expect_that!(error, all!(starts_with(name), contains_substring(limits)));
    }
}
