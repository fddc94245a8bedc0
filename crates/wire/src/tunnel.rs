//! Requests for a tunnel: a connection to a peer through which it passes the bytes of a connection to a target.
//!
//! The caller sends [`TUNNEL_MARK`], the length of the request in two bytes and the request. The peer answers with one
//! byte, a [`TunnelReply`]. After [`TunnelReply::Open`], both sides send the bytes of the connection to the target.

use serde::{Deserialize, Serialize};
use wasabipier_core::names::TargetName;

use crate::frame::FrameError;
use crate::relay::{decode, encode};

/// First byte of a connection that is to become a tunnel. No HTTP connection begins with it.
pub const TUNNEL_MARK: u8 = 0xb7;
/// Maximum size of a request in bytes.
pub const MAX_TUNNEL_REQUEST_BYTES: usize = 1_024;

/// A request for a tunnel. It names the target and no address, so that a peer connects to targets only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    target: String,
    incarnation: Option<u64>,
}

impl TunnelRequest {
    /// Creates a request for a tunnel to one incarnation of a target.
    #[must_use]
    pub fn new(target: &TargetName, incarnation: Option<u64>) -> Self {
        Self { target: target.to_string(), incarnation }
    }

    /// Returns the target and its incarnation.
    #[must_use]
    pub fn into_parts(self) -> (TargetName, Option<u64>) {
        (TargetName::new(self.target), self.incarnation)
    }

    /// Returns the bytes to send, with the mark and the length.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        let body = encode(self);
        let length = u16::try_from(body.len()).unwrap_or(u16::MAX);
        [&[TUNNEL_MARK][..], &length.to_be_bytes(), &body].concat()
    }

    /// Decodes the bytes after the length.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::TooLarge`] for more than [`MAX_TUNNEL_REQUEST_BYTES`], and otherwise the error of [`decode`].
    pub fn from_body(body: &[u8]) -> Result<Self, FrameError> {
        if body.len() > MAX_TUNNEL_REQUEST_BYTES {
            return Err(FrameError::TooLarge(body.len()));
        }
        decode(body)
    }
}

/// Answer to a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::FromRepr, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum TunnelReply {
    /// The peer has connected to the target.
    Open = 0,
    /// The peer knows no such target that takes calls, or another incarnation of it.
    UnknownTarget = 1,
    /// The peer does not reach the target.
    Unreached = 2,
    /// The peer is cut off from all targets.
    CutOff = 3,
    /// The peer is stopping, or has as many tunnels open as it may.
    Busy = 4,
}
