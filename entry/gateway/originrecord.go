package gateway

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"endiverill.example/kernel/object"
	"endiverill.example/kernel/stream"
	"endiverill.example/kernel/wire"
)

const (
	originsInterval     = 250 * time.Millisecond // between two writes, with fewer than entriesPerInterval other entries
	entriesPerInterval  = 16                     // each such number of other entries lengthens the time between writes by originsInterval
	originsTimeout      = time.Second            // of one access to the store
	maxStoredOrigins    = 2000                   // the latest; keeps them within one message
	storedOriginsMaxAge = time.Hour              // after which the object of an entry that is gone is deleted
)

// originRecord keeps in the store, while several software versions serve, the origins of the
// streams that lately began at this entry, so that they are known after all entries have been
// killed. An entry reads those of all entries at its start.
type originRecord struct {
	gateway *Gateway
	object  uint64 // version of this entry's object, 0 if there is none
	written uint64 // origins.begun when it was written
	lost    bool   // the store may have lost the object, or has another one
}

// storedOrigins is the stored form. Its records are a wire.StreamOrigins.
type storedOrigins struct {
	Written int64  `json:"written"` // Unix milliseconds; a step of the time of day shifts when the records expire
	Records []byte `json:"records"`
}

func (originRecord *originRecord) run(ctx context.Context) error {
	gateway := originRecord.gateway
	read := false
	for ctx.Err() == nil {
		var err error
		several, recalled := gateway.origins.severalVersions()
		switch {
		case !recalled:
		case !read:
			if several {
				err = originRecord.read(ctx)
			}
			read = err == nil
		case several:
			err = originRecord.write(ctx)
		}
		if err != nil {
			gateway.log.Infof("the origins of streams were not read or stored, they will be again: %v", err)
		}
		select {
		case <-gateway.clock.After(originsInterval * time.Duration(1+gateway.peers.count()/entriesPerInterval)):
		case <-ctx.Done():
		}
	}
	return nil
}

func (originRecord *originRecord) key() string {
	options := originRecord.gateway.options
	return options.OriginsPrefix + options.IP
}

// read takes over the records of all entries, and deletes objects that nobody writes any more.
func (originRecord *originRecord) read(ctx context.Context) error {
	gateway := originRecord.gateway
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	objects, err := gateway.options.Store.List(ctx, "origins", gateway.options.OriginsPrefix)
	if err != nil {
		return err
	}
	for _, found := range objects {
		if found.Key() == originRecord.key() {
			originRecord.object = found.Version()
		}
		var stored storedOrigins
		if err := json.Unmarshal(found.Value(), &stored); err != nil {
			gateway.log.Warnf("object %s is malformed and not read: %v", found.Key(), err)
			continue
		}
		message, err := wire.DecodeDatagram(stored.Records)
		if err != nil {
			gateway.log.Warnf("object %s is malformed and not read: %v", found.Key(), err)
			continue
		}
		age := max(gateway.clock.Now().Sub(time.UnixMilli(stored.Written)), 0)
		if streamOrigins, ok := message.(*wire.StreamOrigins); ok {
			gateway.origins.receive(aged(streamOrigins, age))
		}
		if age > storedOriginsMaxAge && found.Key() != originRecord.key() {
			if err := gateway.options.Store.Delete(ctx, "origins", found.Key(), found.Version()); err != nil {
				gateway.log.Infof("object %s, written %v ago, was not deleted: %v", found.Key(), age, err)
			}
		}
	}
	return nil
}

// aged returns the records that are to be kept for longer than age, with what is left of it.
func aged(streamOrigins *wire.StreamOrigins, age time.Duration) *wire.StreamOrigins {
	left := &wire.StreamOrigins{}
	for _, record := range streamOrigins.Records {
		if record.Retention > age {
			record.Retention -= age
			left.Records = append(left.Records, record)
		}
	}
	return left
}

// write stores the records of streams that began at this entry, if there are new ones.
func (originRecord *originRecord) write(ctx context.Context) error {
	gateway := originRecord.gateway
	records, begun := gateway.origins.ownRecords()
	if originRecord.object != 0 && object.EpochOf(originRecord.object) < object.CurrentEpoch(gateway.options.Store) {
		originRecord.lost = true
	}
	if begun == originRecord.written && !originRecord.lost {
		return nil
	}
	message := &wire.StreamOrigins{}
	for _, record := range records[max(len(records)-maxStoredOrigins, 0):] {
		message.Records = append(message.Records, wire.StreamOrigin{Stream: uint64(record.ID()), Origin: uint64(record.Origin()), Retention: record.Retention()})
	}
	encoded, err := wire.EncodeDatagram(message)
	if err != nil {
		return err
	}
	data, err := json.Marshal(storedOrigins{Written: gateway.clock.Now().UnixMilli(), Records: encoded})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, originsTimeout)
	defer cancel()
	version, err := gateway.options.Store.Update(ctx, "origins", originRecord.key(), data, originRecord.object)
	if errors.Is(err, object.ErrConflict) || errors.Is(err, object.ErrNotFound) {
		// Another incarnation of this entry has written it, an earlier write without an answer
		// was done, or the store has come back from a copy.
		found, getErr := gateway.options.Store.Get(ctx, "origins", originRecord.key())
		if getErr == nil || errors.Is(getErr, object.ErrNotFound) {
			originRecord.object = found.Version()
		}
		return err
	}
	if err != nil {
		return err
	}
	originRecord.object, originRecord.written, originRecord.lost = version, begun, false
	return nil
}

// ownRecord is the record of a stream that began at this entry.
type ownRecord struct {
	id      stream.ID
	origin  stream.Origin
	expires time.Time
}

// ownRecords returns the records of streams that began at this entry and can still be taken
// up, in order of their beginning, and how many have begun in all.
func (origins *origins) ownRecords() (records []stream.Record, begun uint64) {
	now := origins.gateway.clock.Now()
	origins.mu.Lock()
	defer origins.mu.Unlock()
	for len(origins.own) > 0 && !origins.own[0].expires.After(now) {
		origins.own = origins.own[1:]
	}
	for _, own := range origins.own {
		if left := own.expires.Sub(now); left > 0 {
			records = append(records, stream.NewRecord(own.id, own.origin, left))
		}
	}
	return records, origins.begun
}

// severalVersions reports whether several software versions serve a service, or lately did,
// and whether this is known also for the time before this entry started.
func (origins *origins) severalVersions() (several, recalled bool) {
	origins.mu.Lock()
	defer origins.mu.Unlock()
	for _, versions := range origins.versions.Recorded(origins.gateway.clock.Now()) {
		if len(versions) > 1 {
			return true, origins.recalled
		}
	}
	return false, origins.recalled
}
