//! Access control of requests: route, API key and organisation, and the maximum age of the document.

use std::sync::Arc;
use std::time::Duration;

use crate::names::OrgName;
use crate::relay::document::{DocumentIndex, RelayRoute};

/// Maximum age of the document: the time since it was last known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Maximum age for accepting a key. A revoked key must not be accepted for longer than this.
    pub max_key_age: Duration,
    /// Maximum age for reporting that a route or key does not exist.
    pub max_absence_age: Duration,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self { max_key_age: Duration::from_millis(4_900), max_absence_age: Duration::from_secs(3) }
    }
}

/// Why a request is rejected before it is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessDenial {
    /// This node has no document.
    NoDocument,
    /// This node cannot prove that its document is the newest.
    StaleDocument,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// Result of a successful access check.
#[derive(Clone, Debug)]
pub struct AccessGrant {
    /// Route of the request.
    pub route: Arc<RelayRoute>,
    /// Organisation of the caller, or `None` if no key was needed.
    pub org: Option<OrgName>,
    /// Priority rank. 0 is the most urgent.
    pub rank: u8,
}

/// Properties of a request that decide on its access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessClaim<'a> {
    /// Host that the request names.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// API key, if the request has one.
    pub key: Option<&'a str>,
}

/// Checks whether a request may be served. `age` is the time since the document was last known to be the newest, or
/// `None` if there is no document.
///
/// # Errors
///
/// Returns the reason for the denial.
pub fn check_access(
    index: &DocumentIndex,
    age: Option<Duration>,
    limits: &FreshnessLimits,
    claim: AccessClaim<'_>,
) -> Result<AccessGrant, AccessDenial> {
    let Some(age) = age else { return Err(AccessDenial::NoDocument) };
    let deny_absent = |denial| if age > limits.max_absence_age { AccessDenial::StaleDocument } else { denial };
    let route = index.route(claim.host, claim.path).ok_or_else(|| deny_absent(AccessDenial::NoRoute))?;
    if route.public || !index.requires_keys() {
        return Ok(AccessGrant { route: route.clone(), org: None, rank: route.rank });
    }
    if age > limits.max_key_age {
        return Err(AccessDenial::StaleDocument);
    }
    let holder = claim.key.and_then(|key| index.holder(key));
    let (org, rank) = holder.ok_or_else(|| deny_absent(AccessDenial::UnknownKey))?;
    Ok(AccessGrant { route: route.clone(), org: Some(org.clone()), rank: rank.unwrap_or(route.rank) })
}
