//! The cost of the key look-up and the rate limit of a call, and of building the table of tenants for a new
//! configuration.

#![allow(missing_docs)] // The macro of criterion generates a public function without documentation.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{criterion_group, criterion_main, Criterion};
use quillhatch_mesh::limits::{report_period, LimitBounds, LocalLimits};
use quillhatch_mesh::tenants::{RateLimit, Tenant, TenantTable};
use quillhatch_types::Timestamp;

const TENANTS: usize = 1000;
const KEYS: usize = 10;
const NODES: usize = 82;

fn key(tenant: usize, number: usize) -> String {
    format!("key-{tenant:06}-{number:08}")
}

fn table() -> TenantTable {
    let mut table = TenantTable::default();
    for number in 0..TENANTS {
        let limit = Some(RateLimit { rate: 20.0, burst: 20.0 });
        let tenant = Arc::new(Tenant { name: Arc::from(format!("tenant{number}")), priority: 0, limit });
        for index in 0..KEYS {
            table.add_key(&tenant, key(number, index).as_bytes());
        }
        table.add(tenant);
    }
    table
}

fn per_call(criterion: &mut Criterion) {
    let table = table();
    let keys: Vec<String> = (0..TENANTS).map(|number| key(number, number % KEYS)).collect();
    let bounds = LimitBounds { window: Duration::from_secs(5), tolerance: 0.25, slack: 20.0 };
    let mut limits = LocalLimits::new(bounds);
    let mut call = 0;
    criterion.bench_function("key, tenant and limit of a call", |bencher| {
        bencher.iter(|| {
            call += 1;
            let key = &keys[call % keys.len()];
            let tenant = table.tenant_by_key(black_box(key.as_bytes())).expect("a tenant");
            let now = Timestamp(call as u64 * 100);
            limits.admit(tenant, NODES, report_period(NODES), 0.5, now)
        });
    });
    criterion.bench_function("an unknown key", |bencher| {
        bencher.iter(|| table.tenant_by_key(black_box(b"key-that-nobody-has")));
    });
}

fn per_configuration(criterion: &mut Criterion) {
    criterion.bench_function("a table of 1,000 tenants with 10 keys each", |bencher| bencher.iter(table));
}

criterion_group!(benches, per_call, per_configuration);
criterion_main!(benches);
