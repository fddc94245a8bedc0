//! Shared immutable names and numbers that identify things.
//!
//! Names are cheap to clone (`Arc<str>` inside) and ordered, so that tables keyed by them have a
//! stable order on every node.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// The text of the name, shared.
            #[must_use]
            pub fn shared(&self) -> Arc<str> {
                self.0.clone()
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A customer of the users, who is billed for requests.
    OrgName
);
name_type!(
    /// The caller's own name for a request, unique within its organisation.
    RequestId
);
name_type!(
    /// A node of this system, unique among the nodes of an environment.
    NodeName
);
name_type!(
    /// A back end: one server that carries one version of one service.
    TargetName
);
name_type!(
    /// A kind of work that targets do: a pipeline stage or a plain service.
    ServiceName
);
name_type!(
    /// A sequence of stages under one deadline.
    PipelineName
);
name_type!(
    /// A version of a service.
    VersionName
);
name_type!(
    /// A data centre.
    DcName
);
name_type!(
    /// A model that engines load.
    ModelName
);
name_type!(
    /// An adapter that engines load beside a model.
    AdapterName
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:x}", self.0)
            }
        }
    };
}

number_type!(
    /// One run of a process: a node or a target that restarts gets a new one.
    InstanceId
);
number_type!(
    /// One caller's open call at this node, given by the edge.
    CallId
);
number_type!(
    /// One attempt of one stage of one request, unique within a node's instance.
    AttemptId
);
number_type!(
    /// A random number that marks one claim, so that a lost answer can be settled by a read.
    Nonce
);
number_type!(
    /// A hash of a request's content, which is the same under whatever id it comes.
    Fingerprint
);
number_type!(
    /// A hash of a prompt's beginning, the same for all prompts that share it.
    PrefixKey
);
number_type!(
    /// Ties a reply of the table service to its operation.
    StoreTicket
);

/// Who asked what: the key of a request in every table, log line and charge.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// The organisation that is billed.
    pub org: OrgName,
    /// The caller's id for the request.
    pub request: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.org, self.request)
    }
}

/// A version of a service, as a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// The service.
    pub service: ServiceName,
    /// Its version.
    pub version: VersionName,
}

impl fmt::Display for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.version)
    }
}

/// A stable 64-bit hash (FNV-1a) for rendezvous choices and fingerprints, the same on every node.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = OFFSET;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash ^= u64::from(*byte);
            hash = hash.wrapping_mul(PRIME);
        }
    }
    // A final mix: FNV alone leaves the high bits of short inputs alike.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
