//! Identifiers: immutable names, numbers and keys, and the hash function that is the same on all nodes.
//!
//! Names are cheap to clone (`Arc<str>` inside) and ordered, so that tables keyed by them have the same order on every
//! node.

use std::fmt;
use std::sync::Arc;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text of the name.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns the text of the name as a shared string, without copying it.
            #[must_use]
            pub fn to_shared_str(&self) -> Arc<str> {
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
    /// Name of an organisation, which is billed for requests.
    OrgName
);
name_type!(
    /// Caller-chosen id of a request, unique within its organisation.
    RequestId
);
name_type!(
    /// Name of a node of this system, unique within an environment.
    NodeName
);
name_type!(
    /// Name of a target: one backend server that runs one version of one service.
    TargetName
);
name_type!(
    /// Name of a service, a kind of work that targets do: a pipeline stage or a plain service.
    ServiceName
);
name_type!(
    /// Name of a pipeline: a sequence of stages under one deadline.
    PipelineName
);
name_type!(
    /// Name of a version of a service.
    VersionName
);
name_type!(
    /// Name of a data centre.
    DcName
);
name_type!(
    /// Name of a model that engines load.
    ModelName
);
name_type!(
    /// Name of an adapter that engines load in addition to a model.
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
    /// Id of one run of a process. A node or target that restarts gets a new one.
    InstanceId
);
number_type!(
    /// Id of one open call of a caller or operator, assigned by the node that accepts the call.
    CallId
);
number_type!(
    /// Id of one attempt of one stage of one request, unique within a node's instance.
    AttemptId
);
number_type!(
    /// Random number that identifies one claim of a request or one promotion of a document. After the reply to a write
    /// was lost, a read of the row shows by this number whether the write took effect.
    Nonce
);
number_type!(
    /// Hash of a request's content (pipeline or service, and body), independent of the request's id.
    Fingerprint
);
number_type!(
    /// Hash of a prompt's prefix, the same for all prompts that share the prefix.
    PrefixKey
);
number_type!(
    /// Number that matches a reply of the table service with its operation.
    StoreTicket
);

/// Key of a request in every table, log line and charge: the organisation and its id for the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Organisation that is billed.
    pub org: OrgName,
    /// Id that the caller chose for the request.
    pub request: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.org, self.request)
    }
}

/// Key of a version: a service and the name of its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionKey {
    /// Service that the version belongs to.
    pub service: ServiceName,
    /// Name of the version.
    pub version: VersionName,
}

impl fmt::Display for VersionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.version)
    }
}

/// Returns a stable 64-bit hash (FNV-1a with a final mix) of `parts`, for rendezvous hashing and fingerprints. Each
/// part is followed by a 0xff byte, so that `["ab", "c"]` and `["a", "bc"]` have different hashes. All nodes compute
/// the same value.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = OFFSET_BASIS;
    for part in parts {
        for byte in part.iter().chain(&[0xff]) {
            hash ^= u64::from(*byte);
            hash = hash.wrapping_mul(PRIME);
        }
    }
    // The final mix spreads short inputs over the high bits, which FNV alone leaves nearly equal.
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
