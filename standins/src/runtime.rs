//! The tokio runtime shared by all stand-ins of a process.

use std::sync::OnceLock;

use tokio::runtime::{Builder, Handle, Runtime};

/// Handlers never block, so that a few worker threads are enough for hundreds of stand-ins.
const WORKER_THREADS: usize = 4;

/// Returns the shared runtime, which is started by the first call and runs until the process ends.
///
/// # Panics
///
/// The runtime cannot be started, such as when the operating system refuses its threads.
#[must_use]
pub fn shared_runtime() -> &'static Handle {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME
        .get_or_init(|| {
            Builder::new_multi_thread()
                .worker_threads(WORKER_THREADS)
                .thread_name("standins")
                .enable_all()
                .build()
                .expect("the runtime of the stand-ins can be started")
        })
        .handle()
}
