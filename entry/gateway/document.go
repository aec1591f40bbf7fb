package gateway

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/directory"
)

// maxContentBytes limits what a compressed document from a peer may expand to.
const maxContentBytes = 64 << 20

// document is a copy of one of the platform's documents, as entries send it to each other.
type document struct {
	version   uint64
	content   []byte           // as received from the platform
	position  directory.Cursor // at which it was the newest; 0 if unknown
	confirmed time.Time        // when it was last known to be the newest; set when a newer one replaces it

	once       sync.Once // sets the fields below
	compressed []byte
	digest     atomic.Uint64 // of compressed; 0 before
}

// compress returns the compressed content and its digest. It compresses once.
func (document *document) compress() ([]byte, uint64) {
	document.once.Do(func() {
		var buf bytes.Buffer
		writer, err := flate.NewWriter(&buf, flate.BestSpeed)
		if err != nil {
			panic(err) // only an invalid level is an error
		}
		_, _ = writer.Write(document.content) // a buffer takes all writes
		_ = writer.Close()
		document.compressed = buf.Bytes()
		document.digest.Store(xxhash.Sum64(buf.Bytes()))
	})
	return document.compressed, document.digest.Load()
}

// sent reports whether digest is that of the compressed document, which has been sent.
func (document *document) sent(digest uint64) bool { return document.digest.Load() == digest }

// expand returns the content of a compressed document.
func expand(compressed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxContentBytes+1))
	if err == nil && len(content) > maxContentBytes {
		err = errors.Newf("a document of more than %d bytes", maxContentBytes)
	}
	return content, errors.Wrap(err, "expand document")
}
