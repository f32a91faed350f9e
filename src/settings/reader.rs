//! Reads typed values from an INI file and collects all problems.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ini::{
    Ini,
    Properties, //
};

use super::problem::Problem;

/// Keys that a section accepts.
#[derive(Clone, Debug)]
enum AllowedKeys {
    /// A fixed set of keys.
    Fixed(BTreeSet<&'static str>),
    /// Any key; the operator chooses the names.
    Any,
}

/// Reader of one settings file.
pub(super) struct Reader<'a> {
    ini: &'a Ini,
    problems: Vec<Problem>,
    /// Keys that each section accepts.
    ///
    /// Invariant: contains every section and key that was requested.
    known: BTreeMap<&'static str, AllowedKeys>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(ini: &'a Ini) -> Reader<'a> {
        Reader {
            ini,
            problems: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    /// Reads a required key. Records a problem and returns `None` if it is
    /// missing or invalid.
    pub(super) fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        match self.raw_value(section, key) {
            Some(value) => self.parse(section, key, value, expected, parse),
            None => {
                self.problems.push(Problem::Missing {
                    section,
                    key,
                    expected,
                });
                None
            }
        }
    }

    /// Reads an optional key. Returns `default` if it is missing or invalid;
    /// only an invalid value is a problem.
    pub(super) fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: T,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        match self.raw_value(section, key) {
            Some(value) => self
                .parse(section, key, value, expected, parse)
                .unwrap_or(default),
            None => default,
        }
    }

    /// Returns all entries of a section that accepts any key.
    pub(super) fn entries(&mut self, section: &'static str) -> Vec<(&'a str, &'a str)> {
        self.known.insert(section, AllowedKeys::Any);
        let properties = self.ini.section(Some(section));
        properties.map_or_else(Vec::new, |p| p.iter().collect())
    }

    /// Parses the value of a key. Records a problem if `parse` rejects it.
    pub(super) fn parse<T>(
        &mut self,
        section: &'static str,
        key: &str,
        value: &str,
        expected: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(value);
        if parsed.is_none() {
            self.problems.push(Problem::Invalid {
                section,
                key: key.to_owned(),
                value: value.to_owned(),
                expected,
            });
        }
        parsed
    }

    /// Records a problem.
    pub(super) fn report(&mut self, problem: Problem) {
        self.problems.push(problem);
    }

    /// Returns all problems, including unknown and duplicate sections and keys.
    ///
    /// Call it after all settings were requested: any other section or key
    /// counts as unknown.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        let mut seen = BTreeSet::new();
        let ini = self.ini;
        for (section, properties) in ini.iter() {
            match section {
                None => self.report_keys_outside_sections(properties),
                Some(section) => {
                    if !seen.insert(section) {
                        let section = section.to_owned();
                        self.problems.push(Problem::DuplicateSection { section });
                    }
                    self.check_section(section, properties);
                }
            }
        }
        self.problems
    }

    fn raw_value(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        let keys = self
            .known
            .entry(section)
            .or_insert_with(|| AllowedKeys::Fixed(BTreeSet::new()));
        if let AllowedKeys::Fixed(names) = keys {
            names.insert(key);
        }
        self.ini.get_from(Some(section), key)
    }

    fn report_keys_outside_sections(&mut self, properties: &Properties) {
        for (key, value) in properties.iter() {
            self.problems.push(Problem::NoSection {
                key: key.to_owned(),
                value: value.to_owned(),
            });
        }
    }

    fn check_section(&mut self, section: &str, properties: &Properties) {
        let Some(keys) = self.known.get(section).cloned() else {
            let names: Vec<&str> = self.known.keys().copied().collect();
            self.problems.push(Problem::UnknownSection {
                section: section.to_owned(),
                known: names.join(", "),
            });
            return;
        };
        let mut seen = BTreeSet::new();
        for (key, value) in properties.iter() {
            if !seen.insert(key) {
                self.problems.push(Problem::DuplicateKey {
                    section: section.to_owned(),
                    key: key.to_owned(),
                    value: value.to_owned(),
                });
            }
            self.check_key(section, &keys, key, value);
        }
    }

    fn check_key(&mut self, section: &str, keys: &AllowedKeys, key: &str, value: &str) {
        let AllowedKeys::Fixed(names) = keys else {
            return;
        };
        if names.contains(key) {
            return;
        }
        let names: Vec<&str> = names.iter().copied().collect();
        self.problems.push(Problem::UnknownKey {
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            known: names.join(", "),
        });
    }
}
