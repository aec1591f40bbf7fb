package stream

import "time"

// readRecord has an entry read the record of the store as of a time.
func (fleet *fleet) readRecord(entry *simulated, at time.Time) {
	index := len(fleet.records) - 1
	for fleet.records[index].at.After(at) {
		index--
	}
	entry.seen = fleet.records[index].record
	recall := entry.history().Recall
	if fleet.outdated(fleet.records[index]) || entry.seen.Incomplete {
		entry.seen.Incomplete, recall = true, entry.history().RecallIncomplete
	}
	recall(entry.seen.Admitted, at)
	recall(entry.seen.Announced, at)
	entry.admission().Read(entry.seen, at, at)
}

// outdated reports whether a record was written in an earlier epoch of the store.
func (fleet *fleet) outdated(found written) bool {
	return fleet.rules.epochs && found.epoch < fleet.epoch
}

// rollBack has the store come back from a copy of an age. What the operator and the targets
// wrote is written again, so that the list stays as it is.
func (fleet *fleet) rollBack(age time.Duration) {
	for _, entry := range fleet.entries {
		fleet.catchUp(entry)
	}
	for len(fleet.records) > 1 && fleet.now.Sub(fleet.records[len(fleet.records)-1].at) < age {
		fleet.records = fleet.records[:len(fleet.records)-1]
	}
	fleet.epoch++
}
