//! Parser of an environment's INI document, the configuration that operators promote. Checks each section and the
//! references between sections, and returns the core's [`Document`].

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::{
    Admission, CandidateSpec, DcSpec, Document, EngineRole, EngineSpec, OrgSpec, PipelineSpec, ServiceKind,
    ServiceSpec, TargetSpec,
};
use wasabipier_core::names::{AdapterName, DcName, ModelName, ServiceName, TargetName, VersionName};

use crate::fault::FaultList;
use crate::ini::IniReader;

/// Kinds of the sections that have a name, such as `[target engine-1]`.
const SECTION_KINDS: [&str; 5] = ["data-centre", "organisation", "service", "target", "pipeline"];
/// Upper bound of the deadline of a service or pipeline, in milliseconds (ten minutes).
const MAX_DEADLINE_MS: u64 = 600_000;
/// Upper bound of `cold_limit` and `warm_limit`, the limits of concurrent calls to a target.
const MAX_CALL_LIMIT: u32 = 100_000;
/// Upper bound of the number of seats. A seat is the right to a fixed share of every target's limit.
const MAX_SEATS: u32 = 4_096;

/// Parses and checks the INI text of a document.
///
/// # Errors
///
/// Returns every fault of the text, each with its section, key and remedy.
pub fn parse_document(text: &str) -> Result<Document, FaultList> {
    let mut reader = IniReader::parse(text)?;
    reader.check_sections(&["environment"], &SECTION_KINDS);
    reader.check_keys("environment", &["name", "seats", "loads_per_minute"]);
    let environment = reader.required_text("environment", "name", "production");
    let seats = reader.number_in_range("environment", "seats", 9, 1..=MAX_SEATS);
    let document = Document {
        environment: Arc::from(environment),
        seats,
        loads_per_minute: reader.number_in_range("environment", "loads_per_minute", 6, 1..=100_000),
        dcs: read_sections(&mut reader, "data-centre", read_dc),
        orgs: read_sections(&mut reader, "organisation", read_org),
        services: read_sections(&mut reader, "service", read_service),
        targets: read_sections(&mut reader, "target", read_target),
        pipelines: read_sections(&mut reader, "pipeline", read_pipeline),
    };
    check_document(&document, &mut reader.faults);
    reader.faults.into_result(document)
}

/// Reads all sections of a kind with `read` and returns the results by name.
fn read_sections<K: Ord + for<'a> From<&'a str>, V>(
    reader: &mut IniReader,
    kind: &str,
    read: impl Fn(&mut IniReader, &str) -> V,
) -> BTreeMap<K, V> {
    let names = reader.section_names(kind);
    names.iter().map(|text| (K::from(text), read(reader, &format!("{kind} {text}")))).collect()
}

fn read_dc(reader: &mut IniReader, section: &str) -> DcSpec {
    reader.check_keys(section, &["region", "admission"]);
    DcSpec {
        region: Arc::from(reader.required_text(section, "region", "khomas")),
        admission: reader.value(section, "admission", Admission::Open, "`open` or `out`"),
    }
}

pub(crate) fn read_org(reader: &mut IniReader, section: &str) -> OrgSpec {
    reader.check_keys(section, &["weight"]);
    OrgSpec { weight: reader.number_in_range(section, "weight", 1.0, 0.01..=1000.0) }
}

fn read_service(reader: &mut IniReader, section: &str) -> ServiceSpec {
    let known_keys = [
        "kind",
        "repeatable",
        "deadline_ms",
        "cold_limit",
        "warm_limit",
        "objective",
        "stable",
        "candidate",
        "finish_within_s",
        "first_share",
        "trial_only",
        "attempt",
    ];
    reader.check_keys(section, &known_keys);
    let defaults = ServiceSpec::default();
    let kind =
        reader.required_value(section, "kind", defaults.kind, "`encode`, `retrieve`, `rerank`, `generate` or `plain`");
    let cold_limit = reader.number_in_range(section, "cold_limit", defaults.cold_limit, 1..=MAX_CALL_LIMIT);
    let warm_limit = reader.number_in_range(section, "warm_limit", defaults.warm_limit, 1..=MAX_CALL_LIMIT);
    if warm_limit < cold_limit {
        let problem = format!("{warm_limit} is less than cold_limit, {cold_limit}");
        reader.faults.add(section, "warm_limit", problem, "raise warm_limit or lower cold_limit");
    }
    let repeatable = reader.bool_value(section, "repeatable", kind != ServiceKind::Plain);
    if !repeatable && kind != ServiceKind::Plain {
        reader.faults.add(section, "repeatable", "only plain services can be `no`", "remove the key");
    }
    ServiceSpec {
        kind,
        repeatable,
        deadline: reader.duration_from_ms(section, "deadline_ms", defaults.deadline, 1..=MAX_DEADLINE_MS),
        cold_limit,
        warm_limit,
        objective: reader.number_in_range(section, "objective", defaults.objective, 0.0..=0.99999),
        stable: VersionName::new(reader.required_text(section, "stable", "v1")),
        candidate: read_candidate(reader, section),
    }
}

fn read_candidate(reader: &mut IniReader, section: &str) -> Option<CandidateSpec> {
    let version = reader.text(section, "candidate")?;
    let finish_within = reader.number_in_range(section, "finish_within_s", 600, 10..=604_800);
    Some(CandidateSpec {
        version: VersionName::new(version),
        finish_within: Duration::from_secs(finish_within),
        first_share: reader.number_in_range(section, "first_share", 0.01, 0.0..=0.2),
        trial_only: reader.bool_value(section, "trial_only", false),
        attempt: reader.number_in_range(section, "attempt", 1, 1..=1_000_000),
    })
}

pub(crate) fn read_target(reader: &mut IniReader, section: &str) -> TargetSpec {
    let known_keys =
        ["service", "version", "data_centre", "address", "admission", "checks_fencing", "model", "adapters", "role"];
    reader.check_keys(section, &known_keys);
    let unset_address = SocketAddr::from(([0, 0, 0, 0], 0));
    TargetSpec {
        service: ServiceName::new(reader.required_text(section, "service", "bookings")),
        version: VersionName::new(reader.required_text(section, "version", "v1")),
        dc: DcName::new(reader.required_text(section, "data_centre", "khomas-a")),
        address: reader.required_value(
            section,
            "address",
            unset_address,
            "an IP number and port, such as 10.0.0.7:8000",
        ),
        admission: reader.value(section, "admission", Admission::Open, "`open` or `out`"),
        checks_fencing: reader.bool_value(section, "checks_fencing", false),
        load: read_load(reader, section),
    }
}

fn read_load(reader: &mut IniReader, section: &str) -> Option<EngineSpec> {
    let adapters = reader.text(section, "adapters").unwrap_or_default();
    let role = reader.value(section, "role", EngineRole::Both, "`both`, `prefill` or `decode`");
    let Some(model) = reader.text(section, "model") else {
        if !adapters.is_empty() {
            reader.faults.add(section, "adapters", "stands without `model`", "add `model` or remove the key");
        }
        return None;
    };
    Some(EngineSpec {
        model: ModelName::new(model),
        adapters: adapters.split_whitespace().map(AdapterName::new).collect(),
        version: VersionName::new(reader.text(section, "version").unwrap_or_default()),
        role,
    })
}

fn read_pipeline(reader: &mut IniReader, section: &str) -> PipelineSpec {
    reader.check_keys(section, &["stages", "deadline_ms", "objective"]);
    let stages = reader.required_text(section, "stages", "encoder retriever reranker coachmodel");
    PipelineSpec {
        stages: stages.split_whitespace().map(ServiceName::new).collect(),
        deadline: reader.duration_from_ms(section, "deadline_ms", Duration::from_secs(6), 1..=MAX_DEADLINE_MS),
        objective: reader.number_in_range(section, "objective", 0.99, 0.0..=0.99999),
    }
}

/// Checks rules that span sections: references must name existing sections and versions, and addresses must differ.
pub(crate) fn check_document(document: &Document, faults: &mut FaultList) {
    check_references(document, faults);
    check_addresses(document, faults);
}

fn check_references(document: &Document, faults: &mut FaultList) {
    for (name, spec) in &document.targets {
        let section = || format!("target {name}");
        if !document.services.contains_key(&spec.service) && !spec.service.as_str().is_empty() {
            let remedy = format!("add `[service {}]` or correct the name", spec.service);
            faults.add(&section(), "service", format!("no service `{}`", spec.service), remedy);
        }
        if !document.dcs.contains_key(&spec.dc) && !spec.dc.as_str().is_empty() {
            let remedy = format!("add `[data-centre {}]` or correct the name", spec.dc);
            faults.add(&section(), "data_centre", format!("no data centre `{}`", spec.dc), remedy);
        }
    }
    for (name, spec) in &document.pipelines {
        let section = format!("pipeline {name}");
        for stage in spec.stages.iter().filter(|stage| !document.services.contains_key(*stage)) {
            let remedy = format!("add `[service {stage}]` or correct the name");
            faults.add(&section, "stages", format!("no service `{stage}`"), remedy);
        }
    }
    for (name, spec) in &document.services {
        let section = format!("service {name}");
        check_version(document, name, &spec.stable, &section, "stable", faults);
        if let Some(candidate) = &spec.candidate {
            check_version(document, name, &candidate.version, &section, "candidate", faults);
            if candidate.version == spec.stable {
                faults.add(&section, "candidate", "same as `stable`", "name another version or remove the key");
            }
        }
    }
}

fn check_version(
    document: &Document,
    service: &ServiceName,
    version: &VersionName,
    section: &str,
    key: &str,
    faults: &mut FaultList,
) {
    let has_target = document.targets.values().any(|spec| spec.service == *service && spec.version == *version);
    if !has_target && !version.as_str().is_empty() {
        let remedy = format!("add a `[target …]` with `service = {service}` and `version = {version}`");
        faults.add(section, key, format!("no target runs version `{version}`"), remedy);
    }
}

fn check_addresses(document: &Document, faults: &mut FaultList) {
    let mut owners: BTreeMap<SocketAddr, &TargetName> = BTreeMap::new();
    for (name, spec) in &document.targets {
        if let Some(other) = owners.insert(spec.address, name) {
            let problem = format!("{} is the address of `{other}` too", spec.address);
            faults.add(&format!("target {name}"), "address", problem, "give each target its own address");
        }
    }
}
