//! Runs that are shared by concurrent equal requests.
//!
//! A run produces pieces, such as those of a streamed text, and at the end a result. The run keeps all pieces, so that
//! each reader gets a whole copy from the start, whenever the reader joined and however slowly it reads. A run that has
//! ended is not joined any more, since this is not a cache. A run
//! whose last reader has left is cancelled and not joined any more.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// SHA-256 of everything that two requests must have in common to share a run.
pub type RunKey = [u8; 32];

/// Returns the digest of the fields in order. The length of each field is included, so that different lists of fields
/// never give the same digest input.
#[must_use]
pub fn run_key(fields: &[&[u8]]) -> RunKey {
    let mut digest = Sha256::new();
    for field in fields {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    digest.finalize().into()
}

/// Runs that may be joined. `P` is a piece and `R` the result of a run.
pub struct SharedRunTable<P, R> {
    /// Sorted by key.
    runs: Mutex<Vec<RunEntry<P, R>>>,
}

struct RunEntry<P, R> {
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
}

struct SharedRun<P, R> {
    state: Mutex<RunState<P, R>>,
    state_changed: Condvar,
}

struct RunState<P, R> {
    pieces: Vec<P>,
    /// Present when the run has ended.
    result: Option<Result<R, ResultCode>>,
    readers: usize,
    /// Latest deadline of all readers that joined, including those that have left.
    deadline: BootTime,
}

/// What a request gets when it joins a run.
pub struct JoinedRun<P, R> {
    /// Reader of the run from its start.
    pub reader: RunReader<P, R>,
    /// Present when `join` created the run; the caller must then execute the run and write to it.
    pub writer: Option<RunWriter<P, R>>,
}

impl<P, R> Default for SharedRunTable<P, R> {
    fn default() -> Self {
        Self { runs: Mutex::new(Vec::new()) }
    }
}

impl<P, R> SharedRunTable<P, R> {
    /// Joins the run with this key, or creates one. A later `deadline` extends that of the run.
    #[must_use]
    pub fn join(self: &Arc<Self>, key: RunKey, deadline: BootTime) -> JoinedRun<P, R> {
        let mut runs = lock(&self.runs);
        match runs.binary_search_by(|entry| entry.key.cmp(&key)) {
            Ok(position) => {
                let run = Arc::clone(&runs[position].run);
                let mut state = lock(&run.state);
                state.readers += 1;
                state.deadline = state.deadline.max(deadline);
                drop(state);
                JoinedRun { reader: self.create_reader(key, run), writer: None }
            }
            Err(position) => {
                let state = RunState { pieces: Vec::new(), result: None, readers: 1, deadline };
                let run = Arc::new(SharedRun { state: Mutex::new(state), state_changed: Condvar::new() });
                runs.insert(position, RunEntry { key, run: Arc::clone(&run) });
                let writer = RunWriter { table: Arc::clone(self), key, run: Arc::clone(&run) };
                JoinedRun { reader: self.create_reader(key, run), writer: Some(writer) }
            }
        }
    }

    /// Number of runs that may be joined.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        lock(&self.runs).len()
    }

    fn create_reader(self: &Arc<Self>, key: RunKey, run: Arc<SharedRun<P, R>>) -> RunReader<P, R> {
        RunReader { table: Arc::clone(self), key, run, next_piece: 0 }
    }

    /// Removes a run, unless another run with the same key has replaced it.
    fn remove_run(runs: &mut Vec<RunEntry<P, R>>, key: &RunKey, run: &Arc<SharedRun<P, R>>) {
        if let Ok(position) = runs.binary_search_by(|entry| entry.key.cmp(key))
            && Arc::ptr_eq(&runs[position].run, run)
        {
            runs.remove(position);
        }
    }
}

/// Locks a mutex, also a poisoned one: its state is consistent, since no code that can panic runs under the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writing end of a shared run. Dropping it without [`RunWriter::finish`] ends the run with [`ResultCode::Internal`].
pub struct RunWriter<P, R> {
    table: Arc<SharedRunTable<P, R>>,
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
}

impl<P, R> RunWriter<P, R> {
    /// Adds a piece; returns whether a reader is left. The run should stop when none is.
    #[must_use]
    pub fn push(&self, piece: P) -> bool {
        let mut state = lock(&self.run.state);
        state.pieces.push(piece);
        let is_wanted = state.readers > 0;
        drop(state);
        self.run.state_changed.notify_all();
        is_wanted
    }

    /// Ends the run; each reader gets `result` after the last piece.
    pub fn finish(self, result: Result<R, ResultCode>) {
        self.end(result);
    }

    /// Returns a watch by which the executing code checks whether the run must stop.
    #[must_use]
    pub fn watch(&self) -> RunWatch<P, R> {
        RunWatch { run: Arc::clone(&self.run) }
    }

    fn end(&self, result: Result<R, ResultCode>) {
        // The run is removed first, since a request that joined after the end would get an old result.
        SharedRunTable::remove_run(&mut lock(&self.table.runs), &self.key, &self.run);
        lock(&self.run.state).result.get_or_insert(result);
        self.run.state_changed.notify_all();
    }
}

impl<P, R> Drop for RunWriter<P, R> {
    fn drop(&mut self) {
        self.end(Err(ResultCode::Internal));
    }
}

/// Tells the code that executes a run whether the run is still wanted, and until when.
pub struct RunWatch<P, R> {
    run: Arc<SharedRun<P, R>>,
}

impl<P, R> RunWatch<P, R> {
    /// Whether a reader is left.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        lock(&self.run.state).readers > 0
    }

    /// Latest deadline of all readers that joined, including those that have left.
    #[must_use]
    pub fn deadline(&self) -> BootTime {
        lock(&self.run.state).deadline
    }
}

/// Result of one read from a shared run.
#[derive(Debug, Clone, PartialEq)]
pub enum RunReadResult<P, R> {
    /// The piece after those that this reader has read.
    Piece(P),
    /// The run has ended and this reader has read all pieces.
    Finished(Result<R, ResultCode>),
    /// Neither a piece nor the end came within the timeout.
    Waiting,
}

/// Reading end of a shared run. Dropping it leaves the run.
pub struct RunReader<P, R> {
    table: Arc<SharedRunTable<P, R>>,
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
    /// Index of the next piece to read.
    next_piece: usize,
}

impl<P: Clone, R: Clone> RunReader<P, R> {
    /// Waits for the next piece or the end of the run, at most for `timeout`.
    pub fn read_next(&mut self, timeout: Duration) -> RunReadResult<P, R> {
        let state = lock(&self.run.state);
        let next_piece = self.next_piece;
        let is_waiting = |state: &mut RunState<P, R>| state.pieces.len() <= next_piece && state.result.is_none();
        let waited = self.run.state_changed.wait_timeout_while(state, timeout, is_waiting);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if let Some(piece) = state.pieces.get(next_piece) {
            self.next_piece += 1;
            return RunReadResult::Piece(piece.clone());
        }
        state.result.clone().map_or(RunReadResult::Waiting, RunReadResult::Finished)
    }
}

impl<P, R> Drop for RunReader<P, R> {
    fn drop(&mut self) {
        let mut runs = lock(&self.table.runs);
        let mut state = lock(&self.run.state);
        state.readers -= 1;
        if state.readers == 0 {
            // A run without readers is being cancelled and must not be joined.
            SharedRunTable::remove_run(&mut runs, &self.key, &self.run);
        }
    }
}
