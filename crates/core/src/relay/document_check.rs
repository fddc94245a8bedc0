//! Checks a document before operators send it: entries that can never match, limits that contradict each other, and what
//! differs from the document in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::names::{OrgName, ServiceName};
use crate::relay::document::{
    CallerLimits, KeyHolder, MAX_REQUEST_HEAD_BYTES, RelayDocument, RelayRoute, RelayService, StageSpec,
};

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum FindingSeverity {
    /// The document works, and some of it has no effect or will be missed.
    Warning,
    /// Nodes reject the document, or some requests can never be served.
    Error,
}

/// A fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentFinding {
    /// How much it matters.
    pub severity: FindingSeverity,
    /// Entry that has the fault, such as ``route `plan` ``.
    pub place: String,
    /// What is wrong, and what to do.
    pub message: String,
}

impl fmt::Display for DocumentFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.place, self.message)
    }
}

/// Returns the faults of a document, errors first.
#[must_use]
pub fn check_document(document: &RelayDocument) -> Vec<DocumentFinding> {
    let mut check = DocumentCheck { document, findings: Vec::new() };
    check.check_stage_order();
    check.check_prefixes();
    for route in &document.routes {
        check.check_route(route);
    }
    check.check_services();
    check.check_keys();
    check.check_caller_limits(document.caller_limits);
    check.findings.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    check.findings
}

struct DocumentCheck<'a> {
    document: &'a RelayDocument,
    findings: Vec<DocumentFinding>,
}

impl DocumentCheck<'_> {
    fn add(&mut self, severity: FindingSeverity, place: String, message: impl Into<String>) {
        self.findings.push(DocumentFinding { severity, place, message: message.into() });
    }

    fn error(&mut self, place: String, message: impl Into<String>) {
        self.add(FindingSeverity::Error, place, message);
    }

    fn warn(&mut self, place: String, message: impl Into<String>) {
        self.add(FindingSeverity::Warning, place, message);
    }

    fn check_stage_order(&mut self) {
        if let Err(fault) = self.document.check() {
            self.error("document".to_owned(), fault.to_string());
        }
    }

    /// Finds routes that no request reaches: the first of two routes with the same host and prefix gets all of them.
    fn check_prefixes(&mut self) {
        let mut first: BTreeMap<(Arc<str>, Arc<str>), Arc<str>> = BTreeMap::new();
        for route in &self.document.routes {
            let key = (route.host.clone(), route.prefix.clone());
            if let Some(other) = first.get(&key) {
                let message =
                    format!("never matches, since route `{other}` has its host and prefix; remove one of them");
                self.error(route_place(route), message);
            } else {
                first.insert(key, route.name.clone());
            }
            if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
                let message = format!("prefix `{}` may never match; begin and end it with a slash", route.prefix);
                self.warn(route_place(route), message);
            }
            if route.host.is_empty() {
                self.error(route_place(route), "never matches without a host; name one");
            }
        }
    }

    fn check_route(&mut self, route: &RelayRoute) {
        if route.services.iter().all(|entry| entry.weight == 0) {
            self.error(route_place(route), "no service gets its requests; name one with a weight above 0");
        }
        for entry in &route.services {
            if entry.weight == 0 {
                let message = format!("service `{}` gets no requests with weight 0; remove it", entry.service);
                self.warn(route_place(route), message);
            }
            if !self.document.services.contains_key(&entry.service) {
                let message = format!("service `{}` is unknown; add it or correct the name", entry.service);
                self.error(route_place(route), message);
            }
        }
        if route.timeout.is_zero() {
            self.error(route_place(route), "no request can be answered within a timeout of 0; raise it");
        } else if route.objective > route.timeout {
            let (objective, timeout) = (route.objective.as_millis(), route.timeout.as_millis());
            let message = format!(
                "objective of {objective} ms exceeds the timeout of {timeout} ms; lower it or raise the timeout"
            );
            self.warn(route_place(route), message);
        }
        for (index, stage) in route.stages.iter().enumerate() {
            self.check_stage(route, index, stage);
        }
        self.check_stage_times(route);
    }

    fn check_stage(&mut self, route: &RelayRoute, index: usize, stage: &StageSpec) {
        let place = format!("{}, stage {index}", route_place(route));
        let Some(batch) = self.document.services.get(&stage.service).map(|service| service.batch.as_ref()) else {
            let message = format!("service `{}` is unknown; add it or correct the name", stage.service);
            return self.error(place, message);
        };
        let Some(batch) = batch else {
            let message = format!("service `{}` makes no pieces; give it batch settings", stage.service);
            return self.error(place, message);
        };
        let (batch_bytes, storage_bytes) =
            (stage.result_bytes.saturating_mul(batch.max_pieces as u64), batch.storage_bytes);
        if stage.result_bytes > storage_bytes {
            let message = format!("a result of {} bytes exceeds the storage of {storage_bytes}", stage.result_bytes);
            self.error(place, format!("{message}; lower the size or raise the storage"));
        } else if batch_bytes > storage_bytes {
            let message = format!("results of a full call, {batch_bytes} bytes, exceed the storage of {storage_bytes}");
            self.warn(place, format!("{message}; lower the batch or raise the storage"));
        }
    }

    /// Finds routes whose stages alone take longer than the objective or the timeout, if nothing waits.
    fn check_stage_times(&mut self, route: &RelayRoute) {
        let shortest = shortest_stage_time(self.document, &route.stages).as_millis();
        if shortest == 0 {
            return;
        }
        let (objective, timeout) = (route.objective.as_millis(), route.timeout.as_millis());
        if shortest >= timeout {
            let message = format!("stages take {shortest} ms at least, the timeout is {timeout} ms; raise it");
            self.error(route_place(route), message);
        } else if shortest >= objective {
            let message = format!("stages take {shortest} ms at least, the objective is {objective} ms; raise it");
            self.warn(route_place(route), message);
        }
    }

    fn check_services(&mut self) {
        let routes = &self.document.routes;
        let called = routes.iter().flat_map(|route| route.services.iter().map(|entry| &entry.service));
        let stages = routes.iter().flat_map(|route| route.stages.iter().map(|stage| &stage.service));
        let used: BTreeSet<&ServiceName> = called.chain(stages).collect();
        for (name, service) in &self.document.services {
            let place = format!("service `{name}`");
            if !used.contains(name) {
                self.warn(place.clone(), "no route uses it; remove it or add a route");
            }
            let takes_nothing = service.batch.as_ref().is_some_and(|batch| batch.slots == 0 || batch.max_pieces == 0);
            if takes_nothing {
                self.error(place, "its targets take no pieces; raise the slots and the batch above 0");
            }
        }
    }

    fn check_keys(&mut self) {
        let mut owners: BTreeMap<&Arc<str>, &OrgName> = BTreeMap::new();
        for holder in self.document.holders.iter().flatten() {
            let place = format!("organisation `{}`", holder.org);
            if holder.keys.is_empty() {
                self.warn(place.clone(), "has no API key, so that it reaches public routes only; add one");
            }
            for key in &holder.keys {
                let other = owners.insert(key, &holder.org).filter(|other| **other != holder.org);
                if let Some(other) = other {
                    // The key itself is a secret and stays out of the message.
                    let message = format!("has an API key that `{other}` has, too; give each its own");
                    self.error(place.clone(), message);
                }
            }
        }
    }

    fn check_caller_limits(&mut self, limits: CallerLimits) {
        let place = || "limits".to_owned();
        if limits.max_header_bytes == 0 || limits.header_timeout.is_zero() {
            self.error(place(), "no request fits a head of 0 bytes or ms; raise the limit");
        }
        if limits.max_header_bytes > MAX_REQUEST_HEAD_BYTES {
            self.warn(
                place(),
                format!("heads above {MAX_REQUEST_HEAD_BYTES} bytes are refused all the same; lower the limit"),
            );
        }
        if limits.max_body_bytes == 0 {
            self.warn(place(), "no request may have a body; raise the limit unless that is meant");
        }
        if limits.idle_timeout < limits.header_timeout {
            self.warn(place(), "the time for a head exceeds that for an idle connection; raise the latter");
        }
    }
}

fn route_place(route: &RelayRoute) -> String {
    format!("route `{}`", route.name)
}

/// Returns the time that the longest path through the stages takes if each has one piece and nothing waits.
fn shortest_stage_time(document: &RelayDocument, stages: &[StageSpec]) -> Duration {
    let mut ends: Vec<Duration> = Vec::new();
    for stage in stages {
        let start = stage.input_stages.iter().filter_map(|input| ends.get(*input)).max().copied().unwrap_or_default();
        let batch = document.services.get(&stage.service).and_then(|service| service.batch.as_ref());
        ends.push(start + batch.map_or(Duration::ZERO, |batch| batch.fixed_call_time + batch.piece_time));
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Kind of a difference between two documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DifferenceKind {
    /// The entry is new.
    Added,
    /// The entry is in both documents with other values.
    Changed,
    /// The entry is gone.
    Removed,
}

/// An entry in which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentDifference {
    /// Kind of the difference.
    pub kind: DifferenceKind,
    /// Entry that differs, such as ``service `clubs` ``.
    pub place: String,
}

impl fmt::Display for DocumentDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.place)
    }
}

/// Returns the entries in which `next` differs from the document in force. API keys are compared, but never shown.
#[must_use]
pub fn compare_documents(in_force: &RelayDocument, next: &RelayDocument) -> Vec<DocumentDifference> {
    let mut differences = Vec::new();
    if in_force.version >= next.version {
        let place = format!("version {} (not above {}, so that nodes ignore it)", next.version, in_force.version);
        differences.push(DocumentDifference { kind: DifferenceKind::Changed, place });
    }
    compare_entries("route", &routes_by_name(in_force), &routes_by_name(next), &mut differences);
    compare_entries("service", &services_by_name(in_force), &services_by_name(next), &mut differences);
    compare_entries("organisation", &holders_by_name(in_force), &holders_by_name(next), &mut differences);
    if in_force.holders.is_some() != next.holders.is_some() {
        let place =
            if next.holders.is_some() { "access: requests need keys" } else { "access: no request needs a key" };
        differences.push(DocumentDifference { kind: DifferenceKind::Changed, place: place.to_owned() });
    }
    if in_force.caller_limits != next.caller_limits {
        differences.push(DocumentDifference { kind: DifferenceKind::Changed, place: "limits".to_owned() });
    }
    differences
}

type EntryTable<'a, T> = BTreeMap<&'a str, &'a T>;

fn routes_by_name(document: &RelayDocument) -> EntryTable<'_, RelayRoute> {
    document.routes.iter().map(|route| (&*route.name, route)).collect()
}

fn services_by_name(document: &RelayDocument) -> EntryTable<'_, RelayService> {
    document.services.iter().map(|(name, service)| (name.as_str(), service)).collect()
}

fn holders_by_name(document: &RelayDocument) -> EntryTable<'_, KeyHolder> {
    document.holders.iter().flatten().map(|holder| (holder.org.as_str(), holder)).collect()
}

fn compare_entries<T: PartialEq>(
    what: &str,
    before: &EntryTable<'_, T>,
    after: &EntryTable<'_, T>,
    differences: &mut Vec<DocumentDifference>,
) {
    let names: BTreeSet<&str> = before.keys().chain(after.keys()).copied().collect();
    for name in names {
        let kind = match (before.get(name), after.get(name)) {
            (None, _) => DifferenceKind::Added,
            (_, None) => DifferenceKind::Removed,
            (Some(left), Some(right)) if left != right => DifferenceKind::Changed,
            _ => continue,
        };
        differences.push(DocumentDifference { kind, place: format!("{what} `{name}`") });
    }
}
