//! Faults in settings and documents. Each fault has its place and a remedy, and all faults of a text are reported
//! together.

use std::fmt;

/// A fault in an INI text of settings or of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Section that has the fault, without brackets.
    pub section: String,
    /// Key that has the fault, or empty if the fault concerns the whole section.
    pub key: String,
    /// Description of what is wrong.
    pub problem: String,
    /// Description of how to correct the fault.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}; {}", self.problem, self.remedy)
    }
}

/// All faults of one text.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct FaultList {
    /// Faults in the order in which the checks found them.
    pub faults: Vec<Fault>,
}

impl FaultList {
    /// Adds a fault of `key` in `section`; an empty `key` stands for the whole section.
    pub fn add(&mut self, section: &str, key: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(Fault {
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// Returns `value` if the list is empty.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it is not empty.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.faults.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
