package jsonvalue

// maxDepth is the largest number of arrays and objects inside each other. It bounds the memory of a Scanner, and is the limit of
// encoding/json: a deeper value counts as invalid.
const maxDepth = 10000

// state is what the next byte may be.
type state uint8

const (
	beginValue state = iota
	beginElement
	beginKey
	beginFirstKey
	afterKey
	afterValue
	inString
	afterBackslash
	inUnicodeEscape
	inLiteral
	afterMinus
	afterZero
	inInteger
	afterPoint
	inFraction
	afterE
	afterExponentSign
	inExponent
	invalid
)

// Scanner follows the bytes of a body and knows whether they are one complete JSON value, with white space around it, as
// encoding/json.Valid does; the zero value is at the start of a body. It needs at most 2.5 KiB of memory.
type Scanner struct {
	state state
	// inKey is true if the string that is read is the key of an object.
	inKey bool
	// hexDigits is the number of digits that a \u escape still needs.
	hexDigits int
	// literal is the rest of true, false or null.
	literal string
	// objects has a bit for each open array or object, which is set if it is an object.
	objects []uint64
	depth   int
}

// Write reads the next bytes of the body; it never fails.
func (s *Scanner) Write(p []byte) (n int, err error) {
	for i := 0; i < len(p) && s.state != invalid; i++ {
		switch s.state {
		case inString:
			i += plainLength(p[i:])
		case inInteger, inFraction, inExponent:
			i += digitsLength(p[i:])
		}
		if i < len(p) {
			s.next(p[i])
		}
	}
	return len(p), nil
}

// Complete reports whether the bytes up to here are one complete value.
func (s *Scanner) Complete() bool {
	switch s.state {
	case afterValue, afterZero, inInteger, inFraction, inExponent:
		return s.depth == 0
	}
	return false
}

// isSpecial has the bytes that do not stand for themselves inside a string.
var isSpecial = func() (special [256]bool) {
	for c := range ' ' {
		special[c] = true
	}
	special['"'], special['\\'] = true, true
	return special
}()

// plainLength returns the number of bytes that stand for themselves at the start of p, which is inside a string.
func plainLength(p []byte) int {
	for i, c := range p {
		if isSpecial[c] {
			return i
		}
	}
	return len(p)
}

// digitsLength returns the number of digits at the start of p.
func digitsLength(p []byte) int {
	for i, c := range p {
		if !isDigit(c) {
			return i
		}
	}
	return len(p)
}

func (s *Scanner) next(c byte) {
	switch s.state {
	case inString:
		s.nextInString(c)
	case afterBackslash:
		s.nextInEscape(c)
	case inUnicodeEscape:
		s.nextHexDigit(c)
	case inLiteral:
		s.nextInLiteral(c)
	case afterMinus, afterZero, inInteger, afterPoint, inFraction, afterE, afterExponentSign, inExponent:
		s.nextInNumber(c)
	default:
		s.nextToken(c)
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\n' || c == '\r' || c == '\t' }

// nextToken reads a byte that is not inside a string, number or literal.
func (s *Scanner) nextToken(c byte) {
	if isSpace(c) {
		return
	}
	switch s.state {
	case beginValue:
		s.startValue(c)
	case beginElement:
		if c == ']' {
			s.closeContainer(c)
			return
		}
		s.startValue(c)
	case beginKey, beginFirstKey:
		switch {
		case c == '"':
			s.state, s.inKey = inString, true
		case c == '}' && s.state == beginFirstKey:
			s.closeContainer(c)
		default:
			s.state = invalid
		}
	case afterKey:
		s.state = choose(c == ':', beginValue)
	case afterValue:
		switch {
		case s.depth == 0:
			s.state = invalid
		case c != ',':
			s.closeContainer(c)
		case s.inObject():
			s.state = beginKey
		default:
			s.state = beginValue
		}
	}
}

// choose returns the state after a byte that is allowed, and invalid after one that is not.
func choose(allowed bool, after state) state {
	if allowed {
		return after
	}
	return invalid
}

// startValue reads the first byte of a value.
func (s *Scanner) startValue(c byte) {
	switch c {
	case '{':
		s.open(true)
	case '[':
		s.open(false)
	case '"':
		s.state, s.inKey = inString, false
	case '-':
		s.state = afterMinus
	case '0':
		s.state = afterZero
	case 't':
		s.state, s.literal = inLiteral, "true"[1:]
	case 'f':
		s.state, s.literal = inLiteral, "false"[1:]
	case 'n':
		s.state, s.literal = inLiteral, "null"[1:]
	default:
		s.state = choose(isDigit(c), inInteger)
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func (s *Scanner) open(object bool) {
	if s.depth == maxDepth {
		s.state = invalid
		return
	}
	word, bit := s.depth/64, uint64(1)<<(s.depth%64)
	if word == len(s.objects) {
		s.objects = append(s.objects, 0)
	}
	s.depth++
	if object {
		s.objects[word] |= bit
		s.state = beginFirstKey
		return
	}
	s.objects[word] &^= bit
	s.state = beginElement
}

func (s *Scanner) inObject() bool {
	top := s.depth - 1
	return s.objects[top/64]&(1<<(top%64)) != 0
}

// closeContainer reads the byte that has to end the innermost array or object.
func (s *Scanner) closeContainer(c byte) {
	s.state = choose(c == '}' && s.inObject() || c == ']' && !s.inObject(), afterValue)
	s.depth--
}

func (s *Scanner) nextInString(c byte) {
	switch {
	case c == '\\':
		s.state = afterBackslash
	case c == '"' && s.inKey:
		s.state = afterKey
	case c == '"':
		s.state = afterValue
	case c < ' ':
		s.state = invalid
	}
}

func (s *Scanner) nextInEscape(c byte) {
	switch c {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		s.state = inString
	case 'u':
		s.state, s.hexDigits = inUnicodeEscape, 4
	default:
		s.state = invalid
	}
}

func (s *Scanner) nextHexDigit(c byte) {
	if !isDigit(c) && (c < 'a' || 'f' < c) && (c < 'A' || 'F' < c) {
		s.state = invalid
		return
	}
	if s.hexDigits--; s.hexDigits == 0 {
		s.state = inString
	}
}

func (s *Scanner) nextInLiteral(c byte) {
	if c != s.literal[0] {
		s.state = invalid
		return
	}
	if s.literal = s.literal[1:]; s.literal == "" {
		s.state = afterValue
	}
}

// nextInNumber reads a byte of a number or the first one after it.
func (s *Scanner) nextInNumber(c byte) {
	switch s.state {
	case afterMinus:
		if c == '0' {
			s.state = afterZero
			return
		}
		s.state = choose(isDigit(c), inInteger)
	case afterZero, inInteger:
		switch {
		case c == '.':
			s.state = afterPoint
		case c == 'e' || c == 'E':
			s.state = afterE
		case s.state == afterZero || !isDigit(c):
			s.endNumber(c)
		}
	case afterPoint:
		s.state = choose(isDigit(c), inFraction)
	case inFraction:
		if c == 'e' || c == 'E' {
			s.state = afterE
		} else if !isDigit(c) {
			s.endNumber(c)
		}
	case afterE, afterExponentSign:
		if s.state == afterE && (c == '+' || c == '-') {
			s.state = afterExponentSign
			return
		}
		s.state = choose(isDigit(c), inExponent)
	case inExponent:
		if !isDigit(c) {
			s.endNumber(c)
		}
	}
}

// endNumber reads the first byte after a number.
func (s *Scanner) endNumber(c byte) {
	s.state = afterValue
	s.nextToken(c)
}
