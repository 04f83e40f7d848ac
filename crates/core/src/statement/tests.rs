//! Tests of the classes of SQL texts.

use googletest::prelude::*;

use super::{StatementClass, classify};

fn is_rejected(sql: &str) -> bool {
    matches!(classify(sql), StatementClass::Rejected { .. })
}

/// Guards against writes that reach a replica, or run twice because they were taken for reads.
#[gtest]
fn hidden_writes_are_writes() {
    for sql in [
        "WITH x AS (INSERT INTO a VALUES (1) RETURNING id) SELECT * FROM x",
        "WITH x AS (UPDATE a SET b = 1 RETURNING id) SELECT * FROM x",
        "WITH x AS (DELETE FROM a RETURNING id) SELECT * FROM x",
        "SELECT nextval('s')",
        "SELECT * FROM setval('s', 1)",
        "SELECT pg_catalog.nextval('s')",
        "SELECT 1 WHERE EXISTS (SELECT myschema.lower('x'))",
        "SELECT \"lower\"('x')",
        "SELECT set_config('a.b', 'c', false)",
        "SELECT * FROM a FOR UPDATE",
        "SELECT * FROM (SELECT * FROM a FOR NO KEY UPDATE) b",
        "SELECT * FROM a FOR KEY SHARE",
        "SELECT 1 INTO b",
        "SELECT pg_advisory_xact_lock(1)",
        "CALL p()",
        "DO $$ BEGIN PERFORM 1; END $$",
        "EXPLAIN ANALYZE DELETE FROM a",
        "this is not SQL",
        "SELECT 'unterminated",
    ] {
        expect_that!(classify(sql), eq(&StatementClass::Write), "{sql}");
    }
}

/// Guards against plain reads that only the primary serves.
#[gtest]
fn plain_queries_are_reads() {
    for sql in [
        "SELECT 1",
        "select count(*), max(a) from b where c in (1, 2) group by d having count(*) > 1;",
        "WITH x AS (SELECT id FROM a) SELECT * FROM x JOIN b USING (id)",
        "SELECT 'insert into a; COMMIT' AS t -- for update",
        "VALUES (1), (2)",
        "SELECT pg_catalog.lower(name) FROM a WHERE id = $1",
        "SELECT row_number() OVER (PARTITION BY a ORDER BY b) FROM c",
        "SELECT a::numeric(10, 2) FROM b",
        "SHOW server_version",
    ] {
        expect_that!(classify(sql), eq(&StatementClass::Read), "{sql}");
    }
}

/// Guards against transaction control that leaves the proxy's view of a transaction.
#[gtest]
fn transaction_control_is_recognised() {
    use StatementClass::*;
    for (sql, class) in [
        ("BEGIN", Begin { read_only: false }),
        ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", Begin { read_only: true }),
        ("BEGIN READ ONLY, READ WRITE", Begin { read_only: false }),
        ("COMMIT AND NO CHAIN", Commit),
        ("END", Commit),
        ("ABORT", Rollback),
        ("ROLLBACK WORK TO SAVEPOINT a", InTransaction),
        ("SAVEPOINT a", InTransaction),
        ("SET LOCAL work_mem = '1MB'", InTransaction),
        ("SET TRANSACTION READ ONLY", InTransaction),
        ("SET search_path = a, b", SessionSetting),
        ("DISCARD ALL", SessionSetting),
        ("BEGIN; SELECT 1; INSERT INTO a VALUES (1); COMMIT", Write),
        ("BEGIN READ ONLY; SELECT 1; COMMIT;", Read),
        (" ; -- nothing", Empty),
    ] {
        expect_that!(classify(sql), eq(&class), "{sql}");
    }
    expect_true!(is_rejected("COMMIT AND CHAIN"));
}

/// Guards against session state that would leak to, or be lost by, sessions sharing a connection.
#[gtest]
fn session_bound_features_are_rejected() {
    for sql in [
        "LISTEN a",
        "NOTIFY a, 'b'",
        "UNLISTEN *",
        "CREATE TEMPORARY TABLE a (b int)",
        "create local temp table a (b int)",
        "SELECT 1 INTO TEMP a",
        "SELECT pg_try_advisory_lock(1)",
        "SELECT pg_catalog.\"pg_advisory_lock\"(1)",
        "COPY a FROM STDIN",
        "PREPARE a AS SELECT 1",
        "EXECUTE a",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "SELECT 1; SELECT 2",
        "BEGIN; SELECT 1",
        "BEGIN; COMMIT; DELETE FROM a; COMMIT",
        "BEGIN; SET search_path = b; COMMIT",
        "BEGIN; LISTEN a; COMMIT",
        "DELETE FROM public.\"tanagerdeal_requests\"",
        "SET standard_conforming_strings = off",
    ] {
        expect_true!(is_rejected(sql), "{sql}");
    }
}

/// Guards against settings of the proxy that reach an endpoint, or lose part of their value.
#[gtest]
fn proxy_settings_are_recognised() {
    let set = |name: &str, value: &str| StatementClass::SetProxySetting {
        name: name.to_owned(),
        value: value.to_owned(),
    };
    let cases = [
        ("SET tanagerdeal.max_read_age_ms = 500", set("tanagerdeal.max_read_age_ms", "500")),
        ("SET SESSION Tanagerdeal.Repeatable TO on", set("tanagerdeal.repeatable", "on")),
        ("SET tanagerdeal.shard_key = 'a b'", set("tanagerdeal.shard_key", "a b")),
        ("SET tanagerdeal.deadline_ms = -1", set("tanagerdeal.deadline_ms", "-1")),
        ("RESET tanagerdeal.shard_key", set("tanagerdeal.shard_key", "")),
        ("SET tanagerdeal.shard_key TO DEFAULT", set("tanagerdeal.shard_key", "")),
    ];
    for (sql, class) in cases {
        expect_that!(classify(sql), eq(&class), "{sql}");
    }
    let shown = StatementClass::ShowProxySetting { name: "tanagerdeal.session_token".to_owned() };
    expect_that!(classify("SHOW tanagerdeal.session_token"), eq(&shown));
    expect_true!(is_rejected("SET LOCAL tanagerdeal.shard_key = 'a'"));
    expect_true!(is_rejected("SET tanagerdeal.shard_key = 'a', 'b'"));
}
