package gateway

// eventScanner finds the ends of server-sent events in a stream that arrives in
// pieces. Lines end with LF, CR or CRLF, an event with an empty line.
type eventScanner struct {
	events     int  // complete events so far
	unfinished int  // bytes since the end of the last complete event
	lineBytes  int  // of the current line
	hasLine    bool // the current event has a line that is not empty
	usesCRLF   bool // a line ended with CRLF
	afterCR    bool // the last byte was a CR that ended a line; an LF after it belongs to the same line end
	awaitsLF   bool // the last byte was a CR that begins a CRLF, as earlier lines ended with it
}

// scan reads the next piece and returns the length of its part up to the last end of
// an event, -1 if no event ends in it.
func (eventScanner *eventScanner) scan(piece []byte) (complete int) {
	complete = -1
	for index, char := range piece {
		if eventScanner.awaitsLF && char != '\n' && eventScanner.endLine() {
			complete = index
		}
		if eventScanner.scanByte(char) {
			complete = index + 1
		}
	}
	return complete
}

// scanByte reads one byte and reports whether an event ends with it.
func (eventScanner *eventScanner) scanByte(char byte) bool {
	secondOfCRLF := char == '\n' && eventScanner.afterCR
	eventScanner.afterCR, eventScanner.awaitsLF = false, false
	if secondOfCRLF && eventScanner.unfinished == 0 {
		eventScanner.usesCRLF = true
		return true // the CR has ended the event
	}
	eventScanner.unfinished++
	switch {
	case secondOfCRLF:
		eventScanner.usesCRLF = true
		return false
	case char == '\n':
		return eventScanner.endLine()
	case char == '\r' && eventScanner.usesCRLF:
		eventScanner.awaitsLF = true
		return false
	case char == '\r':
		eventScanner.afterCR = true
		return eventScanner.endLine()
	default:
		eventScanner.lineBytes++
		return false
	}
}

// endLine ends the current line and reports whether that ends an event.
func (eventScanner *eventScanner) endLine() bool {
	if eventScanner.lineBytes > 0 {
		eventScanner.lineBytes, eventScanner.hasLine = 0, true
		return false
	}
	if eventScanner.hasLine {
		eventScanner.events++
	}
	eventScanner.unfinished, eventScanner.hasLine = 0, false
	return true
}
