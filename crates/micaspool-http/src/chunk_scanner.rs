//! Tells whether bytes are a body in chunks (RFC 9112, section 7.1).

/// Follows bytes that may be a body in chunks, from its first byte on.
#[derive(Clone, Debug, Default)]
pub struct ChunkScanner {
    place: ChunkPlace,
    /// The bytes left of the current chunk, or its size as far as it was read.
    bytes: u64,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
enum ChunkPlace {
    /// The first digit of a size.
    #[default]
    SizeStart,
    /// The digits of a size after the first one.
    Size,
    /// What follows a size on its line.
    Extension,
    /// The line feed after a size.
    SizeEnd,
    /// The bytes of a chunk.
    Data,
    /// The carriage return after a chunk.
    DataReturn,
    /// The line feed after a chunk.
    DataEnd,
    /// The first byte of a trailer line.
    TrailerStart,
    /// A trailer line after its first byte.
    Trailer,
    /// The last line feed.
    LastEnd,
    /// Nothing: the body is whole.
    Whole,
    /// Nothing: the bytes are no body in chunks.
    Other,
}

impl ChunkScanner {
    /// Takes the next bytes.
    pub fn observe(&mut self, mut bytes: &[u8]) {
        while let Some((byte, rest)) = bytes.split_first() {
            if self.place == ChunkPlace::Other {
                return;
            }
            bytes = match self.place {
                ChunkPlace::Data => self.skip_data(bytes),
                _ => {
                    self.place = self.step(*byte);
                    rest
                }
            };
        }
    }

    /// Returns true if the bytes are a whole body in chunks, up to the empty line after the last chunk.
    pub fn is_whole(&self) -> bool {
        self.place == ChunkPlace::Whole
    }

    /// Skips bytes of the current chunk and returns those that follow.
    fn skip_data<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let count = usize::try_from(self.bytes).unwrap_or(usize::MAX).min(bytes.len());
        self.bytes -= count as u64;
        if self.bytes == 0 {
            self.place = ChunkPlace::DataReturn;
        }
        &bytes[count..]
    }

    fn step(&mut self, byte: u8) -> ChunkPlace {
        match (self.place, byte) {
            (ChunkPlace::SizeStart, _) => {
                self.bytes = 0;
                self.add_digit(byte)
            }
            (ChunkPlace::Size | ChunkPlace::Extension, b'\r') => ChunkPlace::SizeEnd,
            (ChunkPlace::Size, b';' | b' ' | b'\t') => ChunkPlace::Extension,
            (ChunkPlace::Size, _) => self.add_digit(byte),
            (ChunkPlace::Extension, b'\n') => ChunkPlace::Other,
            (ChunkPlace::Extension, _) => ChunkPlace::Extension,
            (ChunkPlace::SizeEnd, b'\n') if self.bytes == 0 => ChunkPlace::TrailerStart,
            (ChunkPlace::SizeEnd, b'\n') => ChunkPlace::Data,
            (ChunkPlace::DataReturn, b'\r') => ChunkPlace::DataEnd,
            (ChunkPlace::DataEnd, b'\n') => ChunkPlace::SizeStart,
            (ChunkPlace::TrailerStart, b'\r') => ChunkPlace::LastEnd,
            (ChunkPlace::Trailer, b'\n') => ChunkPlace::TrailerStart,
            (ChunkPlace::TrailerStart | ChunkPlace::Trailer, _) => ChunkPlace::Trailer,
            (ChunkPlace::LastEnd, b'\n') => ChunkPlace::Whole,
            _ => ChunkPlace::Other,
        }
    }

    /// Adds a digit to the size of a chunk.
    fn add_digit(&mut self, byte: u8) -> ChunkPlace {
        let digit = char::from(byte).to_digit(16).map(u64::from);
        let size = digit.and_then(|digit| self.bytes.checked_mul(16)?.checked_add(digit));
        self.bytes = size.unwrap_or_default();
        size.map_or(ChunkPlace::Other, |_| ChunkPlace::Size)
    }
}
