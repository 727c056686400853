//! Log lines on standard error.

use fern::Dispatch;
use log::LevelFilter;
use rosemarypitch_config::{LogFormat, LogSettings};
use serde_json::json;

use crate::failure::Failure;

/// Starts logging; messages carry their part's prefix, such as `config:`.
pub fn start(settings: LogSettings) -> Result<(), Failure> {
    let level: LevelFilter = settings
        .level
        .parse()
        .map_err(|_| Failure::Usage(format!("log level {}", settings.level)))?;
    let dispatch = Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("rosemarypitch", level)
        .level_for("rosemarypitch_gateway", level)
        .level_for("rosemarypitch_once", level)
        .level_for("rosemarypitch_peer", level)
        .level_for("rosemarypitch_platform", level)
        .chain(std::io::stderr());
    let dispatch = match settings.format {
        LogFormat::Text => dispatch.format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            out.finish(format_args!("{time} {:5} {message}", record.level()));
        }),
        LogFormat::Json => dispatch.format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            let line = json!({
                "time": time.to_string(),
                "level": record.level().as_str(),
                "part": record.target(),
                "message": message.to_string(),
            });
            out.finish(format_args!("{line}"));
        }),
    };
    dispatch.apply().map_err(|error| Failure::System(error.to_string()))
}
