//! Connections to targets that are closed when the target is silent for too long, or when the run must stop.
//!
//! The HTTP library limits the time of a whole body but not of one read. A stream may last for minutes, and the
//! withdrawal of an API key must end the stream within seconds even while the engine is silent. Each read therefore
//! waits in short intervals and calls the stop check before each of them.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport, time::Duration as TimeoutDuration,
};
use ureq::{Agent, Error};

use crate::prelude::*;

/// Interval in which a waiting read calls the stop check.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Size of each buffer of an exchange. The default of the HTTP library, 128 KiB, would be held by every open stream,
/// although one event of a stream has only a few hundred bytes.
const EXCHANGE_BUFFER_BYTES: usize = 16 * 1024;

/// Function that returns the code with which a run must stop, or `None` while the run may go on.
pub type StopCheck = Arc<dyn Fn() -> Option<ResultCode> + Send + Sync>;

/// Limits of one exchange with a target.
#[derive(Clone)]
pub struct ExchangeLimits {
    /// Longest wait for the target in one read or write.
    pub idle: Duration,
    /// Longest time of the whole exchange; `None` for no limit.
    pub total: Option<Duration>,
    /// Called while a read waits; the exchange fails when it returns a code. See [`is_stopped`].
    pub stop: StopCheck,
}

/// HTTP client for one exchange, which knows whether any byte of the request left this host.
///
/// No connection is reused. When the target closes a reused connection, a request that was not sent cannot be told from
/// one that was.
#[derive(Debug)]
pub struct TargetExchange {
    /// Client to send the request with; use a new [`TargetExchange`] for each request.
    pub agent: Agent,
    is_sent: Arc<AtomicBool>,
}

impl TargetExchange {
    /// Creates a client that keeps to `limits`; a connection is opened when a request is sent.
    #[must_use]
    pub fn new(limits: ExchangeLimits) -> Self {
        let is_sent = Arc::new(AtomicBool::new(false));
        let agent = create_agent(limits, Arc::clone(&is_sent));
        Self { agent, is_sent }
    }

    /// Whether a byte of a request may have reached the target.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }
}

fn create_agent(limits: ExchangeLimits, is_sent: Arc<AtomicBool>) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .allow_non_standard_methods(true)
        .timeout_global(limits.total)
        .input_buffer_size(EXCHANGE_BUFFER_BYTES)
        .output_buffer_size(EXCHANGE_BUFFER_BYTES)
        .proxy(None)
        .build();
    let connector = TcpConnector::default().chain(IdleConnector { limits, is_sent });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Whether a call failed because its stop check returned a code.
#[must_use]
pub fn is_stopped(error: &Error) -> bool {
    matches!(error, Error::Io(error) if error.kind() == std::io::ErrorKind::Interrupted)
}

struct IdleConnector {
    limits: ExchangeLimits,
    is_sent: Arc<AtomicBool>,
}

impl fmt::Debug for IdleConnector {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("IdleConnector").field("idle", &self.limits.idle).finish_non_exhaustive()
    }
}

impl<In: Transport> Connector<In> for IdleConnector {
    type Out = IdleTransport<In>;

    fn connect(&self, _: &ConnectionDetails, chained: Option<In>) -> Result<Option<Self::Out>, Error> {
        let limits = self.limits.clone();
        Ok(chained.map(|inner| IdleTransport { inner, limits, is_sent: Arc::clone(&self.is_sent) }))
    }
}

/// Transport that fails when the peer is silent for too long, or when the stop check returns a code.
struct IdleTransport<T: Transport> {
    inner: T,
    limits: ExchangeLimits,
    is_sent: Arc<AtomicBool>,
}

impl<T: Transport> fmt::Debug for IdleTransport<T> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("IdleTransport").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl<T: Transport> Transport for IdleTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        if amount > 0 {
            self.is_sent.store(true, Ordering::Release);
        }
        self.inner.transmit_output(amount, shorten_timeout(timeout, self.limits.idle))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = match timeout.after {
            TimeoutDuration::Exact(after) => after.min(self.limits.idle),
            TimeoutDuration::NotHappening => self.limits.idle,
        };
        let deadline = boot_time() + limit;
        loop {
            if (self.limits.stop)().is_some() {
                return Err(Error::Io(std::io::ErrorKind::Interrupted.into()));
            }
            let remaining = deadline.saturating_sub(boot_time());
            if remaining.is_zero() {
                return Err(Error::Timeout(timeout.reason));
            }
            match self.inner.await_input(shorten_timeout(timeout, remaining.min(STOP_CHECK_INTERVAL))) {
                Err(Error::Timeout(_)) => {}
                other => return other,
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn shorten_timeout(timeout: NextTimeout, limit: Duration) -> NextTimeout {
    let after = match timeout.after {
        TimeoutDuration::Exact(after) => after.min(limit),
        TimeoutDuration::NotHappening => limit,
    };
    NextTimeout { after: TimeoutDuration::Exact(after), ..timeout }
}
