package wire

import (
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"gotest.tools/v3/assert"
)

func TestEncodingRoundTripKeepsFieldsAndSkipsUnknownOnes(t *testing.T) {
	encoding := Encoding{}
	request := &Request{
		ID: "id", Nonce: "n", Customer: "c", KeyID: "k", Generation: 7, Model: "m", Adapter: "a", Method: "POST", Path: "/x?y=1",
		Headers: []Header{{"A", "1"}, {"B", ""}}, Body: []byte{0, 1, 2}, BodyHash: "h", Idempotent: true, Stream: true, Priority: -3,
		Weight: 2, Tokens: 9, Timeout: 5, Incarnation: 1 << 63, StartBy: 6, BaseVersion: 8, ResumeFrom: 10, Entry: "e",
	}
	frame := &Frame{
		ID: "id", Nonce: "n", Position: 3, Kind: FrameError, Status: 200, Headers: []Header{{"A", "1"}}, Data: []byte("d"), Code: 1301,
		Ran: 1, Message: "m", RetryAfter: 4, Tokens: 1, RecordVersion: 5,
		Load:            &Load{Target: "t", Incarnation: 2, Leaving: true, Resident: []string{"a", "b"}, Offered: []ModelWork{{"m", 5}}, FreeMemory: 9, PlanVersion: 4, SoftwareVersion: "7.1"},
		SoftwareVersion: "7.2",
	}
	documentRequest := &DocumentRequest{Kind: DocumentTargets, Version: 1, Requester: 2, Digest: 1 << 63, Offset: 3, MaxBytes: 4}
	documentPart := &DocumentPart{Version: 1, Age: 2, Position: 3, Busy: true, Digest: 1 << 63, Size: 5, Offset: 4, Data: []byte{0}}
	for _, test := range []struct{ in, out Message }{{request, &Request{}}, {frame, &Frame{}}, {documentRequest, &DocumentRequest{}}, {documentPart, &DocumentPart{}}, {&EvidenceNotice{Entry: "e", Suspects: []PartEvidence{{Part: 7, Ends: 1}}}, &EvidenceNotice{}}} {
		data, err := encoding.Marshal(test.in)
		assert.NilError(t, err)
		// A field that only a later release knows must be skipped.
		data = protowire.AppendTag(data, 900, protowire.BytesType)
		data = protowire.AppendString(data, "new")
		assert.NilError(t, encoding.Unmarshal(data, test.out))
		assert.DeepEqual(t, test.in, test.out)
	}
}

func TestDatagramRoundTripKeepsFields(t *testing.T) {
	for _, message := range []Message{
		&EntryState{Name: "e", Incarnation: 3, Spent: []NamedValue{{"c", 7.5}}, RateLeft: []NamedValue{{"c", -2}}, Refunds: []NamedValue{{"c", 3}}, RefundAges: []NamedValue{{"c", 1.5}}, ReportRequested: true, Suspects: []PartEvidence{{Part: 1 << 63, Ends: 2, Age: 3, Begun: true, Since: 4, With: []uint64{1, 1 << 63}, Trying: true, Ended: []uint32{1, 1 << 31}}}, Limits: []TargetLimit{{Target: "t", StartedAt: 1 << 50, PerSecond: 1.2, Named: true, NamedAge: 3, Cleared: true, ClearedAge: 4}}, Broken: []BrokenTarget{{Target: "t", StartedAt: 1 << 50, Age: 5, All: true}}},
		&TargetState{Target: "t", Number: 4, Unread: []uint64{0, 300, 0}, Cached: []uint32{1, 1 << 31}, Evicted: []uint32{5}, Full: true},
		&SentPrompt{ID: "r", Urgency: 2, Tokens: 9000, Parts: []PromptPart{{Key: 1 << 31, Tokens: 2500}, {Key: 2, Tokens: 1}}},
		&RetryRequest{ID: 5, Service: "s"},
		&PermitRequest{ID: 5, Target: "t", StartedAt: 1 << 50, PerSecond: 0.5, MaxWait: 7},
		&GrantRequest{ID: 6, Customer: "c", Cost: 1231.5},
		&PlannerNotice{Planner: "p", Fence: 1, Number: 2, Owners: []RateOwner{{Address: "a", Age: time.Second}, {}}},
		&CommandResult{ID: 6, Done: true, Reason: "why", RetryAfter: 7, Origin: 1 << 63},
		&StreamOrigins{Records: []StreamOrigin{{Stream: 1 << 63, Origin: 3, Retention: time.Minute}, {Stream: 1, Origin: 1 << 63}}},
		&OriginRequest{ID: 5, Stream: 1 << 63},
		&BrokenTarget{Target: "t", StartedAt: 1 << 50, Age: 5},
	} {
		data, err := EncodeDatagram(message)
		assert.NilError(t, err)
		decoded, err := DecodeDatagram(data)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, message)
	}
}

// FuzzFrame checks that every frame that can be decoded can be encoded and decoded
// again.
func FuzzFrame(f *testing.F) {
	encoding := Encoding{}
	seed, err := encoding.Marshal(&Frame{ID: "id", Kind: FrameData, Data: []byte("x"), Load: &Load{Target: "t", Resident: []string{"m"}}})
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0x08})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame := &Frame{}
		if encoding.Unmarshal(data, frame) != nil {
			return
		}
		again, err := encoding.Marshal(frame)
		assert.NilError(t, err)
		other := &Frame{}
		assert.NilError(t, encoding.Unmarshal(again, other))
	})
}
