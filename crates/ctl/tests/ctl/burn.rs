//! Tests of `wasabipierctl burn` against running nodes.

use serde_json::Value;
use wasabipier_fakes::faults::FaultSettings;

use crate::support::{ctl, start_environment};

/// Returns the row of a subject in the JSON report.
fn find_row<'a>(report: &'a Value, scope: &str, name: &str) -> &'a Value {
    let rows = report["rows"].as_array().expect("rows");
    let found = rows.iter().find(|row| row["scope"] == scope && row["name"] == name);
    found.unwrap_or_else(|| panic!("no row {scope} {name} in {report}"))
}

/// Guards against a report that looks complete without the counts of a killed node: it names that node and ends with
/// exit code 5. A request for an unknown pipeline is the caller's own fault and is not counted.
#[test]
fn burn_report_sums_all_nodes_and_names_a_killed_node() {
    // Arrange
    let mut env = start_environment();
    let targets = env.targets.values().filter(|target| target.service == "clubs");
    for node in 0..3 {
        assert_eq!(env.ask(node, "services/clubs", &format!("good-{node}"), "{}").outcome(), "done");
    }
    for target in targets {
        target.state().faults.set(FaultSettings { down: true, ..FaultSettings::default() });
    }
    assert_ne!(env.ask(1, "services/clubs", "bad", "{}").outcome(), "done");
    assert_eq!(env.ask(1, "pipelines/no-such", "own-fault", "{}").status, 404);
    let picture = env.folder().join("burn.svg");

    // Act
    let json = ctl(&env, &["burn", "--json"]);
    let svg_run = ctl(&env, &["burn", "--svg", picture.to_str().unwrap_or_default()]);
    env.kill(2);
    let partial = ctl(&env, &["burn"]);

    // Assert
    let report: Value = serde_json::from_str(&json.stdout).expect("JSON");
    for (scope, name) in [("environment", "production"), ("organisation", "lions"), ("route", "clubs")] {
        let row = find_row(&report, scope, name);
        assert_eq!((&row["events"], &row["bad"]), (&4.into(), &1.into()), "{row}");
        assert_eq!(row["alerts"][0]["raised"], true, "{row}");
    }
    assert!(find_row(&report, "stage", "clubs")["bad"].as_u64() >= Some(1), "{report}");
    let svg = std::fs::read_to_string(&picture).unwrap_or_default();
    assert!(svg_run.code == Some(0) && svg.starts_with("<svg") && svg.contains(">lions</text>"), "{svg_run:?}");
    assert_eq!(partial.code, Some(5), "{partial:?}");
    assert!(partial.stdout.contains("2 of 3 nodes answered"), "{partial:?}");
    assert!(partial.stderr.contains("wasabipierctl: no answer from entry-3"), "{partial:?}");
}
