//! The command line of rosemarypitch.

mod admin_client;
mod caller;
mod capacity;
mod cli;
mod demo;
mod experiment;
mod failure;
mod load;
mod logging;
mod operate;
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
        Command::Config(command) => operate::config(&cli.admin, command),
        Command::Customer(command) => operate::customer(&cli.admin, command),
        Command::Key(command) => operate::key(&cli.admin, command),
        Command::Limit(command) => operate::limit(&cli.admin, command),
        Command::Upstream(command) => operate::upstream(&cli.admin, command),
        Command::Status => operate::status(&cli.admin),
        Command::Openapi => run::openapi(),
        Command::Completions { shell } => {
            run::completions(shell);
            Ok(())
        }
    }
}
