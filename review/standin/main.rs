//! Plays one case of the review: `standin CASE ROOT FOLDER RECORD TROUBLE`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod config;
mod http;
mod json;
mod record;
mod router;
mod server;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use record::Record;
use router::Place;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
}

/// Error of a case that could not run.
pub type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record, trouble] = words.as_slice() else {
        eprintln!("usage: standin CASE ROOT FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    let place = Place { root: PathBuf::from(root), folder: PathBuf::from(folder) };
    match cases::run(case, &place, &record, trouble != "0") {
        Ok(Verdict::Held) => {
            record.add("verdict", "held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.add("verdict", "broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.add("verdict", &format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
