//! HTTP clients for servers that are addressed by IP address.
//!
//! The default resolver of `ureq` starts a thread for each call that has a timeout, and panics if the operating system
//! refuses to start it. All addresses of this system are IP addresses, which need no name resolution.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Resolver that parses IP addresses and never looks up names.
#[derive(Debug)]
struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(&self, uri: &Uri, _config: &Config, _timeout: NextTimeout) -> Result<ResolvedSocketAddrs, Error> {
        let address = uri.authority().and_then(|authority| authority.as_str().parse::<SocketAddr>().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(Error::HostNotFound)?);
        Ok(addresses)
    }
}

/// Returns a client whose URLs must have an IP address with a port as their authority. Other URLs fail with
/// [`Error::HostNotFound`].
#[must_use]
pub fn ip_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}
