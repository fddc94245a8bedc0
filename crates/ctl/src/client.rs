//! Calls to a node and to the platform.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::{DocumentReply, PromoteCall, PromoteReply, StatusReply};

use crate::cli::CtlArgs;
use crate::exit::CtlError;

const ANSWER_WITHIN: Duration = Duration::from_secs(40);

/// An agent for any call.
#[must_use]
pub fn agent() -> Agent {
    Agent::config_builder().timeout_global(Some(ANSWER_WITHIN)).build().new_agent()
}

/// Calls one node with the operators' key.
#[derive(Debug)]
pub struct NodeClient {
    node: SocketAddr,
    bearer: String,
    agent: Agent,
}

impl NodeClient {
    /// A client for the node and key of the command line.
    ///
    /// # Errors
    ///
    /// The key's file cannot be read.
    pub fn new(args: &CtlArgs) -> Result<Self, CtlError> {
        let key = fs::read_to_string(&args.key_file)
            .map_err(|source| CtlError::NoKeyFile { path: args.key_file.clone(), source })?;
        Ok(Self { node: args.node, bearer: format!("Bearer {}", key.trim()), agent: agent() })
    }

    /// The same client for another node.
    #[must_use]
    pub fn at(&self, node: SocketAddr) -> Self {
        Self { node, bearer: self.bearer.clone(), agent: self.agent.clone() }
    }

    fn url(&self, action: &str) -> String {
        format!("http://{}/v1/operator/{action}", self.node)
    }

    fn get<T: serde::de::DeserializeOwned>(&self, action: &str) -> Result<T, CtlError> {
        let url = self.url(action);
        let answer = self.agent.get(&url).header("authorization", &self.bearer).call();
        answer.and_then(|mut response| response.body_mut().read_json()).map_err(|error| no_answer(&url, &error))
    }

    /// What the node knows.
    ///
    /// # Errors
    ///
    /// No answer.
    pub fn status(&self) -> Result<StatusReply, CtlError> {
        self.get("status")
    }

    /// The document in force there.
    ///
    /// # Errors
    ///
    /// No answer.
    pub fn document(&self) -> Result<DocumentReply, CtlError> {
        self.get("document")
    }

    /// What the node counted for the service-level report.
    ///
    /// # Errors
    ///
    /// No answer.
    pub fn burn(&self) -> Result<BurnReply, CtlError> {
        self.get("burn")
    }

    /// Promotes a document; gives back its revision.
    ///
    /// # Errors
    ///
    /// It was not accepted, or that is not known.
    pub fn promote(&self, call: &PromoteCall) -> Result<u64, CtlError> {
        let url = self.url("promote");
        let answer = self.agent.post(&url).header("authorization", &self.bearer).send_json(call);
        let reply: PromoteReply =
            answer.and_then(|mut response| response.body_mut().read_json()).map_err(|error| match error {
                ureq::Error::Timeout(_) => CtlError::Unknown,
                other => no_answer(&url, &other),
            })?;
        match reply {
            PromoteReply::Accepted { revision } => Ok(revision),
            PromoteReply::Conflict { revision, author } => Err(CtlError::Conflict { revision, author }),
            PromoteReply::NotAccepted => Err(CtlError::NotAccepted),
            PromoteReply::Unknown => Err(CtlError::Unknown),
            PromoteReply::Invalid { faults } => Err(CtlError::Invalid(faults)),
        }
    }
}

/// The error for a call that got no answer.
#[must_use]
pub fn no_answer(place: &str, error: &ureq::Error) -> CtlError {
    match error {
        ureq::Error::StatusCode(401) => CtlError::NoKey,
        other => CtlError::NoAnswer { place: place.to_owned(), detail: other.to_string() },
    }
}
