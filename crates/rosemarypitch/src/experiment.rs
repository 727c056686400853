//! Runs experiments, many at once, and prints their measures.

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

/// Experiments that run at once.
const WORKERS: usize = 5;

/// One cell of a table: the same plan under several seeds.
struct Cell {
    name: String,
    plan: Plan,
}

/// Means over a cell's seeds.
#[derive(Debug, Serialize)]
struct CellResult {
    name: String,
    seeds: usize,
    capacity: f64,
    goodput: f64,
    met: f64,
    worst: f64,
    first_p95_ms: f64,
    pace_p95_ms: f64,
    wasted: f64,
    full: f64,
    limited: f64,
    wrongful: f64,
    failed: f64,
    /// Part met by each customer.
    customers: BTreeMap<String, f64>,
}

/// Runs one plan, or the table of `{"base": PLAN, "cells": {NAME: CHANGES}}`.
pub fn run(options: &ExperimentOptions) -> Result<(), Failure> {
    let failed = |error| Failure::File(options.file.clone(), error);
    let text = fs::read_to_string(&options.file).map_err(failed)?;
    let value: Value =
        serde_json::from_str(&text).map_err(|error| Failure::Usage(error.to_string()))?;
    let cells = cells(&value)?;
    let results = run_cells(&cells, options.seeds)?;
    if options.as_json {
        let text = serde_json::to_string_pretty(&results);
        println!("{}", text.map_err(|error| Failure::System(error.to_string()))?);
    } else {
        print_table(&results);
    }
    Ok(())
}

fn cells(value: &Value) -> Result<Vec<Cell>, Failure> {
    let (Some(base), Some(changes)) = (value.get("base"), value["cells"].as_object()) else {
        return Ok(vec![cell("plan", value)?]);
    };
    let mut cells = Vec::new();
    for (name, change) in changes {
        let mut plan = base.as_object().cloned().unwrap_or_else(Map::new);
        plan.extend(change.as_object().cloned().unwrap_or_default());
        cells.push(cell(name, &Value::Object(plan))?);
    }
    Ok(cells)
}

fn cell(name: &str, plan: &Value) -> Result<Cell, Failure> {
    let plan = Plan::parse(&plan.to_string());
    let plan = plan.map_err(|error| Failure::Usage(format!("{name}: {error}")))?;
    Ok(Cell { name: name.to_owned(), plan })
}

fn run_cells(cells: &[Cell], seeds: u64) -> Result<Vec<CellResult>, Failure> {
    let runs: Vec<(usize, Plan)> = cells
        .iter()
        .enumerate()
        .flat_map(|(index, cell)| {
            (0..seeds)
                .map(move |seed| (index, Plan { seed: cell.plan.seed + seed, ..cell.plan.clone() }))
        })
        .collect();
    let next = AtomicUsize::new(0);
    let reports: Mutex<Vec<(usize, Report)>> = Mutex::default();
    let failure: Mutex<Option<Failure>> = Mutex::default();
    thread::scope(|scope| {
        for _ in 0..WORKERS.min(runs.len()) {
            scope.spawn(|| {
                while let Some((index, plan)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match rosemarypitch_experiment::run(plan) {
                        Ok(report) => locked(&reports).push((*index, report)),
                        Err(error) => {
                            *locked(&failure) = Some(Failure::Usage(error.to_string()));
                        }
                    }
                }
            });
        }
    });
    if let Some(failure) = locked(&failure).take() {
        return Err(failure);
    }
    let reports = std::mem::take(&mut *locked(&reports));
    let of_cell = |index: usize| {
        let own: Vec<&Report> =
            reports.iter().filter(|(of, _)| *of == index).map(|(_, report)| report).collect();
        mean(&cells[index].name, &own)
    };
    Ok((0..cells.len()).map(of_cell).collect())
}

fn locked<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn mean(name: &str, reports: &[&Report]) -> CellResult {
    let count = reports.len().max(1) as f64;
    let mean = |value: fn(&Report) -> f64| reports.iter().map(|r| value(r)).sum::<f64>() / count;
    let mut customers: BTreeMap<String, f64> = BTreeMap::new();
    for report in reports {
        for (customer, own) in &report.customers {
            let met = own.good as f64 / own.sent.max(1) as f64;
            *customers.entry(customer.clone()).or_default() += met / count;
        }
    }
    CellResult {
        name: name.to_owned(),
        seeds: reports.len(),
        capacity: mean(|r| r.capacity),
        goodput: mean(|r| r.goodput),
        met: mean(|r| r.met),
        worst: mean(|r| r.worst),
        first_p95_ms: mean(|r| r.first_p95_ms),
        pace_p95_ms: mean(|r| r.pace_p95_ms),
        wasted: mean(|r| r.wasted),
        full: mean(|r| r.full as f64 / r.sent.max(1) as f64),
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
            r.met * 100.0,
            r.worst * 100.0,
            r.first_p95_ms,
            r.pace_p95_ms,
            r.wasted * 100.0,
            r.full * 100.0,
            r.limited * 100.0,
            r.wrongful * 100.0,
            r.failed * 100.0,
        );
    }
}
