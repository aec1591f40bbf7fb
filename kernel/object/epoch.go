package object

import (
	"strconv"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// A store that comes back from an older copy begins a new epoch: it has lost the latest
// writes, and gives their revisions out again. The version of an object therefore holds the
// epoch in its upper bits and the revision in the lower ones, so that versions compare as
// these pairs do, in every process and message. The version of a store that names no epochs
// is the revision.
const (
	// revisionBits last for 21 years of 400 writes a second.
	revisionBits = 38
	maxRevision  = 1<<revisionBits - 1
	// maxEpoch keeps versions below 2^52, so that fences, which are up to twice a version,
	// are exact in readers of JSON that hold numbers as float64.
	maxEpoch = 1<<(52-revisionBits) - 1
)

// JoinVersion returns the version of a revision in an epoch. Values that do not fit count as
// the largest that does.
func JoinVersion(epoch, revision uint64) uint64 {
	return min(epoch, maxEpoch)<<revisionBits | min(revision, maxRevision)
}

// EpochOf returns the epoch of a version, 0 if the store names none.
func EpochOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version, as the store counts it.
func RevisionOf(version uint64) uint64 { return version & maxRevision }

// Epochs is what a client of a store knows of its epoch. The zero value knows none. It is safe
// for concurrent use.
type Epochs struct {
	current   atomic.Uint64 // 0 if no answer has named one
	revision  atomic.Uint64 // highest of current that Join has been called with
	malformed atomic.Uint64 // answers whose epoch could not be read
	notify    atomic.Pointer[func(EpochChange)]
}

// EpochChange is a change of the epoch, as the first answer of the new one shows it.
type EpochChange struct {
	Before, After uint64 // Before is 0 at the first answer that names an epoch
	Revision      uint64 // highest revision seen in Before
}

// Notify calls notify at each change of the epoch.
func (epochs *Epochs) Notify(notify func(change EpochChange)) { epochs.notify.Store(&notify) }

// Current returns the latest epoch that an answer has named, 0 if none has.
func (epochs *Epochs) Current() uint64 { return epochs.current.Load() }

// Malformed returns how many answers had an epoch that could not be read.
func (epochs *Epochs) Malformed() uint64 { return epochs.malformed.Load() }

// Observe records the number of the epoch that an answer names and returns the epoch of the
// answer. An answer that names none, or something else than such a number, belongs to the
// current epoch. Observe fails with ErrUnknown for an answer of an earlier epoch: what it
// reports or acknowledges is lost.
func (epochs *Epochs) Observe(number string) (epoch uint64, err error) {
	if number == "" {
		return epochs.Current(), nil
	}
	parsed, err := strconv.ParseUint(number, 10, 64)
	if err != nil || parsed >= maxEpoch {
		epochs.malformed.Add(1)
		return epochs.Current(), nil
	}
	epoch = parsed + 1 // the first number of a store may be 0
	for {
		current := epochs.current.Load()
		if epoch < current {
			return 0, errors.Wrapf(ErrUnknown, "the answer is of epoch %d of the store, which is in %d", epoch, current)
		}
		if epoch == current {
			return epoch, nil
		}
		revision := epochs.revision.Load()
		if !epochs.current.CompareAndSwap(current, epoch) {
			continue
		}
		epochs.revision.Store(0)
		if notify := epochs.notify.Load(); notify != nil {
			(*notify)(EpochChange{Before: current, After: epoch, Revision: revision})
		}
		return epoch, nil
	}
}

// Join returns the version of a revision that an answer of the epoch has named.
func (epochs *Epochs) Join(epoch, revision uint64) uint64 {
	for epoch == epochs.Current() {
		highest := epochs.revision.Load()
		if revision <= highest || epochs.revision.CompareAndSwap(highest, revision) {
			break
		}
	}
	return JoinVersion(epoch, revision)
}

// Outdated reports whether a version is known to be of an earlier epoch, so that a call under
// its condition must not be made: its revision may have been given out again.
func (epochs *Epochs) Outdated(version uint64) bool {
	return version != 0 && EpochOf(version) < epochs.Current()
}

// CheckWritten returns the version that a write made, by an answer of the epoch. A write under
// the condition of a version of an earlier epoch has replaced an object that only had the same
// revision; its outcome is ErrUnknown, so that the writer reads what is there.
func (epochs *Epochs) CheckWritten(epoch, revision, condition uint64) (version uint64, err error) {
	if condition != 0 && EpochOf(condition) != epoch {
		return 0, errors.Wrapf(ErrUnknown, "the condition is of epoch %d of the store, the write of epoch %d", EpochOf(condition), epoch)
	}
	return epochs.Join(epoch, revision), nil
}

// CurrentEpoch returns the latest epoch that a store has named to this process, 0 if it names
// none or cannot.
func CurrentEpoch(store Store) uint64 {
	if named, ok := store.(interface{ Epoch() uint64 }); ok {
		return named.Epoch()
	}
	return 0
}
