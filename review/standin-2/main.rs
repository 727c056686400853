//! Stand-ins of the platform, servers and clients for the scripts of this review.

mod crowd;
mod desk;
mod growth;
mod host;
mod util;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = PathBuf::from(folder).join("record.txt");
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        return ExitCode::from(2);
    }
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "crowd" => crowd::run(&scratch, trouble),
        "growth" => growth::run(&scratch, trouble),
        _ => util::Report { lines: vec![format!("no case {case}")], broken: None },
    });
    let _ = std::fs::remove_dir_all(&scratch);
    let Ok(report) = outcome else { return ExitCode::from(2) };
    let mut text = report.lines.join("\n");
    text.push('\n');
    if std::fs::write(&record, &text).is_err() {
        return ExitCode::from(2);
    }
    let last = report.lines.last().cloned().unwrap_or_default();
    println!("{last}");
    match report.broken {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
