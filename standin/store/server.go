package store

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/logs"

	"endiverill.example/kernel/object"
)

// maxWatchWait is the longest time that a watch waits, and the default for an
// invalid wait parameter.
const maxWatchWait = time.Minute

// Serve serves the object API over HTTP on listener until it is closed. POST
// /faults with a JSON Faults replaces the active faults; /counts returns Counts.
func (store *Store) Serve(listener net.Listener) error {
	server := &fasthttp.Server{Handler: store.handle, NoDefaultServerHeader: true, Logger: logs.NopLogger{}, MaxRequestBodySize: 2 * MaxValueBytes}
	return server.Serve(listener)
}

func (store *Store) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/faults":
		store.handleFaults(ctx)
	case path == "/counts":
		writeJSON(ctx, store.Counts())
	case path == "/list":
		objects, err := store.List(ctx, "", string(ctx.QueryArgs().Peek("prefix")))
		store.writeList(ctx, objects, 0, err)
	case path == "/watch":
		store.handleWatch(ctx)
	case strings.HasPrefix(path, "/objects/"):
		store.handleObject(ctx, strings.TrimPrefix(path, "/objects/"))
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
}

func (store *Store) handleFaults(ctx *fasthttp.RequestCtx) {
	var faults Faults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	store.SetFaults(faults)
}

func (store *Store) handleWatch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	after, _ := strconv.ParseUint(string(args.Peek("after")), 10, 64)
	wait, err := time.ParseDuration(string(args.Peek("wait")))
	if err != nil || wait > maxWatchWait {
		wait = maxWatchWait
	}
	objects, version, err := store.Watch(ctx, "", string(args.Peek("prefix")), after, wait)
	store.writeList(ctx, objects, version, err)
}

// listedObject is the wire form of an object in the response to a list or watch.
type listedObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (store *Store) writeList(ctx *fasthttp.RequestCtx, objects []object.Object, version uint64, err error) {
	if err != nil {
		writeError(ctx, err)
		return
	}
	items := make([]listedObject, 0, len(objects))
	for _, object := range objects {
		items = append(items, listedObject{Key: object.Key(), Value: object.Value(), Version: object.Version()})
	}
	setVersion(ctx, version)
	writeJSON(ctx, items)
}

func (store *Store) handleObject(ctx *fasthttp.RequestCtx, key string) {
	if string(ctx.Method()) == fasthttp.MethodGet {
		found, err := store.Get(ctx, "", key)
		if err != nil {
			writeError(ctx, err)
			return
		}
		setVersion(ctx, found.Version())
		ctx.SetBody(found.Value())
		return
	}
	version, err := strconv.ParseUint(string(ctx.Request.Header.Peek("If-Object-Version")), 10, 64)
	if err != nil {
		ctx.Error("header If-Object-Version must be the expected object version, an unsigned integer", fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Method()) == fasthttp.MethodDelete {
		err = store.Delete(ctx, "", key, version)
	} else {
		version, err = store.Update(ctx, "", key, ctx.PostBody(), version)
	}
	if err != nil {
		writeError(ctx, err)
		return
	}
	setVersion(ctx, version)
}

func setVersion(ctx *fasthttp.RequestCtx, version uint64) {
	ctx.Response.Header.Set("Object-Version", strconv.FormatUint(version, 10))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// writeError writes the HTTP status that the client in package object maps back to
// the same error. The default, 503, stands for object.ErrUnknown.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	switch {
	case errors.Is(err, object.ErrNotFound):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.Is(err, object.ErrConflict):
		ctx.SetStatusCode(fasthttp.StatusConflict)
	case errors.Is(err, object.ErrRefused):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
