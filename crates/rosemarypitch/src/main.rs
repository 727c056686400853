//! The `rosemarypitch` program: parses the command line and runs the selected command.

mod admin;
mod admin_client;
mod capacity;
mod cli;
mod client;
mod demo;
mod experiment;
mod failure;
mod load;
mod logging;
mod plot;
mod router;
mod run;
mod standin;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::{Cli, Command};
use crate::failure::Failure;

fn main() -> ExitCode {
    let cli = Cli::parse();
    match dispatch(cli) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("rosemarypitch: {failure}");
            failure.exit_code()
        }
    }
}

fn dispatch(cli: Cli) -> Result<(), Failure> {
    match cli.command {
        Command::Serve(settings) => run::serve(&settings),
        Command::Router(options) => router::run(&options),
        Command::Check(settings) => run::check(&settings),
        Command::Standin(kind) => standin::run(kind),
        Command::Demo(options) => demo::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Experiment(options) => experiment::run(&options),
        Command::Capacity(options) => capacity::run(&options),
        Command::Config(command) => admin::config(&cli.admin, command),
        Command::Customer(command) => admin::customer(&cli.admin, command),
        Command::Key(command) => admin::key(&cli.admin, command),
        Command::Limit(command) => admin::limit(&cli.admin, command),
        Command::Upstream(command) => admin::upstream(&cli.admin, command),
        Command::Status => admin::status(&cli.admin),
        Command::Openapi => run::openapi(),
        Command::Completions { shell } => {
            run::completions(shell);
            Ok(())
        }
    }
}
