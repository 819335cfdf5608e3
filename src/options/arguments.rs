//! Command line of the `camphorspring` binary.
//!
//! The `xflags!` declaration generates the argument types. The doc comments in it are the text of `--help`.
#![allow(missing_docs)]

use std::path::PathBuf;
use std::str::FromStr;

/// Action of the `domain` and `target` commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementAction {
    /// Take the domain or target out of rotation: it gets no new work.
    Out,
    /// Put the domain or target back in rotation.
    Back,
}

impl FromStr for PlacementAction {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "back" => Ok(Self::Back),
            _ => Err("allowed: out, back"),
        }
    }
}

xflags::xflags! {
    /// Rollout service for reinforcement learning.
    ///
    /// Operator commands talk to the operator address of any host. `--host` and `--token` default to the environment
    /// variables CAMPHORSPRING_HOST and CAMPHORSPRING_TOKEN. The exit status is that of the result code; see
    /// docs/result-codes.md.
    cmd camphorspring {
        /// Operator URL of a host, such as http://127.0.0.1:7002.
        optional --host url: String
        /// Operator token.
        optional --token token: String
        /// Print machine-readable JSON.
        optional --json

        /// Run a host until it is told to stop (SIGTERM or SIGINT).
        cmd serve {
            /// Settings file.
            required settings: PathBuf
        }
        /// Run a host on the users' platform until it is told to stop.
        ///
        /// The settings file is named by the environment variable CAMPHORSPRING_NODE_FILE.
        cmd serve-platform {}
        /// Check a services text without applying it.
        cmd check {
            /// Services text.
            required file: PathBuf
        }
        /// Check a settings file.
        cmd check-settings {
            /// Settings file.
            required file: PathBuf
        }
        /// Put a services text in force.
        cmd apply {
            /// Services text.
            required file: PathBuf
            /// Refuse when another version is in force; the version that `show` wrote into the text when absent.
            optional --expect version: u64
        }
        /// Show the configuration in force, as a text that can be applied.
        cmd show {}
        /// Grant and withdraw keys.
        cmd keys {
            /// Create a key for an organisation and print it once.
            cmd grant {
                /// Organisation of the services text.
                required organisation: String
            }
            /// Withdraw a key for ever.
            cmd withdraw {
                /// Public part of the key.
                required key_id: String
            }
            /// List the keys granted.
            cmd list {}
        }
        /// Take a failure domain out, so that it gets no new work, or back.
        cmd domain {
            /// `out` or `back`.
            required action: PlacementAction
            /// Failure domain.
            required name: String
        }
        /// Take a target out, so that it gets no new work, or back.
        cmd target {
            /// `out` or `back`.
            required action: PlacementAction
            /// Target id.
            required name: String
        }
        /// Show hosts as the asked host sees them.
        cmd hosts {}
        /// Show hosts; the same as `hosts`.
        cmd nodes {}
        /// Show the leased resources that the asked host owns.
        cmd leases {}
        /// Show targets as the asked host sees them.
        cmd targets {}
        /// Show why recent requests were refused.
        cmd refusals {
            /// Only this request.
            optional --request request_id: String
        }
        /// Print the usage of a window.
        cmd usage {
            /// Start of the window in seconds since the Unix epoch.
            required window: u64
        }
        /// Reports.
        cmd report {
            /// Service-level burn of all hosts that answer.
            cmd burn {
                /// Write a plot in SVG.
                optional --plot file: PathBuf
            }
        }
        /// Tell the story of one request, item or batch job from the logs of hosts.
        cmd explain {
            /// Id of the request, item or batch job.
            required id: String
            /// Log files of all hosts that may have handled it.
            repeated logs: PathBuf
        }
        /// List the result codes.
        cmd codes {}
    }
}
