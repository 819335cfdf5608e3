//! Checks of the paths, queries and identifiers that callers send.
//!
//! The decoded path selects the route, while the target gets the path as written, so both must mean the same to every
//! target. Otherwise `/desk/%62ookings` or `/desk/x/../bookings` would reach the non-repeatable route `/desk/bookings`
//! without the idempotency claim that it needs.

/// Longest request id or trainer name in bytes.
const MAX_IDENTIFIER_BYTES: usize = 128;

/// Decodes the percent sequences of a path; `None` when the path is malformed or targets could read it differently.
///
/// Rejects bad percent sequences, text that is not UTF-8, control characters, encoded slashes, backslashes, `.` and
/// `..` segments, semicolons, and empty segments other than the last one.
#[must_use]
pub fn decode_path(path: &str) -> Option<String> {
    let segments = path.strip_prefix('/')?;
    let count = segments.split('/').count();
    let mut decoded = String::with_capacity(path.len());
    for (position, segment) in segments.split('/').enumerate() {
        let segment = percent_decode(segment)?;
        let is_last = position + 1 == count;
        if !is_unambiguous_segment(&segment) || (segment.is_empty() && !is_last) {
            return None;
        }
        decoded.push('/');
        decoded.push_str(&segment);
    }
    Some(decoded)
}

fn is_unambiguous_segment(segment: &str) -> bool {
    let is_refused = |character: char| character.is_control() || matches!(character, '/' | '\\' | ';');
    segment != "." && segment != ".." && !segment.chars().any(is_refused)
}

/// Decodes percent sequences; `None` when a sequence is malformed or the result is not UTF-8.
#[must_use]
pub fn percent_decode(encoded: &str) -> Option<String> {
    let mut bytes = encoded.bytes();
    let mut decoded = Vec::with_capacity(encoded.len());
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let high = hex_digit(bytes.next()?)?;
            let low = hex_digit(bytes.next()?)?;
            decoded.push(high * 16 + low);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

fn hex_digit(byte: u8) -> Option<u8> {
    char::from(byte).to_digit(16).and_then(|digit| u8::try_from(digit).ok())
}

/// Whether a text may be a request id or trainer name: 1 to 128 ASCII letters, digits, `-`, `_`, `.` or `:`.
#[must_use]
pub fn is_identifier(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    (1..=MAX_IDENTIFIER_BYTES).contains(&text.len()) && text.bytes().all(is_allowed)
}
