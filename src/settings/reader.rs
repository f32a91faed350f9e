//! Reads keys and gathers what is wrong with them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use ini::{
    Ini,
    Properties, //
};

use super::problem::Problem;

/// Which keys a section may have.
#[derive(Clone, Debug)]
enum Keys {
    /// These keys.
    Named(BTreeSet<&'static str>),
    /// Names that the operator chooses.
    Free,
}

/// Reads one settings file.
pub(super) struct Reader<'a> {
    ini: &'a Ini,
    problems: Vec<Problem>,
    /// Invariant: has each section and key that was asked for.
    known: BTreeMap<&'static str, Keys>,
}

impl<'a> Reader<'a> {
    /// Starts to read `ini`.
    pub(super) fn new(ini: &'a Ini) -> Reader<'a> {
        Reader {
            ini,
            problems: Vec::new(),
            known: BTreeMap::new(),
        }
    }

    /// Reads a key that must be there.
    pub(super) fn required<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        remedy: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        match self.text(section, key) {
            Some(value) => self.parse(section, key, value, remedy, parse),
            None => {
                self.problems.push(Problem::Missing {
                    section,
                    key,
                    remedy,
                });
                None
            }
        }
    }

    /// Reads a key that may be left out.
    pub(super) fn optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        default: T,
        remedy: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        match self.text(section, key) {
            Some(value) => self
                .parse(section, key, value, remedy, parse)
                .unwrap_or(default),
            None => default,
        }
    }

    /// Reads the keys of a section whose names the operator chooses.
    pub(super) fn entries(&mut self, section: &'static str) -> Vec<(&'a str, &'a str)> {
        self.known.insert(section, Keys::Free);
        let properties = self.ini.section(Some(section));
        properties.map_or_else(Vec::new, |p| p.iter().collect())
    }

    /// Parses the value of a key.
    pub(super) fn parse<T>(
        &mut self,
        section: &'static str,
        key: &str,
        value: &str,
        remedy: &'static str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let parsed = parse(value);
        if parsed.is_none() {
            self.problems.push(Problem::Invalid {
                section,
                key: key.to_owned(),
                value: value.to_owned(),
                remedy,
            });
        }
        parsed
    }

    /// Adds a problem.
    pub(super) fn report(&mut self, problem: Problem) {
        self.problems.push(problem);
    }

    /// Returns all problems, with those of keys and sections that nothing asked
    /// for.
    pub(super) fn finish(mut self) -> Vec<Problem> {
        let mut seen = BTreeSet::new();
        let ini = self.ini;
        for (section, properties) in ini.iter() {
            match section {
                None => self.check_no_section(properties),
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

    fn text(&mut self, section: &'static str, key: &'static str) -> Option<&'a str> {
        let keys = self
            .known
            .entry(section)
            .or_insert_with(|| Keys::Named(BTreeSet::new()));
        if let Keys::Named(names) = keys {
            names.insert(key);
        }
        self.ini.get_from(Some(section), key)
    }

    fn check_no_section(&mut self, properties: &Properties) {
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

    fn check_key(&mut self, section: &str, keys: &Keys, key: &str, value: &str) {
        let Keys::Named(names) = keys else {
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
