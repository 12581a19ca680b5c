package eventstream

// Scanner follows the bytes of a stream and knows whether they end between two events; the zero value is at the start of a stream.
//
// Lines end with LF, CR or CRLF, and an empty line ends an event. Comment lines between events belong to no event.
type Scanner struct {
	events int
	// inLine is true after a byte of a line whose end has not been read, inEvent after a line of an event whose end has not.
	inLine  bool
	inEvent bool
	// afterCR is true if the last byte was a CR, to which an LF may belong; usesCRLF if that was the case before.
	afterCR  bool
	usesCRLF bool
}

// Scan reads the next bytes of the stream.
func (s *Scanner) Scan(p []byte) {
	for _, c := range p {
		s.next(c)
	}
}

func (s *Scanner) next(c byte) {
	if s.afterCR && c == '\n' {
		s.afterCR, s.usesCRLF = false, true
		return
	}
	s.afterCR = c == '\r'
	switch {
	case c != '\r' && c != '\n':
		if !s.inLine && c != ':' {
			s.inEvent = true
		}
		s.inLine = true
	case s.inLine:
		s.inLine = false
	case s.inEvent:
		s.inEvent = false
		s.events++
	}
}

// Events returns the number of complete events.
func (s *Scanner) Events() int { return s.events }

// InsideEvent reports whether the stream is truncated if it ends here: its last event or line is not complete.
func (s *Scanner) InsideEvent() bool { return s.inLine || s.inEvent || s.afterCR && s.usesCRLF }
