package config

import "time"

// Tracker decides which configuration an instance holds. It never goes back to
// an older generation, whatever order heads and documents arrive in. It does no
// I/O; the driver carries out its effects.
type Tracker struct {
	document  *Document
	rendered  []byte
	newest    Head
	confirmed time.Time
}

// TrackerEffect is what a Tracker wants done.
type TrackerEffect interface{ trackerEffect() }

type (
	// Fetch asks for the document of the head and a call of Arrived.
	Fetch struct{ Head Head }
	// Install puts a document in force.
	Install struct{ Document *Document }
	// Reject reports a document that cannot be used.
	Reject struct{ Err error }
)

func (Fetch) trackerEffect()   {}
func (Install) trackerEffect() {}
func (Reject) trackerEffect()  {}

// NewTracker returns a tracker without a configuration.
func NewTracker() *Tracker { return &Tracker{} }

// Document returns the configuration in force, nil before the first.
func (tracker *Tracker) Document() *Document { return tracker.document }

// Rendered returns the bytes of the configuration in force.
func (tracker *Tracker) Rendered() []byte { return tracker.rendered }

// Generation returns the generation in force, zero before the first.
func (tracker *Tracker) Generation() uint64 {
	if tracker.document == nil {
		return 0
	}
	return tracker.document.generation
}

// Newest returns the newest head heard of; its document may still be missing.
func (tracker *Tracker) Newest() Head { return tracker.newest }

// Confirmed returns when the configuration in force was last known to be the
// newest of all; the zero time stands for never.
func (tracker *Tracker) Confirmed() time.Time {
	if tracker.newest.generation > tracker.Generation() {
		return time.Time{}
	}
	return tracker.confirmed
}

// HeadSeen takes a head that was the newest at asOf, a time at or before the
// start of the call that brought it.
func (tracker *Tracker) HeadSeen(head Head, asOf time.Time) []TrackerEffect {
	if head.generation >= tracker.newest.generation && asOf.After(tracker.confirmed) {
		tracker.confirmed = asOf
	}
	if head.generation <= tracker.newest.generation {
		return nil
	}
	tracker.newest = head
	if document, rendered, ok := tracker.patched(head); ok {
		return tracker.install(document, rendered)
	}
	return []TrackerEffect{Fetch{Head: head}}
}

// patched builds the head's document from the one in force when the head
// carries the step between them.
func (tracker *Tracker) patched(head Head) (*Document, []byte, bool) {
	if head.patch == nil || tracker.document == nil || head.generation != tracker.document.generation+1 {
		return nil, nil, false
	}
	rendered, err := Merge(tracker.rendered, head.patch)
	if err != nil || ContentHash(rendered) != head.hash {
		return nil, nil, false
	}
	document, err := Parse(head.generation, rendered)
	return document, rendered, err == nil
}

// Arrived takes the document of a head.
func (tracker *Tracker) Arrived(head Head, rendered []byte) []TrackerEffect {
	if head.generation <= tracker.Generation() {
		return nil
	}
	if ContentHash(rendered) != head.hash {
		return []TrackerEffect{Reject{Err: errHash(head)}}
	}
	document, err := Parse(head.generation, rendered)
	if err != nil {
		return []TrackerEffect{Reject{Err: err}}
	}
	if head.generation > tracker.newest.generation {
		tracker.newest = head
	}
	return tracker.install(document, rendered)
}

func (tracker *Tracker) install(document *Document, rendered []byte) []TrackerEffect {
	tracker.document = document
	tracker.rendered = rendered
	return []TrackerEffect{Install{Document: document}}
}

// Missing returns a fetch while the newest document is not in force yet.
func (tracker *Tracker) Missing() []TrackerEffect {
	if tracker.newest.generation <= tracker.Generation() {
		return nil
	}
	return []TrackerEffect{Fetch{Head: tracker.newest}}
}
