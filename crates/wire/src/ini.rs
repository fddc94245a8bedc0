//! Reads sections of an INI text key by key, collecting every fault.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::fault::FaultList;

/// An INI text being read.
#[derive(Debug)]
pub struct IniReader {
    ini: Ini,
    /// Faults so far.
    pub faults: FaultList,
}

impl IniReader {
    /// Parses the text; a syntax error becomes the only fault.
    ///
    /// # Errors
    ///
    /// The syntax error, with its line.
    pub fn parse(text: &str) -> Result<Self, FaultList> {
        let mut faults = FaultList::default();
        match Ini::load_from_str(text) {
            Ok(ini) => {
                let mut reader = Self { ini, faults };
                reader.check_repeats();
                Ok(reader)
            }
            Err(error) => {
                let place = format!("line {}", error.line + 1);
                faults.add(&place, "", error.msg, "write `[section]` lines and `key = value` lines");
                Err(faults)
            }
        }
    }

    fn check_repeats(&mut self) {
        let mut seen = BTreeSet::new();
        for section in self.ini.sections().flatten() {
            if !seen.insert(section.to_owned()) {
                self.faults.add(section, "", "the section stands twice", "keep one of them");
            }
        }
    }

    /// Names of the sections `[kind name]`.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let sections = self.ini.sections().flatten();
        let names = sections.filter_map(|section| section.strip_prefix(kind)?.strip_prefix(' '));
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Notes sections that are neither `singles` nor of one of `kinds`.
    pub fn check_sections(&mut self, singles: &[&str], kinds: &[&str]) {
        let unknown: Vec<String> = self
            .ini
            .sections()
            .flatten()
            .filter(|section| {
                let kind = section.split(' ').next().unwrap_or_default();
                let named = section.contains(' ') && kinds.contains(&kind);
                !(named || singles.contains(section))
            })
            .map(str::to_owned)
            .collect();
        for section in unknown {
            let known = singles.iter().chain(kinds).copied().collect::<Vec<_>>().join(", ");
            self.faults.add(&section, "", "unknown section", format!("use one of: {known}"));
        }
    }

    /// Notes keys of a section that are not `known`.
    pub fn check_keys(&mut self, section: &str, known: &[&str]) {
        let Some(properties) = self.ini.section(Some(section)) else { return };
        let unknown: Vec<String> =
            properties.iter().map(|(key, _)| key.to_owned()).filter(|key| !known.contains(&key.as_str())).collect();
        for key in unknown {
            self.faults.add(section, &key, "unknown key", format!("use one of: {}", known.join(", ")));
        }
    }

    /// Keys and values of a section, in its order.
    #[must_use]
    pub fn entries(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        properties
            .into_iter()
            .flat_map(|properties| properties.iter())
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .collect()
    }

    /// A value as text, if it is there and not empty.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.section(Some(section))?.get(key)?.trim();
        (!value.is_empty()).then(|| value.to_owned())
    }

    /// A value that must be there.
    pub fn required_text(&mut self, section: &str, key: &str, example: &str) -> String {
        self.text(section, key).unwrap_or_else(|| {
            self.faults.add(section, key, "missing", format!("add `{key} = {example}`"));
            String::new()
        })
    }

    /// A value of a type, or `default` if it is not there.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, expected: &str) -> T {
        let Some(text) = self.text(section, key) else { return default };
        text.parse().unwrap_or_else(|_| {
            self.faults.add(section, key, format!("`{text}` is not valid"), format!("write {expected}"));
            default
        })
    }

    /// A value of a type that must be there.
    pub fn required<T: FromStr>(&mut self, section: &str, key: &str, default: T, expected: &str) -> T {
        if self.text(section, key).is_none() {
            self.faults.add(section, key, "missing", format!("add `{key} = ` with {expected}"));
            return default;
        }
        self.value(section, key, default, expected)
    }

    /// A number within bounds, or `default` if it is not there.
    pub fn bounded<T>(&mut self, section: &str, key: &str, default: T, range: std::ops::RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + std::fmt::Display + Copy,
    {
        let expected = format!("a number from {} to {}", range.start(), range.end());
        let value = self.value(section, key, default, &expected);
        if range.contains(&value) {
            return value;
        }
        self.faults.add(section, key, format!("{value} is out of bounds"), format!("write {expected}"));
        default
    }

    /// A time in milliseconds, within bounds.
    pub fn millis(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        range: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.bounded(section, key, default.as_millis() as u64, range))
    }

    /// `yes` or `no`.
    pub fn yes(&mut self, section: &str, key: &str, default: bool) -> bool {
        match self.text(section, key).as_deref() {
            None => default,
            Some("yes") => true,
            Some("no") => false,
            Some(other) => {
                let problem = format!("`{other}` is not valid");
                self.faults.add(section, key, problem, "write `yes` or `no`");
                default
            }
        }
    }
}
