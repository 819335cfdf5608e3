//! Pure assembly of a completion from the pieces of one engine after another.
//!
//! Each token is taken once: pieces that were seen are dropped and overlapping ones are cut. A piece that leaves a
//! gap, has no stamp, or contradicts text already delivered is refused, and counts as a failure of its engine.

use crate::generated::caller_messages::VersionSpan;
use crate::generated::engine_messages::EnginePiece;
use crate::prelude::*;

/// Largest text of one completion in bytes.
pub const TEXT_LIMIT: usize = 8 * 1024 * 1024;

/// Why a piece was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// It belongs to another request.
    OtherRequest,
    /// It does not say which weights produced it.
    Unstamped,
    /// Its weights are older than the request allows.
    TooOld,
    /// Tokens are missing before it.
    Gap,
    /// It differs from text that was already delivered, or cannot be cut at a token.
    Contradiction,
    /// It exceeds the number of tokens or bytes allowed.
    TooLong,
}

/// What became of a piece.
#[derive(Debug, Clone, PartialEq)]
pub enum PieceVerdict {
    /// It is new, and may have been cut.
    New(EnginePiece),
    /// All of it was seen.
    Seen,
}

/// Text, token count and weight versions so far.
#[derive(Debug, Clone)]
pub struct TextAssembly {
    request_id: RequestId,
    max_tokens: u32,
    least_version: WeightVersion,
    text: String,
    tokens: u32,
    /// Token index and byte offset at which each accepted piece starts.
    starts: Vec<PieceStart>,
    spans: Vec<VersionSpan>,
    finish_reason: Option<String>,
}

#[derive(Debug, Clone, Copy)]
struct PieceStart {
    token: u32,
    byte: usize,
}

impl TextAssembly {
    /// Assembly of a completion of at most `max_tokens` tokens.
    #[must_use]
    pub fn new(request_id: &str, max_tokens: u32, least_version: Option<WeightVersion>) -> Self {
        Self {
            request_id: request_id.to_owned(),
            max_tokens,
            least_version: least_version.unwrap_or(0),
            text: String::new(),
            tokens: 0,
            starts: Vec::new(),
            spans: Vec::new(),
            finish_reason: None,
        }
    }

    /// Takes a piece.
    ///
    /// # Errors
    ///
    /// The piece must not be used.
    pub fn accept(&mut self, piece: EnginePiece) -> Result<PieceVerdict, PieceError> {
        if piece.request_id != self.request_id {
            return Err(PieceError::OtherRequest);
        }
        let version = piece.weight_version.ok_or(PieceError::Unstamped)?;
        if version < self.least_version {
            return Err(PieceError::TooOld);
        }
        if piece.index > self.tokens {
            return Err(PieceError::Gap);
        }
        let end = piece.index.checked_add(piece.tokens).ok_or(PieceError::TooLong)?;
        if end > self.max_tokens || self.text.len() + piece.text.len() > TEXT_LIMIT {
            return Err(PieceError::TooLong);
        }
        let is_last = piece.finish_reason.is_some();
        if self.finish_reason.is_some() || end < self.tokens || (end == self.tokens && !is_last) {
            return Ok(PieceVerdict::Seen);
        }
        let piece = self.cut_piece(piece, end)?;
        self.append(&piece, version);
        Ok(PieceVerdict::New(piece))
    }

    /// Removes the tokens that were seen from the start of a piece.
    fn cut_piece(&self, mut piece: EnginePiece, end: u32) -> Result<EnginePiece, PieceError> {
        if piece.index == self.tokens {
            return Ok(piece);
        }
        let position = self.starts.binary_search_by_key(&piece.index, |start| start.token);
        let position = position.map_err(|_| PieceError::Contradiction)?;
        let seen = &self.text[self.starts[position].byte..];
        let rest = piece.text.strip_prefix(seen).ok_or(PieceError::Contradiction)?;
        if end == self.tokens && !rest.is_empty() {
            return Err(PieceError::Contradiction);
        }
        let rest = rest.to_owned();
        piece.text = rest;
        piece.index = self.tokens;
        piece.tokens = end - self.tokens;
        Ok(piece)
    }

    fn append(&mut self, piece: &EnginePiece, version: WeightVersion) {
        self.finish_reason.clone_from(&piece.finish_reason);
        if piece.tokens == 0 {
            self.text.push_str(&piece.text);
            return;
        }
        self.starts.push(PieceStart { token: piece.index, byte: self.text.len() });
        self.text.push_str(&piece.text);
        self.tokens += piece.tokens;
        let last_token = self.tokens - 1;
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.last_token = last_token,
            _ => self.spans.push(VersionSpan { version, first_token: piece.index, last_token }),
        }
    }

    /// Ends a completion that has all its tokens although its last piece was lost.
    ///
    /// Returns whether it has them: another engine would have nothing left to produce.
    pub fn finish_at_length(&mut self) -> bool {
        let is_full = self.tokens == self.max_tokens;
        if is_full && self.finish_reason.is_none() {
            self.finish_reason = Some("length".to_owned());
        }
        is_full
    }

    /// Text so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Tokens so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Weight versions so far, in token order.
    #[must_use]
    pub fn spans(&self) -> &[VersionSpan] {
        &self.spans
    }

    /// Set when the last piece was taken.
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }
}
