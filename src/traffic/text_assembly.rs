//! Assembles a completion from the pieces of successive engines, without side effects.
//!
//! Every token is added once: redundant pieces are dropped and overlapping ones are trimmed. A piece is refused, among
//! other reasons, if tokens are missing before it, it has no weight version, its overlap differs from the text so far, or
//! another version of the engines' software began the text, since what two versions generate does not fit together. The
//! runner treats a refused piece as a failure of the engine, and resumes the text on another one.

use crate::generated::caller_messages::VersionSpan;
use crate::generated::engine_messages::EnginePiece;
use crate::prelude::*;

/// Maximum size of the text of one completion; a piece beyond it is [`PieceError::TooLong`].
pub const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// Why a piece was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceError {
    /// The piece belongs to another request.
    OtherRequest,
    /// The piece has no weight version.
    Unstamped,
    /// The weight version is lower than the minimum of the request.
    TooOld,
    /// Another version of the engines' software began the text.
    OtherSoftware,
    /// Tokens between the text so far and the piece are missing.
    Gap,
    /// The piece starts before the end of the text so far, and cannot be trimmed: its text differs there, it starts
    /// within an earlier piece, or it has further text but no further tokens.
    Contradiction,
    /// The piece ends after the maximum number of tokens, or the text so far and the untrimmed piece together exceed
    /// [`MAX_TEXT_BYTES`].
    TooLong,
}

/// What a usable piece adds to the text.
#[derive(Debug, Clone, PartialEq)]
pub enum PieceVerdict {
    /// The piece was added to the text; tokens that the text had already are removed from the start.
    New(EnginePiece),
    /// The piece was dropped: the text has all its tokens, or the completion is finished.
    Redundant,
}

/// Text, token count and weight versions of a completion so far.
#[derive(Debug, Clone)]
pub struct TextAssembly {
    request_id: RequestId,
    max_tokens: u32,
    least_version: WeightVersion,
    text: String,
    tokens: u32,
    /// Starts of the pieces that added tokens, in order.
    piece_starts: Vec<PieceStart>,
    spans: Vec<VersionSpan>,
    /// Software that generated the first piece; `None` when the engine did not name it.
    software: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Debug, Clone, Copy)]
struct PieceStart {
    token_index: u32,
    byte_offset: usize,
}

impl TextAssembly {
    /// Creates an empty completion of at most `max_tokens` tokens. `least_version` is the minimum weight version of a
    /// piece; `None` allows any version.
    #[must_use]
    pub fn new(request_id: &str, max_tokens: u32, least_version: Option<WeightVersion>) -> Self {
        Self {
            request_id: request_id.to_owned(),
            max_tokens,
            least_version: least_version.unwrap_or(0),
            text: String::new(),
            tokens: 0,
            piece_starts: Vec::new(),
            spans: Vec::new(),
            software: None,
            finish_reason: None,
        }
    }

    /// Adds the tokens of a piece that the text does not have yet.
    ///
    /// # Errors
    ///
    /// See [`PieceError`]; the completion is then unchanged.
    pub fn add_piece(&mut self, piece: EnginePiece) -> Result<PieceVerdict, PieceError> {
        if piece.request_id != self.request_id {
            return Err(PieceError::OtherRequest);
        }
        let version = piece.weight_version.ok_or(PieceError::Unstamped)?;
        if version < self.least_version {
            return Err(PieceError::TooOld);
        }
        if self.tokens > 0 && piece.software != self.software {
            return Err(PieceError::OtherSoftware);
        }
        if piece.index > self.tokens {
            return Err(PieceError::Gap);
        }
        let end = piece.index.checked_add(piece.tokens).ok_or(PieceError::TooLong)?;
        if end > self.max_tokens || self.text.len() + piece.text.len() > MAX_TEXT_BYTES {
            return Err(PieceError::TooLong);
        }
        let is_last = piece.finish_reason.is_some();
        if self.finish_reason.is_some() || end < self.tokens || (end == self.tokens && !is_last) {
            return Ok(PieceVerdict::Redundant);
        }
        let piece = self.trim_piece(piece, end)?;
        self.append(&piece, version);
        Ok(PieceVerdict::New(piece))
    }

    /// Removes the tokens that the text already has from the start of a piece. `end` is the index after the piece's
    /// last token.
    fn trim_piece(&self, mut piece: EnginePiece, end: u32) -> Result<EnginePiece, PieceError> {
        if piece.index == self.tokens {
            return Ok(piece);
        }
        let position = self.piece_starts.binary_search_by_key(&piece.index, |start| start.token_index);
        let position = position.map_err(|_| PieceError::Contradiction)?;
        let overlap = &self.text[self.piece_starts[position].byte_offset..];
        let rest = piece.text.strip_prefix(overlap).ok_or(PieceError::Contradiction)?;
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
        if self.tokens == 0 {
            self.software.clone_from(&piece.software);
        }
        self.piece_starts.push(PieceStart { token_index: piece.index, byte_offset: self.text.len() });
        self.text.push_str(&piece.text);
        self.tokens += piece.tokens;
        let last_token = self.tokens - 1;
        match self.spans.last_mut() {
            Some(span) if span.version == version => span.last_token = last_token,
            _ => self.spans.push(VersionSpan { version, first_token: piece.index, last_token }),
        }
    }

    /// Finishes the completion with the reason `length` if it has the maximum number of tokens but no finish reason.
    ///
    /// Returns whether it has the maximum number of tokens. Such a completion must not be resumed, because no tokens
    /// are left to generate.
    pub fn finish_at_length(&mut self) -> bool {
        let is_full = self.tokens == self.max_tokens;
        if is_full && self.finish_reason.is_none() {
            self.finish_reason = Some("length".to_owned());
        }
        is_full
    }

    /// Text of all pieces added so far.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Number of tokens added so far.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Weight versions of the tokens added so far, in token order; adjacent tokens of one version share a span.
    #[must_use]
    pub fn spans(&self) -> &[VersionSpan] {
        &self.spans
    }

    /// Why the completion is finished; `None` until the last piece or [`TextAssembly::finish_at_length`].
    #[must_use]
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }
}
