//! Reader of INI texts that checks sections, keys and values and collects every fault.

use std::collections::BTreeSet;
use std::str::FromStr;
use std::time::Duration;

use ini::Ini;

use crate::fault::FaultList;

/// A parsed INI text and the faults found in it so far.
#[derive(Debug)]
pub struct IniReader {
    ini: Ini,
    /// Faults found so far.
    pub faults: FaultList,
}

impl IniReader {
    /// Parses `text`. Sections that occur more than once become faults of the reader.
    ///
    /// # Errors
    ///
    /// Returns a list with the syntax error and its line as the only fault.
    pub fn parse(text: &str) -> Result<Self, FaultList> {
        let mut faults = FaultList::default();
        match Ini::load_from_str(text) {
            Ok(ini) => {
                let mut reader = Self { ini, faults };
                reader.check_duplicate_sections();
                Ok(reader)
            }
            Err(error) => {
                let place = format!("line {}", error.line + 1);
                faults.add(&place, "", error.msg, "write `[section]` lines and `key = value` lines");
                Err(faults)
            }
        }
    }

    fn check_duplicate_sections(&mut self) {
        let mut seen = BTreeSet::new();
        for section in self.ini.sections().flatten() {
            if !seen.insert(section.to_owned()) {
                self.faults.add(section, "", "the section stands twice", "keep one of them");
            }
        }
    }

    /// Returns the names of the sections of a kind: `engine-1` for `[target engine-1]` and kind `target`.
    #[must_use]
    pub fn section_names(&self, kind: &str) -> Vec<String> {
        let sections = self.ini.sections().flatten();
        let names = sections.filter_map(|section| section.strip_prefix(kind)?.strip_prefix(' '));
        names.map(|name| name.trim().to_owned()).collect()
    }

    /// Adds a fault for each section that is neither one of `singles`, which have no name, nor of one of `kinds`.
    pub fn check_sections(&mut self, singles: &[&str], kinds: &[&str]) {
        let unknown: Vec<String> = self
            .ini
            .sections()
            .flatten()
            .filter(|section| {
                let kind = section.split(' ').next().unwrap_or_default();
                let is_named = section.contains(' ') && kinds.contains(&kind);
                !(is_named || singles.contains(section))
            })
            .map(str::to_owned)
            .collect();
        for section in unknown {
            let known = singles.iter().chain(kinds).copied().collect::<Vec<_>>().join(", ");
            self.faults.add(&section, "", "unknown section", format!("use one of: {known}"));
        }
    }

    /// Adds a fault for each key of `section` that is not one of `known`.
    pub fn check_keys(&mut self, section: &str, known: &[&str]) {
        let Some(properties) = self.ini.section(Some(section)) else { return };
        let unknown: Vec<String> =
            properties.iter().map(|(key, _)| key.to_owned()).filter(|key| !known.contains(&key.as_str())).collect();
        for key in unknown {
            self.faults.add(section, &key, "unknown key", format!("use one of: {}", known.join(", ")));
        }
    }

    /// Returns the keys and values of a section in the order of the text; empty if the section does not exist.
    #[must_use]
    pub fn entries(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        properties
            .into_iter()
            .flat_map(|properties| properties.iter())
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .collect()
    }

    /// Returns the trimmed text of a value, or `None` if the key does not exist or its value is empty.
    #[must_use]
    pub fn text(&self, section: &str, key: &str) -> Option<String> {
        let value = self.ini.section(Some(section))?.get(key)?.trim();
        (!value.is_empty()).then(|| value.to_owned())
    }

    /// Returns the text of a value. A missing value adds a fault that suggests `example` and returns an empty string.
    pub fn required_text(&mut self, section: &str, key: &str, example: &str) -> String {
        self.text(section, key).unwrap_or_else(|| {
            self.faults.add(section, key, "missing", format!("add `{key} = {example}`"));
            String::new()
        })
    }

    /// Parses a value, or returns `default` if it is missing. A value that does not parse adds a fault that describes
    /// the `expected` text and returns `default`.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, expected: &str) -> T {
        let Some(text) = self.text(section, key) else { return default };
        text.parse().unwrap_or_else(|_| {
            self.faults.add(section, key, format!("`{text}` is not valid"), format!("write {expected}"));
            default
        })
    }

    /// Parses a value. A value that is missing or does not parse adds a fault that describes the `expected` text and
    /// returns `default`.
    pub fn required_value<T: FromStr>(&mut self, section: &str, key: &str, default: T, expected: &str) -> T {
        if self.text(section, key).is_none() {
            self.faults.add(section, key, "missing", format!("add `{key} = ` with {expected}"));
            return default;
        }
        self.value(section, key, default, expected)
    }

    /// Parses a number, or returns `default` if it is missing. A number outside `range` adds a fault and returns
    /// `default`.
    pub fn number_in_range<T>(&mut self, section: &str, key: &str, default: T, range: std::ops::RangeInclusive<T>) -> T
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

    /// Parses a duration in milliseconds, or returns `default` if it is missing. A number of milliseconds outside
    /// `range` adds a fault and returns `default`.
    pub fn duration_from_ms(
        &mut self,
        section: &str,
        key: &str,
        default: Duration,
        range: std::ops::RangeInclusive<u64>,
    ) -> Duration {
        Duration::from_millis(self.number_in_range(section, key, default.as_millis() as u64, range))
    }

    /// Returns true for `yes`, false for `no`, and `default` if the value is missing. Any other value adds a fault and
    /// returns `default`.
    pub fn bool_value(&mut self, section: &str, key: &str, default: bool) -> bool {
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
