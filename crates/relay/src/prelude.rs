//! Types that platform packages and the node's program use.

pub use crate::ports::{
    AnswerHead, AskHead, CallerCall, ListenKind, PlatformPort, RefusalKind, RefusalNotice, RowPage, RunClaim,
    ServerOrder, StoreFault,
};
pub use crate::settings::{RelayAddresses, RelaySettings, RelayTimes, SettingsSource};
