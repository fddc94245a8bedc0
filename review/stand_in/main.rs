//! Runs one case of the review: `case NAME FOLDER`. The record goes to FOLDER/record.txt. With `TROUBLE=0` in the environment
//! the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod bad_version;
mod crashing_request;
mod deployment;
mod foreign_entries;
mod foreign_inputs;
mod http;
mod json;
mod revoked_keys;
mod store;

use std::path::Path;
use std::process::exit;
use std::thread;
use std::time::Duration;

use deployment::{Record, SetupResult, kill_all};

/// Time after which a case that has not ended is given up.
const MAX_TIME: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: case NAME FOLDER");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.note(&format!("case {name}, {} the disruption", if has_trouble { "with" } else { "without" }));
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        eprintln!("the case took too long");
        kill_all();
        exit(2);
    });
    let result: SetupResult<Vec<String>> = match name.as_str() {
        "revoked-keys" => revoked_keys::run(&record, has_trouble),
        "bad-version" => bad_version::run(&record, has_trouble),
        "crashing-request" => crashing_request::run(&record, has_trouble),
        "foreign-entries" => foreign_entries::run(&record, has_trouble),
        "foreign-inputs" => foreign_inputs::run(&record, has_trouble),
        _ => Err(format!("there is no case {name}")),
    };
    match result {
        Ok(breaks) => {
            for line in breaks.iter().take(20) {
                println!("{line}");
            }
            record.note(&format!("breaks of the rule: {}", breaks.len()));
            println!("{}: {} breaks of the rule", name, breaks.len());
            exit(i32::from(!breaks.is_empty()));
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            record.note(&format!("could not run: {error}"));
            kill_all();
            exit(2);
        }
    }
}
