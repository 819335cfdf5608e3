//! Connections to targets that end when the target is silent, or when the run shall stop.
//!
//! The library limits the time of a whole body but not of one read. A stream may last for minutes, and a withdrawn
//! key must end it within seconds even while its engine is silent, so each read waits in short slices.

use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};

use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport, time::Duration as LimitDuration,
};
use ureq::{Agent, Error};

use crate::prelude::*;

/// Time after which a waiting read looks at its stop check again.
const READ_SLICE: Duration = Duration::from_millis(200);

/// Bytes of each buffer of an exchange. The library's 128 KiB would be held by every open stream, whose pieces are a
/// few hundred bytes.
const EXCHANGE_BUFFER: usize = 16 * 1024;

/// Function that says whether a run shall stop, and with which code.
pub type StopCheck = Arc<dyn Fn() -> Option<ResultCode> + Send + Sync>;

/// Limits of one exchange with a target.
#[derive(Clone)]
pub struct ExchangeLimits {
    /// Longest silence of the target.
    pub idle: Duration,
    /// Longest time of the whole exchange.
    pub total: Option<Duration>,
    /// Ends the exchange early.
    pub stop: StopCheck,
}

/// Client for one exchange, and whether any byte of it left this host.
///
/// No connection is kept: a request on a kept connection that closes cannot be told from one that was sent.
#[derive(Debug)]
pub struct TargetExchange {
    /// Client.
    pub agent: Agent,
    is_sent: Arc<AtomicBool>,
}

impl TargetExchange {
    /// Exchange with these limits.
    #[must_use]
    pub fn new(limits: ExchangeLimits) -> Self {
        let is_sent = Arc::new(AtomicBool::new(false));
        let agent = exchange_agent(limits, Arc::clone(&is_sent));
        Self { agent, is_sent }
    }

    /// Whether a byte of a request may have reached the target.
    #[must_use]
    pub fn is_sent(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }
}

fn exchange_agent(limits: ExchangeLimits, is_sent: Arc<AtomicBool>) -> Agent {
    let config = Config::builder()
        .http_status_as_error(false)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(0)
        .max_idle_connections_per_host(0)
        .allow_non_standard_methods(true)
        .timeout_global(limits.total)
        .input_buffer_size(EXCHANGE_BUFFER)
        .output_buffer_size(EXCHANGE_BUFFER)
        .proxy(None)
        .build();
    let connector = TcpConnector::default().chain(IdleConnector { limits, is_sent });
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Whether a failed call was ended by its stop check.
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
        self.inner.transmit_output(amount, shortened(timeout, self.limits.idle))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let limit = match timeout.after {
            LimitDuration::Exact(after) => after.min(self.limits.idle),
            LimitDuration::NotHappening => self.limits.idle,
        };
        let end = boot_time() + limit;
        loop {
            if (self.limits.stop)().is_some() {
                return Err(Error::Io(std::io::ErrorKind::Interrupted.into()));
            }
            let left = end.saturating_sub(boot_time());
            if left.is_zero() {
                return Err(Error::Timeout(timeout.reason));
            }
            match self.inner.await_input(shortened(timeout, left.min(READ_SLICE))) {
                Err(Error::Timeout(_)) => {}
                other => return other,
            }
        }
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn shortened(timeout: NextTimeout, limit: Duration) -> NextTimeout {
    let after = match timeout.after {
        LimitDuration::Exact(after) => after.min(limit),
        LimitDuration::NotHappening => limit,
    };
    NextTimeout { after: LimitDuration::Exact(after), ..timeout }
}
