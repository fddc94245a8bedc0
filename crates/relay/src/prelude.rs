//! Types that platform packages and the node's program use.

pub use crate::ports::{
    AnswerHead, DutyHolder, DutyReply, ListenKind, ListenerRequest, PlatformPort, RefusalKind, RefusalNotice,
    RequestHead, RolloutReply, RowPage, RowReply, RunClaim, StoreFault, SuspectRowReply, TargetRequest,
};
pub use crate::settings::{DutySettings, RelayAddresses, RelaySettings, RelayTimes, SettingsSource};
