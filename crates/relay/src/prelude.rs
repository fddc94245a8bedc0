//! The types that a platform's package and the node's program need.

pub use crate::ports::{
    AnswerHead, AskHead, CallerCall, ListenKind, PlatformPort, RefusalKind, RefusalNotice, RowPage, RunClaim,
    ServerOrder, StoreFault,
};
pub use crate::settings::{RelayAddresses, RelaySettings, RelayTimes, SettingsSource};
