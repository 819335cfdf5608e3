//! Fault scripts: which engines are hit, and what happens to them at which time of a run. The simulation itself sends
//! the requests of the flood script, which hits no engine.

use std::time::Duration;

/// Length of one run in virtual time.
pub const RUN_TIME: Duration = Duration::from_mins(8);

/// Time of a run at which the faults start; before it, the run warms up. Several figures cover only the time from here
/// to [`FAULT_END`].
pub const FAULT_START: Duration = Duration::from_mins(2);

/// Time of a run at which a flood ends and removed targets return, in scripts where they do.
pub const FAULT_END: Duration = Duration::from_mins(6);

/// Delay until every host and baseline router knows that a target was put in or out of rotation.
pub const CONFIGURATION_DELAY: Duration = Duration::from_millis(1500);

/// Delay from [`FAULT_START`], when the loss of targets is announced, to the loss.
const LOSS_DELAY: Duration = Duration::from_secs(5);

/// Position of the failure domain that is hit by scripts that hit a single domain.
pub const HIT_DOMAIN: usize = 1;

/// Position of the organisation that sends the flood.
pub const FLOOD_ORGANISATION: usize = 4;

/// Named script of faults, at fixed times of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScript {
    /// No fault.
    None,
    /// One small organisation sends more requests than all targets together can serve, until [`FAULT_END`].
    Flood,
    /// All targets of a domain disappear a few seconds after the announcement and do not return.
    DomainLoss,
    /// All targets of a domain disappear a few seconds after the announcement and return cold at [`FAULT_END`].
    DomainReturn,
    /// A third of the targets turns cold without notice, twice.
    ColdTargets,
    /// All cheap targets of a domain disappear a few seconds after the announcement and return cold at [`FAULT_END`].
    CheapReclaim,
}

/// All scripts, in the order of the report.
pub const ALL_SCRIPTS: [FaultScript; 6] = [
    FaultScript::None,
    FaultScript::Flood,
    FaultScript::DomainLoss,
    FaultScript::DomainReturn,
    FaultScript::ColdTargets,
    FaultScript::CheapReclaim,
];

/// What happens to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChange {
    /// Every host and baseline router learns that the engine is out of rotation.
    Out,
    /// Every host and baseline router learns that the engine is in rotation.
    In,
    /// The engine dies and loses its requests.
    Kill,
    /// The engine starts again, cold.
    Start,
    /// The engine keeps its requests but turns cold: its prefix cache is emptied.
    Cold,
}

/// Change of one engine at a fixed time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScriptedChange {
    /// Time since the start of the run.
    pub at: Duration,
    /// Position of the engine in the workload.
    pub engine: usize,
    /// Kind of the change.
    pub change: EngineChange,
}

impl FaultScript {
    /// Name on the command line and in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Flood => "flood",
            Self::DomainLoss => "domain-loss",
            Self::DomainReturn => "domain-return",
            Self::ColdTargets => "cold-targets",
            Self::CheapReclaim => "cheap-reclaim",
        }
    }

    /// Factor on the samples of a training step. `DomainReturn` needs enough load to fill the other domains while the
    /// hit one is away.
    #[must_use]
    pub fn load_factor(self) -> usize {
        if self == Self::DomainReturn { 3 } else { 1 }
    }

    /// Whether the script changes the engine at position `index`, in the failure domain at position `domain`.
    #[must_use]
    pub fn hits(self, index: usize, domain: usize, is_firm: bool) -> bool {
        match self {
            Self::None | Self::Flood => false,
            Self::DomainLoss | Self::DomainReturn => domain == HIT_DOMAIN,
            Self::ColdTargets => index.is_multiple_of(3),
            Self::CheapReclaim => domain == HIT_DOMAIN && !is_firm,
        }
    }

    /// Changes of one engine, in order of time. The caller must have checked with [`Self::hits`] that the script hits
    /// the engine.
    #[must_use]
    pub fn changes(self, engine: usize) -> Vec<ScriptedChange> {
        let at = |at, change| ScriptedChange { at, engine, change };
        let placement_known_at = FAULT_START + CONFIGURATION_DELAY;
        match self {
            Self::None | Self::Flood => Vec::new(),
            Self::DomainLoss => {
                vec![at(placement_known_at, EngineChange::Out), at(FAULT_START + LOSS_DELAY, EngineChange::Kill)]
            }
            Self::DomainReturn | Self::CheapReclaim => vec![
                at(placement_known_at, EngineChange::Out),
                at(FAULT_START + LOSS_DELAY, EngineChange::Kill),
                at(FAULT_END, EngineChange::Start),
                at(FAULT_END + CONFIGURATION_DELAY, EngineChange::In),
            ],
            Self::ColdTargets => {
                let second_at = FAULT_START + Duration::from_mins(2);
                vec![at(FAULT_START, EngineChange::Cold), at(second_at, EngineChange::Cold)]
            }
        }
    }
}
