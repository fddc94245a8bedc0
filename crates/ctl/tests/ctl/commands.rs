//! Tests of the subcommands for documents, admissions and charges.

use crate::support::{ctl, run, start_environment, write_file};

/// Guards against a check that stops at the first fault of a document, and against messages without a remedy for a
/// wrong path or argument.
#[test]
fn check_prints_every_fault_and_bad_arguments_end_with_exit_code_2() {
    // Arrange
    let folder = std::env::temp_dir().join(format!("wasabipierctl-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    let path = folder.join("faulty.ini");
    std::fs::write(&path, "[environment]\nname = production\nseats = 0\n[pipeline plan]\nstages = encoder\n")
        .expect("the file can be written");

    // Act
    let checked = run(&["check", path.to_str().unwrap_or_default()]);
    let missing = run(&["check", "/no/such.ini"]);
    let unknown = run(&["take-out", "zone", "khomas-a"]);
    let help = run(&["--help"]);
    let _ = std::fs::remove_dir_all(&folder);

    // Assert
    assert_eq!(checked.code, Some(2), "{checked:?}");
    assert!(checked.stderr.contains("wasabipierctl: [environment] seats:"), "{checked:?}");
    assert!(checked.stderr.contains("wasabipierctl: [pipeline plan] stages: no service `encoder`"), "{checked:?}");
    assert!(missing.code == Some(2) && missing.stderr.contains("check the path"), "{missing:?}");
    assert!(unknown.code == Some(2) && unknown.stderr.contains("`data-centre` or `target`"), "{unknown:?}");
    assert!(help.code == Some(0) && help.stdout.contains("Error codes:"), "{help:?}");
}

/// Guards against a configuration that is sent with an error because the check ended with code 0, and against differences
/// that are not shown.
#[test]
fn check_relay_shows_errors_and_differences_and_ends_with_exit_code_2_for_errors() {
    // Arrange
    let folder = std::env::temp_dir().join(format!("wasabipierctl-relay-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder can be made");
    let write = |name: &str, version: u32, service: &str| {
        let path = folder.join(name);
        let text = format!(
            r#"{{"version":{version},"routes":[{{"name":"r-1","host":"nets.example","prefix":"/plan/","kind":"streaming",
            "timeoutMs":8000,"service":"{service}"}}],"services":[{{"name":"model"}}]}}"#
        );
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().unwrap_or_default().to_owned()
    };
    let (sound, faulty, broken) = (write("sound", 7, "model"), write("faulty", 8, "gone"), folder.join("broken"));
    std::fs::write(&broken, "{").expect("the file can be written");

    // Act
    let valid = run(&["check-relay", &sound]);
    let compared = run(&["check-relay", &faulty, "--in-force", &sound, "--json"]);
    let undecodable = run(&["check-relay", broken.to_str().unwrap_or_default()]);
    let _ = std::fs::remove_dir_all(&folder);

    // Assert
    assert!(valid.code == Some(0) && valid.stdout.contains("sound: valid"), "{valid:?}");
    let report: serde_json::Value = serde_json::from_str(&compared.stdout).expect("the report is JSON");
    assert_eq!((compared.code, &report["findings"][0]["place"]), (Some(2), &"route `r-1`".into()), "{compared:?}");
    assert_eq!(report["differences"][0], serde_json::json!({ "kind": "changed", "place": "route `r-1`" }));
    assert!(undecodable.code == Some(2) && undecodable.stderr.contains("line 1"), "{undecodable:?}");
}

/// Guards against a lost change when two operators edit the same revision: the second promotion would undo the first,
/// so the second one is refused. A wrong key is refused too, and the message names the flag for the key file.
#[test]
fn promote_refuses_a_document_made_from_an_older_revision() {
    // Arrange
    let env = start_environment();
    let printed = ctl(&env, &["document"]);
    let path = write_file(&env, "edited.ini", &(printed.stdout.clone() + "[organisation herons]\n"));
    let path = path.to_str().unwrap_or_default();

    // Act
    let first = ctl(&env, &["promote", path, "--author", "anna"]);
    let second = ctl(&env, &["promote", path, "--author", "ben"]);
    let status = ctl(&env, &["status"]);
    let wrong_key = write_file(&env, "wrong.key", "not-the-operators-key");
    let node = env.nodes[0].caller_address.to_string();
    let refused = run(&["-n", &node, "-k", wrong_key.to_str().unwrap_or_default(), "status"]);

    // Assert
    assert!(printed.stdout.starts_with("; revision 1\n"), "{printed:?}");
    assert_eq!(first.code, Some(0), "{first:?}");
    assert!(first.stdout.contains("revision 2: in force at 3 of 3 nodes"), "{first:?}");
    assert_eq!(second.code, Some(3), "{second:?}");
    assert!(second.stderr.contains("revision 2 by anna"), "{second:?}");
    assert!(status.stdout.contains("revision 2 by anna, in force at 3 of 3 nodes"), "{status:?}");
    assert!(refused.code == Some(1) && refused.stderr.contains("--key-file"), "{refused:?}");
}

/// Guards against calls that run in a data centre after it was taken out. Taking it out again changes nothing, and
/// `bring-back` succeeds.
#[test]
fn no_call_runs_in_a_data_centre_that_is_taken_out() {
    // Arrange
    let env = start_environment();

    // Act
    let out = ctl(&env, &["take-out", "data-centre", "khomas-b"]);
    let runs_before = env.count_runs("clubs", "club-1") + env.count_runs("clubs", "club-2");
    let answers: Vec<_> = (1..=2).map(|n| env.ask(n, "services/clubs", &format!("club-{n}"), "{}")).collect();
    let status = ctl(&env, &["status"]);
    let repeated = ctl(&env, &["take-out", "data-centre", "khomas-b"]);
    let back = ctl(&env, &["bring-back", "data-centre", "khomas-b"]);
    let unknown = ctl(&env, &["take-out", "data-centre", "khomas-x"]);

    // Assert
    assert!(out.code == Some(0) && out.stdout.contains("khomas-b is out"), "{out:?}");
    assert_eq!(runs_before, 0);
    for answer in &answers {
        let reply = answer.final_reply.as_ref().expect("a final reply");
        let serving_dcs = reply.charges.iter().map(|charge| env.targets[&charge.target].dc.as_str());
        assert!(serving_dcs.clone().count() == 1 && serving_dcs.clone().all(|dc| dc != "khomas-b"), "{answer:?}");
    }
    let listed = status.stdout.lines().find(|line| line.starts_with("khomas-b")).unwrap_or_default();
    assert!(listed.ends_with("out"), "{status:?}");
    assert!(repeated.stdout.contains("already"), "{repeated:?}");
    assert!(back.code == Some(0) && back.stdout.contains("khomas-b is back"), "{back:?}");
    assert!(unknown.code == Some(2) && unknown.stderr.contains("use one of khomas-a"), "{unknown:?}");
}

/// Guards against charges that are missing or belong to another request: the ledger holds the charges of two requests.
#[test]
fn charges_prints_only_the_charges_of_the_given_request() {
    // Arrange
    let env = start_environment();
    assert_eq!(env.ask(0, "pipelines/season-plan", "plan-1", r#"{"prompt":"p"}"#).outcome(), "done");
    assert_eq!(env.ask(1, "services/clubs", "club-1", "{}").outcome(), "done");

    // Act
    env.wait_until("the charges are written", |env| {
        ctl(env, &["charges", "lions", "plan-1"]).stdout.contains("4 charges of lions/plan-1")
    });
    let found = ctl(&env, &["charges", "lions", "plan-1"]);
    let none = ctl(&env, &["charges", "lions", "plan-2"]);

    // Assert
    let charge_lines: Vec<_> = found.stdout.lines().filter(|line| line.contains(" node entry-1 stage ")).collect();
    assert_eq!(charge_lines.len(), 4, "{found:?}");
    assert!(charge_lines[3].contains("coachmodel") && charge_lines[3].starts_with("20"), "{found:?}");
    assert!(none.code == Some(0) && none.stdout.starts_with("no charges of lions/plan-2"), "{none:?}");
}

/// Guards against a first stage that runs and is billed although the only target of a later stage is taken out.
#[test]
fn request_without_a_target_is_refused_before_any_stage_runs() {
    // Arrange
    let env = start_environment();
    let out = ctl(&env, &["take-out", "target", "reranker-1"]);

    // Act
    let answer = env.ask(1, "pipelines/season-plan", "plan-1", "{}");

    // Assert
    assert!(out.stdout.contains("service reranker has no target left"), "{out:?}");
    let error = answer.final_reply.as_ref().and_then(|reply| reply.error.clone());
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{answer:?}");
    assert_eq!(error.map(|error| error.kind), Some("no-target".to_owned()));
    assert_eq!(env.count_runs("encoder", "plan-1"), 0);
}
