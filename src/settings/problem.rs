//! What can be wrong with settings. Each text names the place and the remedy.

use std::{
    fmt,
    io, //
};

use derive_more::{
    Display,
    Error, //
};

/// The settings could not be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    Unreadable {
        /// Why.
        source: io::Error,
    },
    /// The file is not INI.
    Syntax {
        /// The line, counted from one.
        line: usize,
        /// What is wrong there.
        text: String,
    },
    /// The settings make no sense.
    ///
    /// Invariant: at least one problem.
    Invalid {
        /// All that is wrong.
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
                write!(f, "line {line} is not INI: {text}; write KEY = VALUE")
            }
            SettingsError::Invalid { problems } => {
                for (at, problem) in problems.iter().enumerate() {
                    let gap = if at == 0 { "" } else { "\n" };
                    write!(f, "{gap}{problem}")?;
                }
                Ok(())
            }
        }
    }
}

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Problem {
    /// A key stands before the first section.
    #[display("{key} = {value:?} stands in no section; move it below a [section] line")]
    NoSection {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// A section has an unknown name.
    #[display("[{section}] is not a section; remove it or use one of: {known}")]
    UnknownSection {
        /// The section.
        section: String,
        /// The names that there are.
        known: String,
    },
    /// A key has an unknown name.
    #[display("[{section}] {key} = {value:?} is not a setting; remove it or use one of: {known}")]
    UnknownKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The names that there are.
        known: String,
    },
    /// A section stands twice.
    #[display("[{section}] stands more than once; join its keys under one line")]
    DuplicateSection {
        /// The section.
        section: String,
    },
    /// A key stands twice.
    #[display("[{section}] {key} = {value:?} stands more than once; keep one of them")]
    DuplicateKey {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The later value.
        value: String,
    },
    /// A key is missing.
    #[display("[{section}] {key} is missing; write {key} = {remedy}")]
    Missing {
        /// The section.
        section: &'static str,
        /// The key.
        key: &'static str,
        /// What to write.
        remedy: &'static str,
    },
    /// A value makes no sense.
    #[display("[{section}] {key} = {value:?} makes no sense; write {remedy}")]
    Invalid {
        /// The section.
        section: &'static str,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What to write.
        remedy: &'static str,
    },
    /// Two addresses cannot be used together.
    #[display("[{section}] {key} = {value:?} clashes with {other}; choose another address")]
    Clash {
        /// The section.
        section: &'static str,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// The place of the other address.
        other: String,
    },
}
