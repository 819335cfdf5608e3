//! Runs that are shared by concurrent equal requests.
//!
//! A run keeps all its pieces until it ends, so that each reader gets a whole copy from the start, whenever it joined
//! and however slowly it reads. A run that has ended is not joined any more: this is not a cache. The run is
//! cancelled when its last reader has left.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use sha2::{Digest, Sha256};

use crate::prelude::*;

/// Digest of everything that two requests must have in common to share a run.
pub type RunKey = [u8; 32];

/// Digest of the fields in order; lengths are included, so that no two lists of fields run together.
#[must_use]
pub fn run_key(fields: &[&[u8]]) -> RunKey {
    let mut digest = Sha256::new();
    for field in fields {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    digest.finalize().into()
}

/// Runs that may be joined, sorted by key.
pub struct SharedRunTable<P, R> {
    runs: Mutex<Vec<BoardEntry<P, R>>>,
}

struct BoardEntry<P, R> {
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
}

struct SharedRun<P, R> {
    state: Mutex<SharedState<P, R>>,
    changed: Condvar,
}

struct SharedState<P, R> {
    pieces: Vec<P>,
    result: Option<Result<R, ResultCode>>,
    readers: usize,
    /// Latest deadline of the readers that joined.
    deadline: BootTime,
}

/// A reader of a run, and the writer when the reader is the first.
pub struct JoinedRun<P, R> {
    /// Reads the run from its start.
    pub reader: RunReader<P, R>,
    /// Present for the first reader, which must start the run.
    pub writer: Option<RunWriter<P, R>>,
}

impl<P, R> Default for SharedRunTable<P, R> {
    fn default() -> Self {
        Self { runs: Mutex::new(Vec::new()) }
    }
}

impl<P, R> SharedRunTable<P, R> {
    /// Joins the run with this key, or opens one.
    #[must_use]
    pub fn join(self: &Arc<Self>, key: RunKey, deadline: BootTime) -> JoinedRun<P, R> {
        let mut runs = locked(&self.runs);
        match runs.binary_search_by(|entry| entry.key.cmp(&key)) {
            Ok(position) => {
                let run = Arc::clone(&runs[position].run);
                let mut state = locked(&run.state);
                state.readers += 1;
                state.deadline = state.deadline.max(deadline);
                drop(state);
                JoinedRun { reader: self.reader(key, run), writer: None }
            }
            Err(position) => {
                let state = SharedState { pieces: Vec::new(), result: None, readers: 1, deadline };
                let run = Arc::new(SharedRun { state: Mutex::new(state), changed: Condvar::new() });
                runs.insert(position, BoardEntry { key, run: Arc::clone(&run) });
                let writer = RunWriter { board: Arc::clone(self), key, run: Arc::clone(&run) };
                JoinedRun { reader: self.reader(key, run), writer: Some(writer) }
            }
        }
    }

    /// Number of runs that may be joined.
    #[must_use]
    pub fn open_runs(&self) -> usize {
        locked(&self.runs).len()
    }

    fn reader(self: &Arc<Self>, key: RunKey, run: Arc<SharedRun<P, R>>) -> RunReader<P, R> {
        RunReader { board: Arc::clone(self), key, run, next: 0 }
    }

    /// Takes a run off the board, unless another run has taken its place.
    fn remove(runs: &mut Vec<BoardEntry<P, R>>, key: &RunKey, run: &Arc<SharedRun<P, R>>) {
        if let Ok(position) = runs.binary_search_by(|entry| entry.key.cmp(key))
            && Arc::ptr_eq(&runs[position].run, run)
        {
            runs.remove(position);
        }
    }
}

/// A poisoned lock is still consistent: no code that can panic runs while one is held.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writing end of a shared run. Dropping it without [`RunWriter::finish`] ends the run with a program fault.
pub struct RunWriter<P, R> {
    board: Arc<SharedRunTable<P, R>>,
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
}

impl<P, R> RunWriter<P, R> {
    /// Adds a piece; returns whether a reader is left.
    #[must_use]
    pub fn push(&self, piece: P) -> bool {
        let mut state = locked(&self.run.state);
        state.pieces.push(piece);
        let is_read = state.readers > 0;
        drop(state);
        self.run.changed.notify_all();
        is_read
    }

    /// Ends the run.
    pub fn finish(self, result: Result<R, ResultCode>) {
        self.end(result);
    }

    /// View of the run for its stop check.
    #[must_use]
    pub fn watch(&self) -> RunWatch<P, R> {
        RunWatch { run: Arc::clone(&self.run) }
    }

    fn end(&self, result: Result<R, ResultCode>) {
        // Off the board first: a reader that joined after the end would get an old result.
        SharedRunTable::remove(&mut locked(&self.board.runs), &self.key, &self.run);
        locked(&self.run.state).result.get_or_insert(result);
        self.run.changed.notify_all();
    }
}

impl<P, R> Drop for RunWriter<P, R> {
    fn drop(&mut self) {
        self.end(Err(ResultCode::Internal));
    }
}

/// Tells a run whether it is still wanted, and until when.
pub struct RunWatch<P, R> {
    run: Arc<SharedRun<P, R>>,
}

impl<P, R> RunWatch<P, R> {
    /// Whether a reader is left.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        locked(&self.run.state).readers > 0
    }

    /// Latest deadline of all readers that joined.
    #[must_use]
    pub fn deadline(&self) -> BootTime {
        locked(&self.run.state).deadline
    }
}

/// What a reader found.
#[derive(Debug, Clone, PartialEq)]
pub enum RunReadResult<P, R> {
    /// The next piece.
    Piece(P),
    /// All pieces were read and the run has ended.
    Finished(Result<R, ResultCode>),
    /// Nothing came within the wait.
    Waiting,
}

/// Reading end of a shared run; dropping it leaves the run.
pub struct RunReader<P, R> {
    board: Arc<SharedRunTable<P, R>>,
    key: RunKey,
    run: Arc<SharedRun<P, R>>,
    next: usize,
}

impl<P: Clone, R: Clone> RunReader<P, R> {
    /// Next piece or the end, waiting at most `wait`.
    pub fn next_step(&mut self, wait: Duration) -> RunReadResult<P, R> {
        let state = locked(&self.run.state);
        let next = self.next;
        let is_idle = |state: &mut SharedState<P, R>| state.pieces.len() <= next && state.result.is_none();
        let waited = self.run.changed.wait_timeout_while(state, wait, is_idle);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if let Some(piece) = state.pieces.get(next) {
            self.next += 1;
            return RunReadResult::Piece(piece.clone());
        }
        state.result.clone().map_or(RunReadResult::Waiting, RunReadResult::Finished)
    }
}

impl<P, R> Drop for RunReader<P, R> {
    fn drop(&mut self) {
        let mut runs = locked(&self.board.runs);
        let mut state = locked(&self.run.state);
        state.readers -= 1;
        if state.readers == 0 {
            // Nobody may join a run that is being cancelled.
            SharedRunTable::remove(&mut runs, &self.key, &self.run);
        }
    }
}
