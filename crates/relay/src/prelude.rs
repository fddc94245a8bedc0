//! The types that most users of this package need.

pub use crate::ports::{
    AnswerHead, AskHead, CallerCall, ListenKind, PlatformPort, RefusalNotice, ServerOrder, StoreFault,
};
pub use crate::settings::{RelaySettings, SettingsSource};
