//! Settings of the daemon: JSON with comments, validated strictly before any listener is opened.
//!
//! Every error has a result code and, if a field is the cause, the path and the line of the field.
mod locate;
mod schema;

use std::path::Path;

use jayrack_protocol::ResultCode;
use jsonc_parser::ParseOptions;

pub use schema::{
    DaemonSettings, DistributionMode, FleetSettings, LimitSettings, ListenSettings, LogSettings,
    OperatorSettings, PolicyMode, TimeoutSettings,
};

/// Error of reading or validating settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Result code.
    pub code: ResultCode,
    /// Path of the field, such as `listen.gossip`; empty if the error is not about a field.
    pub path: String,
    /// Line of the field or of the syntax error, counted from 1; 0 if unknown.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.code)?;
        if self.line > 0 {
            write!(f, ", line {}", self.line)?;
        }
        if !self.path.is_empty() {
            write!(f, ", {}", self.path)?;
        }
        write!(f, ": {}", self.message)
    }
}

impl std::error::Error for Error {}

/// Reads, parses and validates the settings file at `path`.
pub fn load(path: &Path) -> Result<DaemonSettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| Error {
        code: ResultCode::SettingsUnreadable,
        path: String::new(),
        line: 0,
        message: format!("{}: {error}", path.display()),
    })?;
    parse(&text)
}

/// Parses and validates settings.
pub fn parse(text: &str) -> Result<DaemonSettings, Error> {
    let value = parse_value(text)?;
    let settings: DaemonSettings =
        serde_path_to_error::deserialize(value).map_err(|error| field_error(text, &error))?;
    check_ranges(text, &settings)?;
    Ok(settings)
}

fn parse_value(text: &str) -> Result<serde_json::Value, Error> {
    jsonc_parser::parse_to_serde_value(text, &strict_options()).map_err(|error| Error {
        code: ResultCode::SettingsSyntax,
        path: String::new(),
        line: error.line_display(),
        message: error.kind().to_string(),
    })
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

fn field_error(text: &str, error: &serde_path_to_error::Error<serde_json::Error>) -> Error {
    let message = error.inner().to_string();
    let code = if message.starts_with("unknown field") {
        ResultCode::SettingsUnknownField
    } else {
        ResultCode::SettingsInvalidValue
    };
    located(text, code, &error.path().to_string(), message)
}

fn check_ranges(text: &str, settings: &DaemonSettings) -> Result<(), Error> {
    match schema::first_violation(settings) {
        None => Ok(()),
        Some(violation) => {
            let code = ResultCode::SettingsInvalidValue;
            Err(located(text, code, &violation.path, violation.message))
        }
    }
}

fn located(text: &str, code: ResultCode, path: &str, message: String) -> Error {
    Error {
        code,
        path: path.to_string(),
        line: locate::line_of(text, path),
        message,
    }
}
