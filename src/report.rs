//! Service-level burn report.
