//! Settings errors. Each message names the location and how to fix it.

use std::{
    fmt,
    io, //
};

use derive_more::{
    Display,
    Error, //
};

/// Error of loading or parsing the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// The I/O error.
        source: io::Error,
    },
    /// The file is not valid INI.
    Syntax {
        /// Line number, starting at 1.
        line: usize,
        /// Message of the INI parser.
        text: String,
    },
    /// Some settings are invalid.
    Invalid {
        /// All problems found.
        ///
        /// Invariant: not empty.
        problems: Vec<Problem>,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { source: e } => {
                write!(f, "cannot read the settings: {e}; check the path")
            }
            SettingsError::Syntax { line, text } => {
                write!(
                    f,
                    "line {line} is not valid INI: {text}; expected KEY = VALUE"
                )
            }
            SettingsError::Invalid { problems } => {
                for (index, problem) in problems.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "\n" };
                    write!(f, "{separator}{problem}")?;
                }
                Ok(())
            }
        }
    }
}

/// One invalid, missing or unknown setting.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Problem {
    /// A key precedes the first section.
    #[display("{key} = {value:?} is outside any section; move it below a [section] line")]
    NoSection {
        /// Name of the key.
        key: String,
        /// Value as written in the file.
        value: String,
    },
    /// A section with an unknown name.
    #[display("[{section}] is not a section; remove it or use one of: {known}")]
    UnknownSection {
        /// Name of the section.
        section: String,
        /// Valid section names, separated by commas.
        known: String,
    },
    /// A key that its section does not have.
    #[display("[{section}] {key} = {value:?} is not a setting; remove it or use one of: {known}")]
    UnknownKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value as written in the file.
        value: String,
        /// Valid keys of the section, separated by commas.
        known: String,
    },
    /// A section that appears more than once.
    #[display("[{section}] appears more than once; merge its keys into one section")]
    DuplicateSection {
        /// Name of the section.
        section: String,
    },
    /// A key that appears more than once.
    #[display("[{section}] {key} = {value:?} appears more than once; keep one of them")]
    DuplicateKey {
        /// Name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Value of the repeated key.
        value: String,
    },
    /// A required key is missing.
    #[display("[{section}] {key} is missing; write {key} = {expected}")]
    Missing {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: &'static str,
        /// Expected syntax of the value.
        expected: &'static str,
    },
    /// A value that cannot be parsed or is out of range.
    #[display("[{section}] {key} = {value:?} is invalid; expected {expected}")]
    Invalid {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: String,
        /// Value as written in the file.
        value: String,
        /// Expected syntax of the value.
        expected: &'static str,
    },
    /// Two addresses conflict.
    #[display("[{section}] {key} = {value:?} conflicts with {other}; choose another address")]
    AddressConflict {
        /// Name of the section.
        section: &'static str,
        /// Name of the key.
        key: String,
        /// Value as written in the file.
        value: String,
        /// Section, key and value of the other address.
        other: String,
    },
}
