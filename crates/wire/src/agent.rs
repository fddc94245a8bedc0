//! HTTP clients towards addresses that are IP numbers.
//!
//! The library's own resolver starts a thread for each call that has a timeout, and panics when the
//! machine refuses it. All addresses of this system are IP numbers, which need no look-up.

use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{DefaultConnector, NextTimeout};
use ureq::{Agent, Error};

/// Reads IP numbers; there are no names to look up.
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

/// A client for addresses that are IP numbers with a port.
#[must_use]
pub fn ip_agent(config: Config) -> Agent {
    Agent::with_parts(config, DefaultConnector::default(), IpResolver)
}
