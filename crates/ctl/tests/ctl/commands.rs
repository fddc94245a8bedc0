//! Documents, places and charges.

use crate::support::{ctl, environment, run, write};

#[test]
fn names_every_fault_of_a_document_and_of_the_command_line() {
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
    assert!(checked.errors.contains("wasabipierctl: [environment] seats:"), "{checked:?}");
    assert!(checked.errors.contains("wasabipierctl: [pipeline plan] stages: no service `encoder`"), "{checked:?}");
    assert!(missing.code == Some(2) && missing.errors.contains("check the path"), "{missing:?}");
    assert!(unknown.code == Some(2) && unknown.errors.contains("`data-centre` or `target`"), "{unknown:?}");
    assert!(help.code == Some(0) && help.out.contains("Error codes:"), "{help:?}");
}

#[test]
fn promotes_and_refuses_a_document_made_from_an_older_revision() {
    // Arrange
    let env = environment();
    let printed = ctl(&env, &["document"]);
    let path = write(&env, "edited.ini", &(printed.out.clone() + "[organisation herons]\n"));
    let path = path.to_str().unwrap_or_default();

    // Act
    let first = ctl(&env, &["promote", path, "--author", "anna"]);
    let second = ctl(&env, &["promote", path, "--author", "ben"]);
    let status = ctl(&env, &["status"]);
    let wrong_key = write(&env, "wrong.key", "not-the-operators-key");
    let node = env.nodes[0].caller_address.to_string();
    let refused = run(&["-n", &node, "-k", wrong_key.to_str().unwrap_or_default(), "status"]);

    // Assert
    assert!(printed.out.starts_with("; revision 1\n"), "{printed:?}");
    assert_eq!(first.code, Some(0), "{first:?}");
    assert!(first.out.contains("revision 2: in force at 3 of 3 nodes"), "{first:?}");
    assert_eq!(second.code, Some(3), "{second:?}");
    assert!(second.errors.contains("revision 2 by anna"), "{second:?}");
    assert!(status.out.contains("revision 2 by anna, in force at 3 of 3 nodes"), "{status:?}");
    assert!(refused.code == Some(1) && refused.errors.contains("--key-file"), "{refused:?}");
}

#[test]
fn takes_a_data_centre_out_and_brings_it_back() {
    // Arrange
    let env = environment();

    // Act
    let out = ctl(&env, &["take-out", "data-centre", "khomas-b"]);
    let before = env.runs("clubs", "club-1") + env.runs("clubs", "club-2");
    let answers: Vec<_> = (1..=2).map(|n| env.ask(n, "services/clubs", &format!("club-{n}"), "{}")).collect();
    let status = ctl(&env, &["status"]);
    let again = ctl(&env, &["take-out", "data-centre", "khomas-b"]);
    let back = ctl(&env, &["bring-back", "data-centre", "khomas-b"]);
    let unknown = ctl(&env, &["take-out", "data-centre", "khomas-x"]);

    // Assert
    assert!(out.code == Some(0) && out.out.contains("khomas-b is out"), "{out:?}");
    assert_eq!(before, 0);
    for answer in &answers {
        let end = answer.end.as_ref().expect("a last line");
        let served = end.charges.iter().map(|charge| env.targets[&charge.target].dc.as_str());
        assert!(served.clone().count() == 1 && served.clone().all(|dc| dc != "khomas-b"), "{answer:?}");
    }
    let listed = status.out.lines().find(|line| line.starts_with("khomas-b")).unwrap_or_default();
    assert!(listed.ends_with("out"), "{status:?}");
    assert!(again.out.contains("already"), "{again:?}");
    assert!(back.code == Some(0) && back.out.contains("khomas-b is back"), "{back:?}");
    assert!(unknown.code == Some(2) && unknown.errors.contains("use one of khomas-a"), "{unknown:?}");
}

#[test]
fn finds_the_charges_of_one_request() {
    // Arrange
    let env = environment();
    assert_eq!(env.ask(0, "pipelines/season-plan", "plan-1", r#"{"prompt":"p"}"#).outcome(), "done");
    assert_eq!(env.ask(1, "services/clubs", "club-1", "{}").outcome(), "done");

    // Act
    env.wait_until("the charges are written", |env| {
        ctl(env, &["charges", "lions", "plan-1"]).out.contains("4 charges of lions/plan-1")
    });
    let found = ctl(&env, &["charges", "lions", "plan-1"]);
    let none = ctl(&env, &["charges", "lions", "plan-2"]);

    // Assert
    let stages: Vec<_> = found.out.lines().filter(|line| line.contains(" node entry-1 stage ")).collect();
    assert_eq!(stages.len(), 4, "{found:?}");
    assert!(stages[3].contains("coachmodel") && stages[3].starts_with("20"), "{found:?}");
    assert!(none.code == Some(0) && none.out.starts_with("no charges of lions/plan-2"), "{none:?}");
}

#[test]
fn request_without_a_target_is_refused_before_any_stage_runs() {
    // Arrange
    let env = environment();
    let out = ctl(&env, &["take-out", "target", "reranker-1"]);

    // Act
    let answer = env.ask(1, "pipelines/season-plan", "plan-1", "{}");

    // Assert
    assert!(out.out.contains("service reranker has no target left"), "{out:?}");
    let error = answer.end.as_ref().and_then(|end| end.error.clone());
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"), "{answer:?}");
    assert_eq!(error.map(|error| error.kind), Some("no-target".to_owned()));
    assert_eq!(env.runs("encoder", "plan-1"), 0);
}
