//! HTTP client for the operators' requests to a node, and the HTTP agent for reads of the ledger.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use ureq::Agent;
use wasabipier_wire::burn::BurnReply;
use wasabipier_wire::caller::{DocumentReply, PromoteCall, PromoteReply, StatusReply};

use crate::cli::CtlArgs;
use crate::exit::CtlError;

/// Timeout of a whole call, from the connection to the end of the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

/// Creates an HTTP agent whose calls end after [`CALL_TIMEOUT`].
#[must_use]
pub fn new_agent() -> Agent {
    Agent::config_builder().timeout_global(Some(CALL_TIMEOUT)).build().new_agent()
}

/// Client of one node that authenticates with the operators' key.
#[derive(Debug)]
pub struct NodeClient {
    node: SocketAddr,
    bearer: String,
    agent: Agent,
}

impl NodeClient {
    /// Creates a client for the node and the key file given on the command line.
    ///
    /// # Errors
    ///
    /// Returns [`CtlError::UnreadableKey`] if the key file cannot be read.
    pub fn new(args: &CtlArgs) -> Result<Self, CtlError> {
        let key = fs::read_to_string(&args.key_file)
            .map_err(|source| CtlError::UnreadableKey { path: args.key_file.clone(), source })?;
        Ok(Self { node: args.node, bearer: format!("Bearer {}", key.trim()), agent: new_agent() })
    }

    /// Returns a client for another node with the same key and agent.
    #[must_use]
    pub fn for_node(&self, node: SocketAddr) -> Self {
        Self { node, bearer: self.bearer.clone(), agent: self.agent.clone() }
    }

    fn url(&self, action: &str) -> String {
        format!("http://{}/v1/operator/{action}", self.node)
    }

    fn get_json<T: serde::de::DeserializeOwned>(&self, action: &str) -> Result<T, CtlError> {
        let url = self.url(action);
        let answer = self.agent.get(&url).header("authorization", &self.bearer).call();
        answer.and_then(|mut response| response.body_mut().read_json()).map_err(|error| call_error(&url, &error))
    }

    /// Fetches the state of all nodes and rollouts that the node knows.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer or refuses the key.
    pub fn fetch_status(&self) -> Result<StatusReply, CtlError> {
        self.get_json("status")
    }

    /// Fetches the document in force at the node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer or refuses the key.
    pub fn fetch_document(&self) -> Result<DocumentReply, CtlError> {
        self.get_json("document")
    }

    /// Fetches the counts of this node alone for the service-level burn report.
    ///
    /// # Errors
    ///
    /// Returns an error if the node does not answer or refuses the key.
    pub fn fetch_burn_counts(&self) -> Result<BurnReply, CtlError> {
        self.get_json("burn")
    }

    /// Promotes a document and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the document was not accepted, or if that is not known, as after a timeout.
    pub fn promote(&self, call: &PromoteCall) -> Result<u64, CtlError> {
        let url = self.url("promote");
        let answer = self.agent.post(&url).header("authorization", &self.bearer).send_json(call);
        let reply: PromoteReply =
            answer.and_then(|mut response| response.body_mut().read_json()).map_err(|error| match error {
                ureq::Error::Timeout(_) => CtlError::Unknown,
                other => call_error(&url, &other),
            })?;
        match reply {
            PromoteReply::Accepted { revision } => Ok(revision),
            PromoteReply::Conflict { revision, author } => Err(CtlError::Conflict { revision, author }),
            PromoteReply::NotAccepted => Err(CtlError::NotAccepted),
            PromoteReply::Unknown => Err(CtlError::Unknown),
            PromoteReply::Invalid { faults } => Err(CtlError::RefusedDocument(faults)),
        }
    }
}

/// Converts the error of a call to `url`: status 401 to [`CtlError::KeyRefused`], all others to
/// [`CtlError::CallFailed`].
#[must_use]
pub fn call_error(url: &str, error: &ureq::Error) -> CtlError {
    match error {
        ureq::Error::StatusCode(401) => CtlError::KeyRefused,
        other => CtlError::CallFailed { url: url.to_owned(), detail: other.to_string() },
    }
}
