//! Commands and options.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

/// A router for separate prefill and decode pools.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// How operators' commands reach a host.
    #[command(flatten)]
    pub admin: AdminOptions,
    /// The command.
    #[command(subcommand)]
    pub command: Command,
}

/// How operators' commands reach a host.
#[derive(Args, Debug)]
pub struct AdminOptions {
    /// Operators' address of any host.
    #[arg(long, global = true, env = "ROSEMARYPITCH_ADMIN", default_value = "127.0.0.1:8081")]
    pub admin: SocketAddr,
    /// File with an operator's key; ROSEMARYPITCH_KEY is used without one.
    #[arg(long, global = true)]
    pub key_file: Option<PathBuf>,
    /// Print JSON for scripts.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run an entry host.
    Serve(SettingsOptions),
    /// Run a router on the operators' platform.
    Router(RouterOptions),
    /// Say what is wrong with a settings file.
    Check(SettingsOptions),
    /// Run a stand-in for a system around the router.
    #[command(subcommand)]
    Standin(StandinCommand),
    /// Show the whole path inside one process.
    Demo(DemoOptions),
    /// Send load to a running host.
    Load(LoadOptions),
    /// Run hosts on a paused clock under a seeded load, and measure.
    Experiment(ExperimentOptions),
    /// Measure what control costs as the fleet grows.
    Capacity(CapacityOptions),
    /// Read and patch the configuration.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// List and create customers.
    #[command(subcommand)]
    Customer(CustomerCommand),
    /// Create, list and withdraw keys.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Raise limits.
    #[command(subcommand)]
    Limit(LimitCommand),
    /// Let upstreams leave and come back.
    #[command(subcommand)]
    Upstream(UpstreamCommand),
    /// Show hosts, upstreams and configuration numbers.
    Status,
    /// Print the OpenAPI document of the operators' interface.
    Openapi,
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// A settings file with overrides.
#[derive(Args, Debug)]
pub struct SettingsOptions {
    /// Settings file, JSON.
    pub file: PathBuf,
    /// Overrides a field, such as `log.level=debug`.
    #[arg(long = "set", value_name = "PATH=VALUE")]
    pub overrides: Vec<String>,
}

/// Options of a router.
#[derive(Args, Debug)]
pub struct RouterOptions {
    /// The platform's settings file; by default the one that the environment names.
    #[arg(long)]
    pub settings: Option<PathBuf>,
    /// Settings of queueing and placing, JSON.
    #[arg(long)]
    pub tuning: Option<PathBuf>,
    /// Least severe level that is logged.
    #[arg(long, default_value = "info")]
    pub log: String,
    /// Only say what is wrong with the settings.
    #[arg(long)]
    pub check: bool,
}

/// Stand-ins.
#[derive(Debug, Subcommand)]
pub enum StandinCommand {
    /// A model engine.
    Engine {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Speeds and sizes, JSON.
        #[arg(long, default_value = "{}")]
        shape: String,
    },
    /// A plain service.
    Service {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
    /// The platform's key-value service.
    Platform {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Age of the list of hosts, in milliseconds.
        #[arg(long, default_value_t = 500)]
        list_lag_ms: u64,
    },
}

/// Options of the demo.
#[derive(Args, Debug)]
pub struct DemoOptions {
    /// Completions to send.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub requests: u32,
}

/// Options of the load command.
#[derive(Args, Debug)]
pub struct LoadOptions {
    /// Description of the load, JSON.
    pub file: PathBuf,
    /// Callers' address of a host.
    #[arg(long)]
    pub target: SocketAddr,
    /// File for the result, JSON; standard output without one.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// File for a plot of goodput and latency over time, SVG.
    #[arg(long)]
    pub plot: Option<PathBuf>,
    /// Show no progress bar.
    #[arg(long)]
    pub quiet: bool,
}

/// Options of experiments.
#[derive(Args, Debug)]
pub struct ExperimentOptions {
    /// One experiment, or a table of many, JSON.
    pub file: PathBuf,
    /// Seeds of each cell; they count up from the plan's own.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    pub seeds: u64,
    /// Print JSON in place of a table.
    #[arg(long = "as-json")]
    pub as_json: bool,
}

/// Options of the capacity command.
#[derive(Args, Debug)]
pub struct CapacityOptions {
    /// Hosts of each run.
    #[arg(long, value_delimiter = ',', default_value = "4,8,16,32,64,128")]
    pub hosts: Vec<usize>,
    /// Customers of each run.
    #[arg(long, value_delimiter = ',', default_value = "5,50,350")]
    pub customers: Vec<usize>,
    /// Requests a second of each host; 0 measures idle hosts.
    #[arg(long, default_value_t = 6.7)]
    pub rate: f64,
    /// Time between heartbeats, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub heartbeat_ms: u64,
}

/// Commands on the configuration.
#[derive(Debug, Subcommand)]
pub enum ConfigCommand {
    /// Print the document.
    Show,
    /// Say what is wrong with a document in a file.
    Check {
        /// The document, JSON.
        file: PathBuf,
    },
    /// Apply a patch.
    Patch {
        /// Merge patch, or JSON patch if it is a list; `-` reads standard input.
        file: PathBuf,
        /// Number that the patch is against; the one in force without it.
        #[arg(long)]
        number: Option<u64>,
        /// Identifier by which a repeat learns the outcome.
        #[arg(long)]
        id: Option<String>,
    },
    /// Print the last accepted patches.
    History,
}

/// Commands on customers.
#[derive(Debug, Subcommand)]
pub enum CustomerCommand {
    /// Print all customers.
    List,
    /// Create a customer, or change one.
    Put {
        /// Its name.
        name: String,
        /// Tokens per second.
        #[arg(long)]
        rate: u64,
        /// Tokens that may be taken at once.
        #[arg(long)]
        burst: u64,
        /// Class of its requests: short or long.
        #[arg(long, default_value = "short", value_parser = ["short", "long"])]
        class: String,
    },
}

/// Commands on keys.
#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Make a key and print its secret, this once.
    Create {
        /// The customer.
        customer: String,
        /// Note on who holds it.
        #[arg(long, default_value = "")]
        label: String,
    },
    /// Print digests of a customer's keys.
    List {
        /// The customer.
        customer: String,
    },
    /// Withdraw a key.
    Withdraw {
        /// The customer.
        customer: String,
        /// Digest of the key.
        digest: String,
    },
    /// Print the digest of a key read from standard input, for settings.
    Digest,
}

/// Commands on limits.
#[derive(Debug, Subcommand)]
pub enum LimitCommand {
    /// Raise a customer's limit.
    Raise {
        /// The customer.
        customer: String,
        /// Tokens per second.
        #[arg(long)]
        rate: u64,
        /// Tokens that may be taken at once.
        #[arg(long)]
        burst: u64,
    },
}

/// Commands on upstreams.
#[derive(Debug, Subcommand)]
pub enum UpstreamCommand {
    /// Send an upstream nothing new from now on.
    Leave {
        /// Its name.
        name: String,
    },
    /// Send an upstream work again.
    Return {
        /// Its name.
        name: String,
    },
}
