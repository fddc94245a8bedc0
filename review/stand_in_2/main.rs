//! Plays a case of the review: `world CASE FOLDER`. Ends with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run. With `TROUBLE=0` in the environment, the case is played without its disruption.

mod brittle;
mod client;
mod cold_start;
mod deadly_cut;
mod deadly_part;
mod header_limit;
mod http;
mod json;
mod node;
mod path;
mod record;
mod server;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    NotRun,
}

/// What a case is played with.
pub struct Stage {
    /// Folder for settings and logs of nodes.
    pub work: PathBuf,
    pub record: record::Record,
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: world CASE FOLDER");
        return ExitCode::from(2);
    };
    let work = std::env::temp_dir().join(format!("wasabipier-review-{}", std::process::id()));
    let record = record::Record::create(&Path::new(folder).join("record.txt"));
    let (Ok(()), Ok(record)) = (std::fs::create_dir_all(&work), record) else { return ExitCode::from(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = Stage { work: work.clone(), record: record.clone(), has_trouble };
    record.line(&format!("{case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "brittle" => brittle::play(&stage),
        "cold-start" => cold_start::play(&stage),
        "deadly-cut" => deadly_cut::play(&stage),
        "deadly-part" => deadly_part::play(&stage),
        "header-limit" => header_limit::play(&stage),
        _ => Verdict::NotRun,
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&work);
    }
    let (text, code) = match verdict {
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::Held => ("the rule held", 0),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.line(text);
    println!("{text}");
    ExitCode::from(code)
}
