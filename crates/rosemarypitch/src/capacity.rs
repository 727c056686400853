//! The `capacity` command: prints the cost of the control plane per host for each fleet size.

use rosemarypitch_experiment::{ControlCostPlan, measure_control_cost};

use crate::cli::CapacityOptions;
use crate::failure::Failure;

/// Measures every combination of customers and hosts and prints it as a row of a table.
///
/// Memory is the growth of the whole process divided by the number of hosts.
pub fn run(options: &CapacityOptions) -> Result<(), Failure> {
    println!(
        "| hosts | customers | requests/s a host | messages/s a host | most | B/s a host | most \
         | platform reads/s | platform writes/s | CPU % of a core a host | kB a host |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for customers in &options.customers {
        for hosts in &options.hosts {
            let plan = ControlCostPlan {
                hosts: *hosts,
                customers: *customers,
                rate: options.rate,
                heartbeat_ms: options.heartbeat_ms,
            };
            let cost =
                measure_control_cost(&plan).map_err(|error| Failure::Usage(error.to_string()))?;
            println!(
                "| {hosts} | {customers} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} | {:.3} | {} |",
                options.rate,
                cost.messages,
                cost.max_messages,
                cost.bytes,
                cost.max_bytes,
                cost.platform_reads,
                cost.platform_writes,
                cost.cpu * 100.0,
                cost.memory_kb,
            );
        }
    }
    Ok(())
}
