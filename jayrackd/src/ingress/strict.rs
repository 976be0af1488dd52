//! Strict checks of a request head, before the HTTP library sees it.
//!
//! Two parsers that read one head differently allow request smuggling, so every ambiguous head is
//! refused.
use jayrack_protocol::ResultCode;

/// Maximum number of headers.
const MAX_HEADERS: usize = 96;

/// How the body that follows a head is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// This many bytes follow.
    Length(u64),
    /// Chunks follow.
    Chunked,
}

#[derive(Debug, Default)]
struct HeadFields {
    hosts: usize,
    length: Option<u64>,
    is_chunked: bool,
    unique_names: Vec<String>,
}

/// Checks a head, from the request line to the empty line.
///
/// # Errors
///
/// Returns the code to refuse the request with; the request was not run.
pub fn check_head(head: &[u8], max_body_bytes: u64) -> Result<BodyFraming, ResultCode> {
    let text = head.strip_suffix(b"\r\n\r\n").ok_or(MALFORMED)?;
    let mut lines = split_lines(text)?.into_iter();
    let is_http_11 = check_request_line(lines.next().ok_or(MALFORMED)?)?;
    let mut fields = HeadFields::default();
    for (index, line) in lines.enumerate() {
        if index == MAX_HEADERS {
            return Err(ResultCode::RequestTooLarge);
        }
        check_header(line, &mut fields)?;
    }
    body_framing(&fields, is_http_11, max_body_bytes)
}

const MALFORMED: ResultCode = ResultCode::RequestMalformed;

fn split_lines(text: &[u8]) -> Result<Vec<&[u8]>, ResultCode> {
    let mut lines = Vec::with_capacity(16);
    let mut rest = text;
    while let Some(end) = rest.iter().position(|byte| matches!(byte, b'\r' | b'\n')) {
        if rest[end..].get(..2) != Some(b"\r\n") {
            return Err(MALFORMED);
        }
        lines.push(&rest[..end]);
        rest = &rest[end + 2..];
    }
    lines.push(rest);
    Ok(lines)
}

/// Returns whether the version is HTTP/1.1.
fn check_request_line(line: &[u8]) -> Result<bool, ResultCode> {
    let mut parts = line.split(|byte| *byte == b' ');
    let (method, target, version) = (parts.next(), parts.next(), parts.next());
    let (Some(method), Some(target), Some(version), None) = (method, target, version, parts.next())
    else {
        return Err(MALFORMED);
    };
    if !is_token(method) || method == b"CONNECT" || !is_target(target) {
        return Err(MALFORMED);
    }
    match version {
        b"HTTP/1.1" => Ok(true),
        b"HTTP/1.0" => Ok(false),
        _ => Err(MALFORMED),
    }
}

fn is_target(target: &[u8]) -> bool {
    let is_rooted = target.starts_with(b"/") || target.starts_with(b"http://") || target == b"*";
    let is_visible = |byte: &u8| {
        matches!(byte, 0x21..=0x7e)
            && !matches!(byte, b'#' | b'"' | b'<' | b'>' | b'\\' | b'^' | b'`')
    };
    is_rooted && target.iter().all(is_visible)
}

fn check_header(line: &[u8], fields: &mut HeadFields) -> Result<(), ResultCode> {
    let colon = line.iter().position(|byte| *byte == b':');
    let (name, value) = line.split_at(colon.ok_or(MALFORMED)?);
    let value = value[1..].trim_ascii();
    if !is_token(name) || !value.iter().all(is_value_byte) {
        return Err(MALFORMED);
    }
    let name = name.to_ascii_lowercase();
    match name.as_slice() {
        b"host" => fields.hosts += 1,
        b"content-length" => {
            let length = parse_length(value)?;
            if fields.length.replace(length).is_some() {
                return Err(MALFORMED);
            }
        }
        b"transfer-encoding" => {
            let is_repeated = std::mem::replace(&mut fields.is_chunked, true);
            if is_repeated || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(MALFORMED);
            }
        }
        _ => check_unique(&name, fields)?,
    }
    Ok(())
}

/// Refuses a second occurrence of a header that decides how a request is treated.
fn check_unique(name: &[u8], fields: &mut HeadFields) -> Result<(), ResultCode> {
    if name != b"idempotency-key" && !name.starts_with(b"x-jayrack-") {
        return Ok(());
    }
    let name = String::from_utf8_lossy(name).into_owned();
    if fields.unique_names.contains(&name) {
        return Err(MALFORMED);
    }
    fields.unique_names.push(name);
    Ok(())
}

fn body_framing(
    fields: &HeadFields,
    is_http_11: bool,
    max_body_bytes: u64,
) -> Result<BodyFraming, ResultCode> {
    if fields.hosts > 1 || (is_http_11 && fields.hosts == 0) {
        return Err(MALFORMED);
    }
    match (fields.length, fields.is_chunked) {
        (Some(_), true) => Err(MALFORMED),
        (None, true) if is_http_11 => Ok(BodyFraming::Chunked),
        (None, true) => Err(MALFORMED),
        (Some(length), false) if length > max_body_bytes => Err(ResultCode::RequestTooLarge),
        (length, false) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, ResultCode> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(MALFORMED);
    }
    let text = std::str::from_utf8(value).map_err(|_| MALFORMED)?;
    text.parse().map_err(|_| MALFORMED)
}

fn is_value_byte(byte: &u8) -> bool {
    matches!(byte, b'\t' | 0x20..=0x7e | 0x80..=0xff)
}

fn is_token(name: &[u8]) -> bool {
    !name.is_empty() && name.iter().all(is_token_byte)
}

/// Whether `byte` is valid in a method or a header name.
pub(super) fn is_token_byte(byte: &u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte)
}
