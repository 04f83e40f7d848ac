//! The checker as a program, over files.

use std::path::Path;
use std::process::{Command, Output};

use googletest::prelude::*;
use serde::Serialize;
use tanagerdeal_testbed::history::LineWriter;

use crate::good::{RunBuilder, SECOND_US, START_US, good_run};

fn write_lines(path: &Path, lines: &[impl Serialize]) {
    let mut writer = LineWriter::create(path).expect("a file");
    lines.iter().for_each(|line| writer.append(line).expect("a line"));
    writer.finish().expect("all lines");
}

/// Writes the files of a run and runs the checker on them.
fn check(run: &RunBuilder) -> Output {
    let directory = tempfile::tempdir().expect("a directory");
    let path = |name: &str| directory.path().join(name);
    write_lines(&path("history"), &run.files.history);
    write_lines(&path("executions"), &run.files.executions);
    write_lines(&path("operators"), &run.files.operators);
    write_lines(&path("observations"), &run.files.observations);
    let mut command = Command::new(env!("CARGO_BIN_EXE_histcheck"));
    for name in ["history", "executions", "operators", "observations"] {
        command.arg(format!("--{name}")).arg(path(name));
    }
    command.output().expect("the checker runs")
}

/// Guards against files that lose what a rule needs, and against an exit code that hides violations.
#[gtest]
fn exit_code_tells_whether_rules_held() {
    let good = check(&good_run());
    expect_that!(good.status.code(), some(eq(0)));
    expect_that!(String::from_utf8_lossy(&good.stdout), contains_substring("8 attempts"));
    let mut run = good_run();
    run.read(20, START_US + 10 * SECOND_US, 2, 0);
    let bad = check(&run);
    expect_that!(bad.status.code(), some(eq(1)));
    let text = String::from_utf8_lossy(&bad.stdout).into_owned();
    expect_that!(text, contains_substring("read_your_writes: 1 violations"));
}
