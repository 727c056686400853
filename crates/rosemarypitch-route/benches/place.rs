//! Time to place and finish one request, by number of engines.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rosemarypitch_route::{AttemptId, EngineInfo, EngineRole, Event, Flow, Job, Pool, PoolRules};
use tokio::time::Instant;

fn pool(engines: usize, now: Instant) -> Pool {
    let engine = |index: usize| EngineInfo {
        name: Arc::from(format!("engine-{index}")),
        role: if index.is_multiple_of(3) { EngineRole::Prefill } else { EngineRole::Decode(20) },
        data_centre: Arc::from("a"),
        leaving: false,
    };
    let mut pool = Pool::new(PoolRules::default());
    pool.step(now, Event::Engines((0..engines).map(engine).collect()));
    pool
}

fn job(now: Instant, request: u64) -> Job {
    Job {
        attempt: AttemptId { host: Arc::from("h"), incarnation: 1, request, attempt: 1 },
        flow: Flow { customer: Arc::from("c"), priority: 0 },
        weight: 1.0,
        prompt: 4_000,
        output: 100,
        blocks: vec![1, 2],
        data_centre: Arc::from("a"),
        due: now + Duration::from_millis(380),
        expires: now + Duration::from_secs(3),
    }
}

fn place(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for engines in [8, 107, 640] {
        group.bench_function(BenchmarkId::from_parameter(engines), |bencher| {
            let now = Instant::now();
            let mut pool = pool(engines, now);
            let mut request = 0;
            bencher.iter(|| {
                request += 1;
                let job = job(now, request);
                let attempt = job.attempt.clone();
                black_box(pool.step(now, Event::Arrive(job)));
                black_box(pool.step(now, Event::Finished(attempt)));
            });
        });
    }
    group.finish();
}

criterion_group!(benches, place);
criterion_main!(benches);
