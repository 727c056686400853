//! Cases of a review: the product's processes with stand-ins of clients, servers and the store.
//!
//! Use: `standin CASE FOLDER`, from the root of the repository. It writes `record.txt` in the
//! folder and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` in the environment there is no disruption.

mod client;
mod host;
mod late_entry;
mod leavers;
mod server;
mod store;
mod util;
mod versions;

use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().expect("record").write_all(line.as_bytes());
    }
}

/// What a case is given.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

impl Case {
    pub fn note(&self, text: impl AsRef<str>) {
        self.record.note(text);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("use: standin CASE FOLDER");
        std::process::exit(2);
    };
    let run: fn(&Case) -> Verdict = match name.as_str() {
        "late-entry" => late_entry::run,
        "leavers-drill" => leavers::drill,
        "mixed-versions" => versions::mixed,
        "unknown-version" => versions::unknown,
        _ => {
            eprintln!("no case {name}");
            std::process::exit(2);
        }
    };
    let file = match File::create(Path::new(folder).join("record.txt")) {
        Ok(file) => Arc::new(Mutex::new(file)),
        Err(error) => {
            eprintln!("{folder}/record.txt: {error}");
            std::process::exit(2);
        }
    };
    let temporary = std::env::temp_dir().join(format!("case-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&temporary) {
        eprintln!("{}: {error}", temporary.display());
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record { file, start: Instant::now() };
    let case = Case { record, folder: temporary.clone(), trouble };
    case.note(format!("case {name} trouble={trouble}"));
    let verdict = run(&case);
    case.note(format!("verdict: {verdict:?}"));
    println!("{name}: trouble={trouble} {verdict:?}");
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    } else {
        println!("logs: {}", temporary.display());
    }
    std::process::exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
