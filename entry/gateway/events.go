package gateway

// eventScanner finds the ends of server-sent events in a stream that arrives in
// pieces. Lines end with LF, CR or CRLF, an event with an empty line.
type eventScanner struct {
	events     int  // complete events so far
	unfinished int  // bytes since the end of the last complete event
	lineBytes  int  // of the current line
	afterCR    bool // the last byte was a CR; an LF after it belongs to the same line end
}

// scan reads the next piece and returns the length of its part up to the last end of
// an event, 0 if no event ends in it.
func (eventScanner *eventScanner) scan(piece []byte) (complete int) {
	for index, char := range piece {
		endsLine := char == '\n' || char == '\r'
		secondOfCRLF := char == '\n' && eventScanner.afterCR
		eventScanner.afterCR = char == '\r'
		switch {
		case secondOfCRLF && eventScanner.unfinished == 0:
			complete = index + 1
		case endsLine && !secondOfCRLF && eventScanner.lineBytes == 0:
			if eventScanner.unfinished > 0 {
				eventScanner.events++
			}
			eventScanner.unfinished, complete = 0, index+1
		case endsLine:
			eventScanner.unfinished++
			eventScanner.lineBytes = 0
		default:
			eventScanner.unfinished++
			eventScanner.lineBytes++
		}
	}
	return complete
}
