//! The tokio runtime shared by all stand-ins of a process.

use std::sync::OnceLock;

use tokio::runtime::{Builder, Handle, Runtime};

/// Worker threads; handlers never block, so a few are enough for hundreds of stand-ins.
const WORKER_THREADS: usize = 4;

/// Handle of the shared runtime, which is started on first use and lives as long as the process.
///
/// # Panics
///
/// When the operating system refuses the threads.
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
