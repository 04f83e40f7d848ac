//! Settings files and their errors.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal::settings::{HostSettings, SETTINGS};
use tempfile::TempDir;

struct SettingsTest {
    directory: TempDir,
}

impl SettingsTest {
    fn new() -> Self {
        let directory = TempDir::new().unwrap();
        std::fs::write(directory.path().join("file"), "content").unwrap();
        Self { directory }
    }

    fn write(&self, change: impl Fn(String) -> String) -> PathBuf {
        let file = self.directory.path().join("file").display().to_string();
        let text = format!(
            "[host]\nname = h1\ndomain = d1\n\
             [listen]\ncallers = 127.0.0.1:1\npeers = 127.0.0.1:2\nadmin = 127.0.0.1:3\n\
             [platform]\naddress = 127.0.0.1:4\n\
             [fleet]\nsecret_file = {file}\npeer_certificate_file = {file}\n\
             peer_key_file = {file}\npeer_ca_file = {file}\n\
             [tls]\nrequire_tls = no\n\
             [endpoint]\nuser = service\npassword_file = {file}\n"
        );
        let path = self.directory.path().join("host.ini");
        std::fs::write(&path, change(text)).unwrap();
        path
    }

    fn error(&self, change: impl Fn(String) -> String) -> String {
        let path = self.write(change);
        let error = HostSettings::load(&path).unwrap_err().to_string();
        let file = format!("{}: ", path.display());
        error.strip_prefix(&file).expect("the error names the file").to_owned()
    }
}

/// Guards against errors that do not name section and key.
#[test]
fn errors_name_section_and_key() {
    let test = SettingsTest::new();
    let add = |line: &'static str| move |text: String| text + line;
    let cases = [
        (test.error(add("[limits]\nmax_sesions = 1\n")), "[limits] max_sesions: unknown key"),
        (test.error(add("[limit]\nmax_sessions = 1\n")), "[limit] max_sessions: unknown section"),
        (test.error(add("[timing]\nprobe_interval_ms = 1s\n")), "[timing] probe_interval_ms: "),
        (test.error(add("[timing]\nloan_valid_ms = 99999999999\n")), "[timing] loan_valid_ms: "),
        (test.error(add("[policy]\nreads = none\n")), "[policy] reads: \"none\" is none of"),
        (test.error(add("[log]\nlevel = loud\n")), "[log] level: "),
        (test.error(|text| text.replace("name = h1", "name = h 1")), "[host] name: "),
        (test.error(|text| text.replace("name = h1\n", "")), "[host] name: is missing"),
        (test.error(|text| text.replace("require_tls = no", "")), "[tls] certificate_file: "),
        (test.error(|text| text.replace("127.0.0.1:2", "nowhere")), "[listen] peers: "),
        (test.error(|text| text.replace("user = service", "user =")), "[endpoint] user: "),
    ];
    for (error, expected) in cases {
        assert_that!(error, starts_with(expected));
    }
    let missing = test.error(|text| text.replace("password_file = ", "password_file = /no/"));
    assert_that!(missing, starts_with("[endpoint] password_file: /no/"));
}

/// Guards against documented defaults that are not those in effect.
#[test]
fn defaults_are_those_of_the_core() {
    let test = SettingsTest::new();
    let settings = HostSettings::load(&test.write(|text| text)).unwrap();
    assert_eq!(settings.timing, tanagerdeal_core::profile::HostTiming::default());
    assert_eq!(settings.policies, tanagerdeal_core::profile::HostPolicies::default());
    assert_eq!(settings.limits.startup_timeout, Duration::from_secs(10));
}

/// Guards against a reload that silently ignores a change.
#[test]
fn changes_that_need_a_restart_are_told_apart() {
    let test = SettingsTest::new();
    let first = HostSettings::load(&test.write(|text| text)).unwrap();
    let live = "[timing]\nprobe_interval_ms = 1\n[policy]\nreads = primary\n[log]\nlevel = debug\n";
    let second = HostSettings::load(&test.write(|text| text + live)).unwrap();
    assert!(!first.needs_restart(&second));
    let third = HostSettings::load(&test.write(|text| text + "[limits]\nmax_sessions = 5\n"));
    assert!(first.needs_restart(&third.unwrap()));
}

/// Guards against exit codes and output that scripts cannot rely on.
#[test]
fn the_commands_report_by_exit_code() {
    let binary = env!("CARGO_BIN_EXE_tanagerdeal");
    let run = |arguments: &[&str]| Command::new(binary).args(arguments).output().unwrap();
    let test = SettingsTest::new();
    let bad = test.write(|text| text + "[log]\nlevel = loud\n");
    let output = run(&["check", "--config", &bad.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(text.lines().count(), 1);
    assert_that!(text, contains_substring("[log] level"));
    assert_eq!(run(&["check", "--config", "no-such-file"]).status.code(), Some(2));
    assert_eq!(run(&["run", "--config", "no-such-file"]).status.code(), Some(2));
    assert_eq!(run(&["unknown"]).status.code(), Some(2));
    let output = run(&["settings"]);
    let text = String::from_utf8(output.stdout).unwrap();
    for entry in SETTINGS {
        assert_that!(text, contains_substring(format!("[{}] {}", entry.section, entry.key)));
    }
    assert!(run(&["man"]).status.success());
    assert!(run(&["completions", "bash"]).status.success());
}
