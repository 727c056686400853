//! Prints what control costs a host, by size of the fleet.

use rosemarypitch_experiment::{ControlCostPlan, measure_control_cost};

use crate::cli::CapacityOptions;
use crate::failure::Failure;

/// Measures each size in turn; memory is that of the whole process.
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
            let s =
                measure_control_cost(&plan).map_err(|error| Failure::Usage(error.to_string()))?;
            println!(
                "| {hosts} | {customers} | {:.1} | {:.1} | {:.1} | {:.0} | {:.0} | {:.1} | {:.1} | {:.3} | {} |",
                options.rate,
                s.messages,
                s.max_messages,
                s.bytes,
                s.max_bytes,
                s.platform_reads,
                s.platform_writes,
                s.cpu * 100.0,
                s.memory_kb,
            );
        }
    }
    Ok(())
}
