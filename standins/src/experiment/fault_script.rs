//! Named fault scripts.

use std::time::Duration;

/// Length of one run.
pub const RUN_TIME: Duration = Duration::from_mins(8);

/// Start of the faults; before it the run warms up.
pub const FAULT_START: Duration = Duration::from_mins(2);

/// End of the faults that end.
pub const FAULT_END: Duration = Duration::from_mins(6);

/// Delay until every host and baseline knows of a change of placement.
pub const CONFIGURATION_DELAY: Duration = Duration::from_millis(1500);

/// Notice before a domain's targets disappear.
const LOSS_NOTICE: Duration = Duration::from_secs(5);

/// Domain that is hit.
pub const HIT_DOMAIN: usize = 1;

/// Organisation that floods.
pub const FLOOD_ORGANISATION: usize = 4;

/// Named script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultScript {
    /// Nothing.
    None,
    /// One small organisation sends several times what the targets carry.
    Flood,
    /// All targets of a domain disappear with seconds' notice and stay away.
    DomainLoss,
    /// A domain is taken out of service and returns with cold targets.
    DomainReturn,
    /// A third of the targets turns cold without warning, twice.
    ColdTargets,
    /// All cheap targets of a domain disappear with seconds' notice and return cold.
    CheapReclaim,
}

/// All scripts.
pub const ALL_SCRIPTS: [FaultScript; 6] = [
    FaultScript::None,
    FaultScript::Flood,
    FaultScript::DomainLoss,
    FaultScript::DomainReturn,
    FaultScript::ColdTargets,
    FaultScript::CheapReclaim,
];

/// Change of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineChange {
    /// Every host learns that it is out.
    Out,
    /// Every host learns that it is in.
    In,
    /// It dies.
    Kill,
    /// It starts, cold.
    Start,
    /// It turns cold.
    Cold,
}

/// Change at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScriptedChange {
    /// When.
    pub at: Duration,
    /// Engine.
    pub engine: usize,
    /// Change.
    pub change: EngineChange,
}

impl FaultScript {
    /// Name.
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

    /// Factor on the trainers' samples; the script of a leaving domain needs load that fills the other domains.
    #[must_use]
    pub fn load_factor(self) -> usize {
        if self == Self::DomainReturn { 3 } else { 1 }
    }

    /// Whether the engine with these properties is hit.
    #[must_use]
    pub fn hits(self, index: usize, domain: usize, is_firm: bool) -> bool {
        match self {
            Self::None | Self::Flood => false,
            Self::DomainLoss | Self::DomainReturn => domain == HIT_DOMAIN,
            Self::ColdTargets => index.is_multiple_of(3),
            Self::CheapReclaim => domain == HIT_DOMAIN && !is_firm,
        }
    }

    /// Changes of one engine that is hit.
    #[must_use]
    pub fn changes(self, engine: usize) -> Vec<ScriptedChange> {
        let at = |at, change| ScriptedChange { at, engine, change };
        let known = FAULT_START + CONFIGURATION_DELAY;
        match self {
            Self::None | Self::Flood => Vec::new(),
            Self::DomainLoss => {
                vec![at(known, EngineChange::Out), at(FAULT_START + LOSS_NOTICE, EngineChange::Kill)]
            }
            Self::DomainReturn | Self::CheapReclaim => vec![
                at(known, EngineChange::Out),
                at(FAULT_START + LOSS_NOTICE, EngineChange::Kill),
                at(FAULT_END, EngineChange::Start),
                at(FAULT_END + CONFIGURATION_DELAY, EngineChange::In),
            ],
            Self::ColdTargets => {
                let again = FAULT_START + Duration::from_mins(2);
                vec![at(FAULT_START, EngineChange::Cold), at(again, EngineChange::Cold)]
            }
        }
    }
}
