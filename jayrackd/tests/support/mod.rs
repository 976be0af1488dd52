//! Fixtures: traffic threads of daemons in one process, a backend server that counts executions, a
//! caller.
#![allow(dead_code)]

pub mod backend;
pub mod caller;
pub mod certificates;
pub mod fleet;
pub mod relay;

/// Runs `test` on a runtime with two worker threads.
pub fn block_on<T>(test: impl std::future::Future<Output = T>) -> T {
    let _ = env_logger::builder().is_test(true).try_init();
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
        .block_on(test)
}

/// Waits until `condition` holds; panics after 30,000 checks, at least 30 seconds.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..30_000 {
        if condition() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(1)).await;
    }
    panic!("{what} did not come about");
}
