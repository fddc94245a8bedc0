//! Whether a request may be served, and as whose: routes, keys, and how old the document may be.

use std::sync::Arc;
use std::time::Duration;

use crate::names::OrgName;
use crate::relay::document::{DocumentIndex, RelayRoute};

/// How long a document counts as the newest after the last proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshBounds {
    /// For requests with keys: a key that was revoked must not be accepted later than this.
    pub keys: Duration,
    /// For saying that a route or key does not exist.
    pub absence: Duration,
}

impl Default for FreshBounds {
    fn default() -> Self {
        Self { keys: Duration::from_millis(4_900), absence: Duration::from_secs(3) }
    }
}

/// Why a request is turned away before it is tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessDenial {
    /// This node knows no document.
    NoDocument,
    /// This node cannot show that its document is the newest.
    StaleDocument,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// A request that may be served.
#[derive(Clone, Debug)]
pub struct AccessGrant {
    /// Its route.
    pub route: Arc<RelayRoute>,
    /// Its organisation, unless the route is public.
    pub org: Option<OrgName>,
    /// Its urgency.
    pub rank: u8,
}

/// What a request shows of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessClaim<'a> {
    /// Host that it names.
    pub host: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its key.
    pub key: Option<&'a str>,
}

/// Decides on a request; `age` is the time since the document was last known to be the newest.
///
/// # Errors
///
/// Why it is turned away.
pub fn check_access(
    index: &DocumentIndex,
    age: Option<Duration>,
    bounds: &FreshBounds,
    claim: AccessClaim<'_>,
) -> Result<AccessGrant, AccessDenial> {
    let Some(age) = age else { return Err(AccessDenial::NoDocument) };
    let absent = |denial| if age > bounds.absence { AccessDenial::StaleDocument } else { denial };
    let route = index.route(claim.host, claim.path).ok_or_else(|| absent(AccessDenial::NoRoute))?;
    if route.public || !index.asks_keys() {
        return Ok(AccessGrant { route: route.clone(), org: None, rank: route.rank });
    }
    if age > bounds.keys {
        return Err(AccessDenial::StaleDocument);
    }
    let holder = claim.key.and_then(|key| index.holder(key));
    let (org, rank) = holder.ok_or_else(|| absent(AccessDenial::UnknownKey))?;
    Ok(AccessGrant { route: route.clone(), org: Some(org.clone()), rank: rank.unwrap_or(route.rank) })
}
