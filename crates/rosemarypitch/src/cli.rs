//! Command-line arguments. The doc comments in this module are the program's help text.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// Routes LLM inference requests across separate prefill and decode pools.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Options of the commands that call the operators' interface of a host.
    #[command(flatten)]
    pub admin: AdminOptions,
    /// Command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of the commands that call the operators' interface of a host.
#[derive(Args, Debug)]
pub struct AdminOptions {
    /// Address of the operators' interface of any host.
    #[arg(long, global = true, env = "ROSEMARYPITCH_ADMIN", default_value = "127.0.0.1:8081")]
    pub admin: SocketAddr,
    /// File that contains an operator's key; defaults to the key in ROSEMARYPITCH_KEY.
    #[arg(long, global = true)]
    pub key_file: Option<PathBuf>,
    /// Print the result as JSON.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(SettingsOptions),
    /// Run a router on the operators' platform.
    Router(RouterOptions),
    /// Validate a settings file.
    Check(SettingsOptions),
    /// Run a simulated engine, service or platform.
    #[command(subcommand)]
    Standin(StandinCommand),
    /// Run simulated upstreams and two entry hosts in one process and send them requests.
    Demo(DemoOptions),
    /// Send an open-loop load to a running host and measure latency and goodput.
    Load(LoadOptions),
    /// Simulate hosts under a seeded load on a paused clock and measure goodput.
    Experiment(ExperimentOptions),
    /// Measure the control-plane overhead for each fleet size.
    Capacity(CapacityOptions),
    /// Show, validate and patch the configuration document.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List, create and change customers.
    #[command(subcommand)]
    Customer(CustomerCommand),
    /// Create, list, revoke and hash API keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Raise the rate limit of a customer.
    #[command(subcommand)]
    Limit(LimitCommand),
    /// Drain upstreams and put them back into service.
    #[command(subcommand)]
    Upstream(UpstreamCommand),
    /// Show hosts, upstreams and the configuration version of each host.
    Status,
    /// Print the OpenAPI document of the operators' interface.
    Openapi,
    /// Print a shell completion script.
    Completions {
        /// Shell to generate the script for.
        shell: Shell,
    },
}

/// Settings file of an entry host and overrides of its fields.
#[derive(Args, Debug)]
pub struct SettingsOptions {
    /// Settings file in JSON.
    pub file: PathBuf,
    /// Override a field of the settings, for example `log.level=debug`; may be repeated.
    #[arg(long = "set", value_name = "PATH=VALUE")]
    pub overrides: Vec<String>,
}

/// Options of the `router` command.
#[derive(Args, Debug)]
pub struct RouterOptions {
    /// Settings file written by the platform; by default the one that the environment names.
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// JSON file with the queueing and placement settings.
    #[arg(long)]
    pub tuning: Option<PathBuf>,
    /// Lowest severity that is logged.
    #[arg(long, default_value = "info")]
    pub log: String,
    /// Validate the settings and exit.
    #[arg(long)]
    pub check: bool,
}

/// Simulated systems that the router depends on.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// Run a simulated model engine.
    Engine {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Speed and capacity of the engine, in JSON.
        #[arg(long, default_value = "{}")]
        shape: String,
    },
    /// Run a simulated plain HTTP service.
    Service {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// Run a simulated platform key-value store.
    Platform {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Staleness of the host list, in milliseconds.
        #[arg(long, default_value_t = 500)]
        list_lag_ms: u64,
    },
}

/// Options of the `demo` command.
#[derive(Args, Debug)]
pub struct DemoOptions {
    /// Number of completion requests to send.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub requests: u32,
}

/// Options of the `load` command.
#[derive(Args, Debug)]
pub struct LoadOptions {
    /// JSON file that describes the load.
    pub file: PathBuf,
    /// Address at which the host accepts client requests.
    #[arg(long)]
    pub target: SocketAddr,
    /// Write the JSON result to this file instead of standard output.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Write an SVG plot of goodput and latency over time to this file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
    /// Hide the progress bar.
    #[arg(long)]
    pub quiet: bool,
}

/// Options of the `experiment` command.
#[derive(Args, Debug)]
pub struct ExperimentOptions {
    /// JSON file with one experiment plan, or with a base plan (`base`) and variants (`cells`).
    pub file: PathBuf,
    /// Number of runs per plan; each run uses the next seed, starting from the plan's seed.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Print the results as JSON instead of a table.
    #[arg(long = "as-json")]
    pub as_json: bool,
}

/// Options of the `capacity` command.
#[derive(Args, Debug)]
pub struct CapacityOptions {
    /// Numbers of hosts to measure.
    #[arg(long, value_delimiter = ',', default_value = "4,8,16,32,64,128")]
    pub hosts: Vec<usize>,
    /// Numbers of customers to measure.
    #[arg(long, value_delimiter = ',', default_value = "5,50,350")]
    pub customers: Vec<usize>,
    /// Requests per second sent to each host; 0 measures idle hosts.
    #[arg(long, default_value_t = 6.7)]
    pub rate: f64,
    /// Heartbeat interval, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub heartbeat_ms: u64,
}

/// Subcommands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the configuration document.
    Show,
    /// Validate a configuration document in a file.
    Check {
        /// Configuration document in JSON.
        file: PathBuf,
    },
    /// Apply a patch to the configuration.
    Patch {
        /// JSON merge patch, or JSON patch if the file holds an array; `-` reads standard input.
        file: PathBuf,
        /// Version of the document that the patch applies to; defaults to the current one.
        #[arg(long)]
        number: Option<u64>,
        /// Identifier that makes a retry of the same patch idempotent.
        #[arg(long)]
        id: Option<String>,
    },
    /// Print the most recently accepted patches.
    History,
}

/// Subcommands of `customer`.
#[derive(Debug, Subcommand)]
pub enum CustomerCommand {
    /// List all customers.
    List,
    /// Create a customer or change an existing one.
    Put {
        /// Name of the customer.
        name: String,
        /// Rate limit, in tokens per second.
        #[arg(long)]
        rate: u64,
        /// Burst size, in tokens.
        #[arg(long)]
        burst: u64,
        /// Latency class of the customer's requests.
        #[arg(long, default_value = "short", value_parser = ["short", "long"])]
        class: String,
    },
}

/// Subcommands of `key`.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Create a key and print its secret, which cannot be shown again.
    Create {
        /// Name of the customer.
        customer: String,
        /// Free-form note, such as the holder of the key.
        #[arg(long, default_value = "")]
        label: String,
    },
    /// List the digests and labels of a customer's keys.
    List {
        /// Name of the customer.
        customer: String,
    },
    /// Revoke a key.
    Withdraw {
        /// Name of the customer.
        customer: String,
        /// Digest of the key.
        digest: String,
    },
    /// Read a key from standard input and print its digest, as the settings require it.
    Digest,
}

/// Subcommands of `limit`.
#[derive(Debug, Subcommand)]
pub enum LimitCommand {
    /// Raise the rate limit of a customer.
    Raise {
        /// Name of the customer.
        customer: String,
        /// Rate limit, in tokens per second.
        #[arg(long)]
        rate: u64,
        /// Burst size, in tokens.
        #[arg(long)]
        burst: u64,
    },
}

/// Subcommands of `upstream`.
#[derive(Debug, Subcommand)]
pub enum UpstreamCommand {
    /// Drain an upstream: it gets no new requests.
    Leave {
        /// Name of the upstream.
        name: String,
    },
    /// Put a drained upstream back into service.
    Return {
        /// Name of the upstream.
        name: String,
    },
}
