//! Faults in settings and documents: each names its place and the remedy, and all are told in one go.

use std::fmt;

/// One fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Section in which it is, without brackets.
    pub section: String,
    /// Key, or empty if the section itself is at fault.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
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
    /// In the order of the text.
    pub faults: Vec<Fault>,
}

impl FaultList {
    /// Adds a fault.
    pub fn add(&mut self, section: &str, key: &str, problem: impl Into<String>, remedy: impl Into<String>) {
        self.faults.push(Fault {
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
            remedy: remedy.into(),
        });
    }

    /// `value`, if there is no fault.
    ///
    /// # Errors
    ///
    /// The list itself, if it is not empty.
    pub fn or<T>(self, value: T) -> Result<T, Self> {
        if self.faults.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}
