//! A caller: asks at one address, or as callers shall, at addresses that it keeps for their stated time.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wasabipier_wire::caller::{
    AddressesReply, DEADLINE_HEADER, FinalReply, ORGANISATION_HEADER, REQUEST_HEADER, TokenReply,
};

/// An answer as a caller gets it.
#[derive(Clone, Debug, Default)]
pub struct TestAnswer {
    /// HTTP status, 0 if there was no answer.
    pub status: u16,
    /// Tokens in the order in which they came.
    pub tokens: Vec<TokenReply>,
    /// The last line.
    pub end: Option<FinalReply>,
    /// The body as it came, if it was one piece.
    pub raw: String,
}

impl TestAnswer {
    /// The outcome's word, or empty.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.end.as_ref().map_or("", |end| end.outcome.as_str())
    }

    /// Text of the tokens.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.iter().map(|token| token.token.as_str()).collect()
    }
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct TestAsk {
    /// Organisation.
    pub org: String,
    /// `pipelines/NAME` or `services/NAME`.
    pub goal: String,
    /// Request id.
    pub request: String,
    /// JSON body.
    pub body: String,
    /// Deadline.
    pub deadline: Duration,
}

impl TestAsk {
    /// A request of `lions` with a deadline of six seconds.
    #[must_use]
    pub fn new(goal: &str, request: &str, body: &str) -> Self {
        Self {
            org: "lions".to_owned(),
            goal: goal.to_owned(),
            request: request.to_owned(),
            body: body.to_owned(),
            deadline: Duration::from_secs(6),
        }
    }
}

/// Asks at an address and reads the whole answer.
#[must_use]
pub fn ask_at(agent: &ureq::Agent, address: SocketAddr, ask: &TestAsk) -> TestAnswer {
    let response = agent
        .post(format!("http://{address}/v1/{}", ask.goal))
        .header(ORGANISATION_HEADER, &ask.org)
        .header(REQUEST_HEADER, &ask.request)
        .header(DEADLINE_HEADER, ask.deadline.as_millis().to_string())
        .send(&ask.body);
    let Ok(mut response) = response else { return TestAnswer::default() };
    let mut answer = TestAnswer { status: response.status().as_u16(), ..TestAnswer::default() };
    for line in BufReader::new(response.body_mut().as_reader()).lines().map_while(Result::ok) {
        if let Ok(token) = serde_json::from_str::<TokenReply>(&line) {
            answer.tokens.push(token);
        } else if let Ok(end) = serde_json::from_str::<FinalReply>(&line) {
            answer.end = Some(end);
        }
        answer.raw = line;
    }
    answer
}

/// A caller that asks for addresses and keeps them for their stated time.
#[derive(Debug)]
pub struct TestCaller {
    agent: ureq::Agent,
    known: Vec<SocketAddr>,
    lapses: Instant,
    next: usize,
    /// How often it asks with the same id when it gets no answer at all.
    pub most_asks: u32,
}

impl TestCaller {
    /// A caller that starts with these addresses, and asks there for better ones.
    #[must_use]
    pub fn new(agent: &ureq::Agent, known: Vec<SocketAddr>, next: usize) -> Self {
        Self { agent: agent.clone(), known, lapses: Instant::now(), next, most_asks: 1 }
    }

    /// The address to use now.
    pub fn address(&mut self) -> SocketAddr {
        if Instant::now() >= self.lapses {
            self.refresh();
        }
        self.next += 1;
        self.known[self.next % self.known.len()]
    }

    fn refresh(&mut self) {
        for address in self.known.clone() {
            let asked = Instant::now();
            let answer = self.agent.get(format!("http://{address}/v1/addresses")).call();
            let reply = answer.and_then(|mut response| response.body_mut().read_json::<AddressesReply>());
            let Ok(reply) = reply else { continue };
            let addresses: Vec<SocketAddr> = reply.addresses.iter().filter_map(|text| text.parse().ok()).collect();
            if !addresses.is_empty() {
                self.known = addresses;
                self.lapses = asked + Duration::from_millis(reply.keep_for_ms);
                return;
            }
        }
    }

    /// Asks at one of the addresses, and at others if there is no answer.
    pub fn ask(&mut self, ask: &TestAsk) -> TestAnswer {
        let mut answer = TestAnswer::default();
        for _ in 0..self.most_asks {
            let address = self.address();
            answer = ask_at(&self.agent, address, ask);
            if answer.end.is_some() {
                break;
            }
            self.lapses = Instant::now();
        }
        answer
    }
}
