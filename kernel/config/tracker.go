package config

import "time"

// Tracker decides which configuration an instance puts in force. It never reverts
// to an older generation, in whatever order heads and documents arrive. It does no
// I/O: the caller carries out the effects that its methods return. It is not safe
// for concurrent use.
type Tracker struct {
	document   *Document
	rendered   []byte
	newestHead Head
	confirmed  time.Time
}

// TrackerEffect is an action that a Tracker asks its caller to carry out.
type TrackerEffect interface{ trackerEffect() }

type (
	// Fetch asks for a read of the head's document, to be passed to ReceiveDocument.
	Fetch struct{ Head Head }
	// Install asks to put a document in force.
	Install struct{ Document *Document }
	// Reject reports a document that is invalid or does not match its head.
	Reject struct{ Err error }
)

func (Fetch) trackerEffect()   {}
func (Install) trackerEffect() {}
func (Reject) trackerEffect()  {}

// NewTracker returns a tracker without a configuration.
func NewTracker() *Tracker { return &Tracker{} }

// Document returns the configuration in force, nil if there is none yet.
func (tracker *Tracker) Document() *Document { return tracker.document }

// Rendered returns the rendered document of the configuration in force.
func (tracker *Tracker) Rendered() []byte { return tracker.rendered }

// Generation returns the generation in force, 0 if there is none yet.
func (tracker *Tracker) Generation() uint64 {
	if tracker.document == nil {
		return 0
	}
	return tracker.document.generation
}

// Newest returns the newest head observed; its document may not be in force yet.
func (tracker *Tracker) Newest() Head { return tracker.newestHead }

// Confirmed returns the latest time at which the site is known to have had no newer
// configuration than the one in force. It returns the zero time when a newer head has
// been observed, or no head has been confirmed to be the newest.
func (tracker *Tracker) Confirmed() time.Time {
	if tracker.newestHead.generation > tracker.Generation() {
		return time.Time{}
	}
	return tracker.confirmed
}

// ObserveHead processes a head. At asOf the site had no newer head; this one may have
// been written after asOf. AsOf must not be later than the start of the call that
// returned the head. ObserveHead returns an Install when the head's patch applies to
// the document in force, and a Fetch for any other newer head.
func (tracker *Tracker) ObserveHead(head Head, asOf time.Time) []TrackerEffect {
	if head.generation >= tracker.newestHead.generation && asOf.After(tracker.confirmed) {
		tracker.confirmed = asOf
	}
	if head.generation <= tracker.newestHead.generation {
		return nil
	}
	tracker.newestHead = head
	if document, rendered, ok := tracker.patchedDocument(head); ok {
		return tracker.install(document, rendered)
	}
	return []TrackerEffect{Fetch{Head: head}}
}

// patchedDocument applies the head's patch to the document in force. It returns
// false when the head has no patch or is not the next generation, and when the
// result is invalid or does not match the head's hash.
func (tracker *Tracker) patchedDocument(head Head) (*Document, []byte, bool) {
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

// ReceiveDocument processes the rendered document of a head. It returns an
// Install, a Reject for a document that is invalid or does not match the head's
// hash, or nothing when the generation is not newer than the one in force.
func (tracker *Tracker) ReceiveDocument(head Head, rendered []byte) []TrackerEffect {
	if head.generation <= tracker.Generation() {
		return nil
	}
	if ContentHash(rendered) != head.hash {
		return []TrackerEffect{Reject{Err: hashMismatch(head)}}
	}
	document, err := Parse(head.generation, rendered)
	if err != nil {
		return []TrackerEffect{Reject{Err: err}}
	}
	if head.generation > tracker.newestHead.generation {
		tracker.newestHead = head
	}
	return tracker.install(document, rendered)
}

func (tracker *Tracker) install(document *Document, rendered []byte) []TrackerEffect {
	tracker.document = document
	tracker.rendered = rendered
	return []TrackerEffect{Install{Document: document}}
}

// PendingFetch returns a Fetch of the newest head's document, or nothing when that
// document is in force.
func (tracker *Tracker) PendingFetch() []TrackerEffect {
	if tracker.newestHead.generation <= tracker.Generation() {
		return nil
	}
	return []TrackerEffect{Fetch{Head: tracker.newestHead}}
}
