//! The `experiment` command: runs simulations in parallel and prints mean results per plan.

use std::collections::BTreeMap;
use std::fs;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use rosemarypitch_experiment::{Plan, Report};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::cli::ExperimentOptions;
use crate::failure::Failure;

/// Number of simulations that run at the same time.
const WORKERS: usize = 5;

/// A named plan, which is run under several seeds.
struct Cell {
    name: String,
    plan: Plan,
}

/// Means over the runs of a cell.
#[derive(Debug, Serialize)]
struct CellResult {
    name: String,
    /// Number of runs.
    seeds: usize,
    /// Requests per second that the engines can serve.
    capacity: f64,
    /// Requests per second that met both latency targets.
    goodput: f64,
    /// Fraction of requests that met both latency targets.
    #[serde(rename = "met")]
    good_ratio: f64,
    /// Smallest such fraction of any customer.
    #[serde(rename = "worst")]
    worst_ratio: f64,
    /// 95th percentile of the time to first token, in milliseconds.
    #[serde(rename = "first_p95_ms")]
    ttft_p95_ms: f64,
    /// 95th percentile of the mean time between tokens, in milliseconds.
    #[serde(rename = "pace_p95_ms")]
    tpot_p95_ms: f64,
    /// Fraction of prefilled tokens that no decode used.
    wasted: f64,
    /// Fraction of requests rejected for lack of engine capacity.
    #[serde(rename = "full")]
    unavailable: f64,
    /// Fraction of requests rejected by the rate limit.
    limited: f64,
    /// Fraction of requests rejected by the rate limit that an exact token bucket would admit.
    wrongful: f64,
    /// Fraction of requests that failed in another way.
    failed: f64,
    /// Fraction of each customer's requests that met both latency targets.
    customers: BTreeMap<String, f64>,
}

/// Runs one plan, or every cell of `{"base": PLAN, "cells": {NAME: CHANGES}}`, where the fields
/// of CHANGES replace those of PLAN.
pub fn run(options: &ExperimentOptions) -> Result<(), Failure> {
    let file_failure = |error| Failure::File(options.file.clone(), error);
    let text = fs::read_to_string(&options.file).map_err(file_failure)?;
    let value: Value =
        serde_json::from_str(&text).map_err(|error| Failure::Usage(error.to_string()))?;
    let cells = parse_cells(&value)?;
    let results = run_cells(&cells, options.seeds)?;
    if options.as_json {
        let text = serde_json::to_string_pretty(&results);
        println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    } else {
        print_table(&results);
    }
    Ok(())
}

fn parse_cells(value: &Value) -> Result<Vec<Cell>, Failure> {
    let (Some(base), Some(variants)) = (value.get("base"), value["cells"].as_object()) else {
        return Ok(vec![parse_cell("plan", value)?]);
    };
    let mut cells = Vec::new();
    for (name, changes) in variants {
        let mut plan = base.as_object().cloned().unwrap_or_else(Map::new);
        plan.extend(changes.as_object().cloned().unwrap_or_default());
        cells.push(parse_cell(name, &Value::Object(plan))?);
    }
    Ok(cells)
}

fn parse_cell(name: &str, plan: &Value) -> Result<Cell, Failure> {
    let plan = Plan::parse(&plan.to_string());
    let plan = plan.map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    Ok(Cell { name: name.to_owned(), plan })
}

/// Runs each cell under `seeds` consecutive seeds on a pool of threads.
fn run_cells(cells: &[Cell], seeds: u64) -> Result<Vec<CellResult>, Failure> {
    let runs: Vec<(usize, Plan)> = cells
        .iter()
        .enumerate()
        .flat_map(|(index, cell)| {
            (0..seeds)
                .map(move |seed| (index, Plan { seed: cell.plan.seed + seed, ..cell.plan.clone() }))
        })
        .collect();
    let next_run = AtomicUsize::new(0);
    let reports: Mutex<Vec<(usize, Report)>> = Mutex::default();
    let failure: Mutex<Option<Failure>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..WORKERS.min(runs.len()) {
            scope.spawn(|| {
                while let Some((index, plan)) = runs.get(next_run.fetch_add(1, Ordering::Relaxed)) {
                    match rosemarypitch_experiment::run(plan) {
                        Ok(report) => lock(&reports).push((*index, report)),
                        Err(error) => {
                            *lock(&failure) = Some(Failure::Usage(error.to_string()));
                        }
                    }
                }
            });
        }
    });
    if let Some(failure) = lock(&failure).take() {
        return Err(failure);
    }
    let reports = std::mem::take(&mut *lock(&reports));
    let cell_result = |index: usize| {
        let cell_reports: Vec<&Report> = reports
            .iter()
            .filter(|(cell_index, _)| *cell_index == index)
            .map(|(_, report)| report)
            .collect();
        summarize(&cells[index].name, &cell_reports)
    };
    Ok((0..cells.len()).map(cell_result).collect())
}

/// Locks a mutex, also after a thread panicked while holding it.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Averages the reports of one cell.
fn summarize(name: &str, reports: &[&Report]) -> CellResult {
    let count = reports.len().max(1) as f64;
    let mean = |value: fn(&Report) -> f64| reports.iter().map(|r| value(r)).sum::<f64>() / count;
    let mut customers: BTreeMap<String, f64> = BTreeMap::new();
    for report in reports {
        for (customer, customer_report) in &report.customers {
            let good_ratio = customer_report.good as f64 / customer_report.sent.max(1) as f64;
            *customers.entry(customer.clone()).or_default() += good_ratio / count;
        }
    }
    CellResult {
        name: name.to_owned(),
        seeds: reports.len(),
        capacity: mean(|r| r.capacity),
        goodput: mean(|r| r.goodput),
        good_ratio: mean(|r| r.good_ratio),
        worst_ratio: mean(|r| r.worst_ratio),
        ttft_p95_ms: mean(|r| r.ttft_p95_ms),
        tpot_p95_ms: mean(|r| r.tpot_p95_ms),
        wasted: mean(|r| r.wasted),
        unavailable: mean(|r| r.unavailable as f64 / r.sent.max(1) as f64),
        limited: mean(|r| r.limited as f64 / r.sent.max(1) as f64),
        wrongful: mean(|r| r.wrongful as f64 / r.sent.max(1) as f64),
        failed: mean(|r| r.failed as f64 / r.sent.max(1) as f64),
        customers,
    }
}

fn print_table(results: &[CellResult]) {
    println!(
        "| cell | seeds | capacity /s | goodput /s | met % | worst customer % | first p95 ms \
         | pace p95 ms | wasted % | full % | limited % | wrongful % | failed % |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for r in results {
        println!(
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} | {:.2} | {:.2} | {:.2} | {:.3} | {:.2} |",
            r.name,
            r.seeds,
            r.capacity,
            r.goodput,
            r.good_ratio * 100.0,
            r.worst_ratio * 100.0,
            r.ttft_p95_ms,
            r.tpot_p95_ms,
            r.wasted * 100.0,
            r.unavailable * 100.0,
            r.limited * 100.0,
            r.wrongful * 100.0,
            r.failed * 100.0,
        );
    }
}
