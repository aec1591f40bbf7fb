package retry

// counter counts events by time slice. Its ring holds, for each of the latest slices, the
// number of all events until the end of the slice.
type counter struct {
	ring   []int
	total  int   // events in all
	newest int64 // number of the newest slice
}

func newCounter(slices, newest int64) *counter {
	return &counter{ring: make([]int, slices), newest: newest}
}

// advance makes current the newest slice, unless the newest one is later.
func (counter *counter) advance(current int64) {
	length := int64(len(counter.ring))
	for slice := max(counter.newest+1, current-length+1); slice <= current; slice++ {
		counter.ring[slice%length] = counter.total
	}
	counter.newest = max(counter.newest, current)
}

// add counts an event in the newest slice.
func (counter *counter) add() {
	counter.total++
	counter.ring[counter.newest%int64(len(counter.ring))] = counter.total
}

// between returns the number of events in the slices from first to last, as far as they
// are in the ring.
func (counter *counter) between(first, last int64) int {
	if first > last {
		return 0
	}
	return counter.until(last) - counter.until(first-1)
}

// until returns the number of events until the end of a slice.
func (counter *counter) until(slice int64) int {
	length := int64(len(counter.ring))
	if slice >= counter.newest {
		return counter.total
	}
	return counter.ring[max(slice, counter.newest-length+1)%length]
}
