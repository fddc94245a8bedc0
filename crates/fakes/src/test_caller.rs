//! Test callers: send requests to one address or, as real callers have to, to addresses that nodes list. Callers keep
//! such a list for the time that the node states in its reply.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wasabipier_wire::caller::{
    AddressesReply, DEADLINE_HEADER, FinalReply, ORGANISATION_HEADER, REQUEST_ID_HEADER, TokenReply,
};

/// Answer as a caller receives it.
#[derive(Clone, Debug, Default)]
pub struct TestAnswer {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Tokens of a stream, in order of arrival.
    pub tokens: Vec<TokenReply>,
    /// Final reply, or `None` if the connection broke before or the answer is not in the form of one.
    pub final_reply: Option<FinalReply>,
    /// Last line of the body as received: the whole body of an answer that isn't a stream.
    pub last_line: String,
}

impl TestAnswer {
    /// Returns the outcome of the final reply; empty if there is none.
    #[must_use]
    pub fn outcome(&self) -> &str {
        self.final_reply.as_ref().map_or("", |reply| reply.outcome.as_str())
    }

    /// Returns the joined text of all tokens.
    #[must_use]
    pub fn text(&self) -> String {
        self.tokens.iter().map(|token| token.token.as_str()).collect()
    }
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct TestRequest {
    /// Name of the organisation.
    pub org: String,
    /// Path of the pipeline or service: `pipelines/NAME` or `services/NAME`.
    pub goal: String,
    /// Id of the request.
    pub request_id: String,
    /// JSON body.
    pub body: String,
    /// Time that the caller allows for the answer.
    pub deadline: Duration,
}

impl TestRequest {
    /// Creates a request of the organisation `lions` with a deadline of six seconds.
    #[must_use]
    pub fn new(goal: &str, request_id: &str, body: &str) -> Self {
        Self {
            org: "lions".to_owned(),
            goal: goal.to_owned(),
            request_id: request_id.to_owned(),
            body: body.to_owned(),
            deadline: Duration::from_secs(6),
        }
    }
}

/// Sends a request to an address and reads the whole answer.
#[must_use]
pub fn ask_at(agent: &ureq::Agent, address: SocketAddr, request: &TestRequest) -> TestAnswer {
    let response = agent
        .post(format!("http://{address}/v1/{}", request.goal))
        .header(ORGANISATION_HEADER, &request.org)
        .header(REQUEST_ID_HEADER, &request.request_id)
        .header(DEADLINE_HEADER, request.deadline.as_millis().to_string())
        .send(&request.body);
    let Ok(mut response) = response else { return TestAnswer::default() };
    let mut answer = TestAnswer { status: response.status().as_u16(), ..TestAnswer::default() };
    for line in BufReader::new(response.body_mut().as_reader()).lines().map_while(Result::ok) {
        if let Ok(token) = serde_json::from_str::<TokenReply>(&line) {
            answer.tokens.push(token);
        } else if let Ok(reply) = serde_json::from_str::<FinalReply>(&line) {
            answer.final_reply = Some(reply);
        }
        answer.last_line = line;
    }
    answer
}

/// Caller that gets the addresses of nodes from a node and keeps them for the time that the node states.
#[derive(Debug)]
pub struct TestCaller {
    agent: ureq::Agent,
    addresses: Vec<SocketAddr>,
    addresses_expire_at: Instant,
    /// Index of the address last used, modulo the length of `addresses`.
    last_index: usize,
    /// Most attempts of one request, all with the same id; further ones follow only if no final reply came.
    pub max_attempts: u32,
}

impl TestCaller {
    /// Creates a caller that gets its first list from one of `addresses`, and whose first request goes to the entry at
    /// `last_index + 1` of that list, modulo the length.
    #[must_use]
    pub fn new(agent: &ureq::Agent, addresses: Vec<SocketAddr>, last_index: usize) -> Self {
        Self { agent: agent.clone(), addresses, addresses_expire_at: Instant::now(), last_index, max_attempts: 1 }
    }

    /// Moves on to the next address of the list and returns it. Refreshes the list first if it has expired.
    pub fn select_address(&mut self) -> SocketAddr {
        if Instant::now() >= self.addresses_expire_at {
            self.refresh_addresses();
        }
        self.last_index += 1;
        self.addresses[self.last_index % self.addresses.len()]
    }

    /// Replaces the addresses by those that the first responding node lists. Keeps the addresses if no node responds
    /// with a list that isn't empty.
    fn refresh_addresses(&mut self) {
        for address in self.addresses.clone() {
            let requested_at = Instant::now();
            let response = self.agent.get(format!("http://{address}/v1/addresses")).call();
            let reply = response.and_then(|mut response| response.body_mut().read_json::<AddressesReply>());
            let Ok(reply) = reply else { continue };
            let addresses: Vec<SocketAddr> = reply.addresses.iter().filter_map(|text| text.parse().ok()).collect();
            if !addresses.is_empty() {
                self.addresses = addresses;
                self.addresses_expire_at = requested_at + Duration::from_millis(reply.keep_for_ms);
                return;
            }
        }
    }

    /// Sends a request to the next address, and again with the same id to further ones while no final reply comes.
    pub fn ask(&mut self, request: &TestRequest) -> TestAnswer {
        let mut answer = TestAnswer::default();
        for _ in 0..self.max_attempts {
            let address = self.select_address();
            answer = ask_at(&self.agent, address, request);
            if answer.final_reply.is_some() {
                break;
            }
            self.addresses_expire_at = Instant::now();
        }
        answer
    }
}
