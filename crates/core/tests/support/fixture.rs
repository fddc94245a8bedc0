//! A node with an in-memory table service, for tests, benches and examples.
#![allow(dead_code, reason = "each test, bench or example uses only some of the items")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wasabipier_core::document::{DcSpec, OrgSpec, PipelineSpec, ServiceKind, ServiceSpec, TargetSpec};
use wasabipier_core::prelude::*;

/// Interval between ticks of the simulated time.
pub const TICK: Duration = Duration::from_millis(20);

/// A node, the rows of its table service, and the actions that it requested, one list per kind.
pub struct NodeFixture {
    pub core: NodeCore,
    pub now: Moment,
    pub sent_attempts: Vec<AttemptRequest>,
    pub cancelled: Vec<AttemptId>,
    pub answers: Vec<(CallId, AnswerPart)>,
    pub charges: Vec<ChargeLine>,
    pub peer_messages: Vec<(NodeName, PeerMessage)>,
    rows: BTreeMap<RowKey, Row>,
    last_call_id: u64,
}

/// One service of a fixture's document and the number and limits of its targets.
pub struct PoolSpec {
    pub service: &'static str,
    pub kind: ServiceKind,
    pub repeatable: bool,
    pub targets: usize,
    /// Cold and warm limit of each target, in calls in flight.
    pub limits: (u32, u32),
}

impl Default for PoolSpec {
    fn default() -> Self {
        Self { service: "clubs", kind: ServiceKind::Plain, repeatable: true, targets: 2, limits: (8, 8) }
    }
}

/// Returns a document with a service for each pool, the pipeline `plan` over all repeatable ones, and two
/// organisations.
pub fn document(pools: &[PoolSpec], seats: u32) -> Document {
    let mut content = Document { environment: Arc::from("test"), seats, ..Document::default() };
    content.dcs.insert("khomas-a".into(), DcSpec::default());
    content.orgs.insert("lions".into(), OrgSpec::default());
    content.orgs.insert("swallows".into(), OrgSpec::default());
    for pool in pools {
        let spec = ServiceSpec {
            kind: pool.kind,
            repeatable: pool.repeatable,
            cold_limit: pool.limits.0,
            warm_limit: pool.limits.1,
            ..ServiceSpec::default()
        };
        content.services.insert(pool.service.into(), spec);
        for number in 0..pool.targets {
            let target = TargetSpec {
                service: pool.service.into(),
                version: "v1".into(),
                dc: "khomas-a".into(),
                address: ([127, 0, 0, 1], 9000).into(),
                ..TargetSpec::default()
            };
            content.targets.insert(TargetName::new(format!("{}-{number:04}", pool.service)), target);
        }
    }
    let stages = pools.iter().filter(|pool| pool.repeatable).map(|pool| pool.service.into()).collect();
    let plan = PipelineSpec { stages, deadline: Duration::from_secs(6), objective: 0.99 };
    content.pipelines.insert("plan".into(), plan);
    content
}

/// Returns the identity of a test's node.
pub fn identity(node: &str) -> Identity {
    Identity {
        node: node.into(),
        instance: InstanceId(1),
        dc: "khomas-a".into(),
        caller_address: ([127, 0, 0, 1], 8001).into(),
        peer_address: ([127, 0, 0, 1], 7001).into(),
    }
}

impl NodeFixture {
    /// Starts a node with the document `content` and returns it once it holds all seats of the document.
    pub fn serving(content: Document, tuning: Tuning) -> Self {
        let config = NodeConfig { identity: identity("entry-1"), tuning, seed: 7, peers: Vec::new() };
        let (core, _) = NodeCore::new(config);
        let seats = content.seats as usize;
        let mut fixture = Self {
            core,
            now: Moment(1_000),
            sent_attempts: Vec::new(),
            cancelled: Vec::new(),
            answers: Vec::new(),
            charges: Vec::new(),
            peer_messages: Vec::new(),
            rows: BTreeMap::new(),
            last_call_id: 0,
        };
        let accepted = AcceptedDocument { revision: Revision(1), content, ..AcceptedDocument::default() };
        let row = Row { version: RowVersion(1), value: RowValue::Document(Arc::new(accepted)) };
        fixture.rows.insert(RowKey::Document, row);
        while fixture.core.board().permits.seats().len() < seats {
            fixture.advance(TICK);
        }
        fixture
    }

    /// Advances the time by `span`, tick by tick.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.handle(&Event::Tick);
        }
    }

    /// Lets the node handle an event, carries out its operations on the table service, and collects the actions that
    /// the fixture has a field for.
    pub fn handle(&mut self, event: &Event) {
        let mut actions = self.core.handle(self.now, WallTime(self.now.0), event);
        while let Some(action) = actions.pop() {
            match action {
                Action::Store(ticket, op) => {
                    let reply = self.apply_op(*op);
                    let replied = Event::Store(ticket, Box::new(reply));
                    actions.extend(self.core.handle(self.now, WallTime(self.now.0), &replied));
                }
                Action::Send(request) => self.sent_attempts.push(*request),
                Action::Cancel(attempt) => self.cancelled.push(attempt),
                Action::Answer(call, part) => self.answers.push((call, part)),
                Action::Charge(line) => self.charges.push(*line),
                Action::SendToPeer(node, message) => self.peer_messages.push((node, *message)),
                _ => {}
            }
        }
    }

    /// Applies an operation to the rows and returns the reply.
    fn apply_op(&mut self, op: StoreOp) -> StoreReply {
        match op {
            StoreOp::Read { key } => StoreReply::Read(self.rows.get(&key).cloned()),
            StoreOp::Write { key, expected, value } => {
                let current = self.rows.get(&key);
                if current.map(|row| row.version) != expected {
                    return StoreReply::Conflict(current.cloned());
                }
                let version = RowVersion(expected.map_or(1, |version| version.0 + 1));
                self.rows.insert(key, Row { version, value });
                StoreReply::Written(version)
            }
        }
    }

    /// Sends a request for the pipeline `plan` or for the service `goal`, and returns the id of the call.
    pub fn ask(&mut self, request: &str, goal: &str, deadline: Duration, priority: Priority) -> CallId {
        let body = Arc::from(format!("\"{request}\""));
        self.ask_with(request, goal, body, deadline, priority)
    }

    /// Sends a request with the given body, and returns the id of the call.
    pub fn ask_with(
        &mut self,
        request: &str,
        goal: &str,
        body: Arc<str>,
        deadline: Duration,
        priority: Priority,
    ) -> CallId {
        self.last_call_id += 1;
        let call = CallId(self.last_call_id);
        let goal = if goal == "plan" { Goal::Pipeline(goal.into()) } else { Goal::Service(goal.into()) };
        let key = RequestKey { org: "lions".into(), request: request.into() };
        self.handle(&Event::Asked(Box::new(CallerRequest { call, key, goal, body, deadline, priority })));
        call
    }

    /// Delivers a token of an attempt's stream to the node.
    pub fn deliver_token(&mut self, attempt: AttemptId, index: u32) {
        let text = Arc::from(format!("t{index} "));
        self.handle(&Event::Attempt(attempt, AttemptEvent::Token { index, text }));
    }

    /// Reports to the node that an attempt finished. The result of a stream is the text of the tokens that it sent.
    pub fn finish(&mut self, attempt: AttemptId) {
        let requests = &self.core.board().requests;
        let stream = requests.attempt(attempt).filter(|attempt| attempt.is_stream);
        let sent = stream.and_then(|stream| {
            let record = requests.get(&stream.key)?;
            Some(record.tokens[stream.resume_from as usize..].concat())
        });
        let finished = AttemptEvent::Finished {
            body: Arc::from(sent.unwrap_or_else(|| "\"ok\"".to_owned())),
            usage: Usage::default(),
            report: LoadReport::default(),
        };
        self.handle(&Event::Attempt(attempt, finished));
    }

    /// Reports to the node that an attempt failed; `sent` tells whether any of its call may have been sent.
    pub fn fail(&mut self, attempt: AttemptId, kind: FailureKind, sent: bool) {
        self.handle(&Event::Attempt(attempt, AttemptEvent::Failed { kind, sent }));
    }

    /// Returns the final answer to a call, if there is one.
    pub fn answer(&self, call: CallId) -> Option<&FinalAnswer> {
        self.answers.iter().find_map(|(to, part)| match part {
            AnswerPart::Final(answer) if *to == call => Some(answer.as_ref()),
            _ => None,
        })
    }
}
