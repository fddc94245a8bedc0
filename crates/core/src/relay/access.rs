//! Access control: finds the route and the organisation of a request, and limits the age of the document that decides.

use std::sync::Arc;
use std::time::Duration;

use crate::names::OrgName;
use crate::relay::document::{DocumentIndex, MAX_REQUEST_HEAD_BYTES, RelayRoute};

/// Maximum ages of the document, by the decision that it is used for. The age is the time since the document was last
/// known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Maximum age for accepting an API key. A revoked key must not be accepted for longer than this.
    pub max_document_age_for_keys: Duration,
    /// Maximum age for reporting that a route or key does not exist, or that a request is too large. With an older document
    /// the denial is [`AccessDenial::StaleDocument`].
    pub max_document_age_for_absence: Duration,
    /// Maximum time for which requests are served although a peer is known to have a newer document.
    pub max_outdated_time: Duration,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            max_document_age_for_keys: Duration::from_millis(4_900),
            max_document_age_for_absence: Duration::from_secs(3),
            max_outdated_time: Duration::from_secs(1),
        }
    }
}

/// Why a request is rejected before it is sent to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessDenial {
    /// This node has no document.
    NoDocument,
    /// The document is older than [`FreshnessLimits`] allow for this decision.
    StaleDocument,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no API key, or one that no organisation holds.
    UnknownKey,
    /// The head is larger than the document allows.
    HeadTooLarge,
    /// The body is larger than the document allows.
    BodyTooLarge,
}

/// Size of a request in bytes, as far as it is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestSize {
    /// Size of the head.
    pub head: usize,
    /// Size of the body, or of what has arrived of it.
    pub body: usize,
}

/// Result of a successful access check.
#[derive(Clone, Debug)]
pub struct AccessGrant {
    /// Route of the request.
    pub route: Arc<RelayRoute>,
    /// Organisation that holds the request's API key, or `None` if the request needs no key.
    pub org: Option<OrgName>,
    /// Priority rank of the organisation, or of the route if the organisation has none. 0 is the most urgent.
    pub rank: u8,
}

/// Properties of a request that its access depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessClaim<'a> {
    /// Host that the request names, with or without a port.
    pub host: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// API key that the request carries, if any.
    pub key: Option<&'a str>,
}

/// Checks whether the size of a request is within the limits of the document. `age` is the time since the document was last
/// known to be the newest, or `None` if there is no document, so that the limits are unknown.
///
/// # Errors
///
/// Returns the reason for the denial.
pub fn check_size(
    index: &DocumentIndex,
    age: Option<Duration>,
    limits: &FreshnessLimits,
    size: RequestSize,
) -> Result<(), AccessDenial> {
    let denial = if size.head > index.caller_limits.max_header_bytes.min(MAX_REQUEST_HEAD_BYTES) {
        AccessDenial::HeadTooLarge
    } else if size.body > index.caller_limits.max_body_bytes {
        AccessDenial::BodyTooLarge
    } else {
        return Ok(());
    };
    match age {
        None => Err(AccessDenial::NoDocument),
        Some(age) if age > limits.max_document_age_for_absence => Err(AccessDenial::StaleDocument),
        Some(_) => Err(denial),
    }
}

/// Checks whether a request may be served. `age` is the time since the document was last known to be the newest, or
/// `None` if there is no document. A request that needs no key is accepted whatever the age.
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
    let deny_absent =
        |denial| if age > limits.max_document_age_for_absence { AccessDenial::StaleDocument } else { denial };
    let route = index.route(claim.host, claim.path).ok_or_else(|| deny_absent(AccessDenial::NoRoute))?;
    if route.public || !index.requires_keys() {
        return Ok(AccessGrant { route: route.clone(), org: None, rank: route.rank });
    }
    if age > limits.max_document_age_for_keys {
        return Err(AccessDenial::StaleDocument);
    }
    let holder = claim.key.and_then(|key| index.holder(key));
    let (org, rank) = holder.ok_or_else(|| deny_absent(AccessDenial::UnknownKey))?;
    Ok(AccessGrant { route: route.clone(), org: Some(org.clone()), rank: rank.unwrap_or(route.rank) })
}
