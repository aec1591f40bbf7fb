package engine

import (
	"context"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The blank line that ends an event may arrive with a later read, which overwrites the
// read buffer that the event's data came in.
func TestReadEventsKeepsDataUntilEventEnds(t *testing.T) {
	sent := []string{strings.Repeat("a", 3000), strings.Repeat("b", 500), strings.Repeat("c", 4000)}
	stream := io.MultiReader(
		strings.NewReader("id: 0\ndata: "+sent[0]+"\n\nid: 1\ndata: "+sent[1]+"\n"),
		strings.NewReader("\nid: 2\ndata: "+sent[2]+"\n\ndata: [DONE]\n\n"),
	)
	var got []string
	assert.NilError(t, readEvents(context.Background(), stream, func(event Event) error {
		got = append(got, string(event.Data()))
		return nil
	}))
	assert.DeepEqual(t, got, sent)
}

func TestReadEventsPassesEventWithEmptyData(t *testing.T) {
	var got []uint64
	assert.NilError(t, readEvents(context.Background(), strings.NewReader("id: 7\ndata: \n\ndata: [DONE]\n\n"), func(event Event) error {
		got = append(got, event.Position())
		return nil
	}))
	assert.DeepEqual(t, got, []uint64{7})
}
