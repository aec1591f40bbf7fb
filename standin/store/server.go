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

const maxWatchWait = time.Minute

// Serve answers the object API on listener until it is closed. POST /faults
// with a JSON Faults switches the faults.
func (store *Store) Serve(listener net.Listener) error {
	server := &fasthttp.Server{Handler: store.handle, NoDefaultServerHeader: true, Logger: logs.Silent{}, MaxRequestBodySize: 2 * MaxValueBytes}
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
		store.answerList(ctx, objects, 0, err)
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
	store.answerList(ctx, objects, version, err)
}

// listed is the wire form of an object in a list or watch.
type listed struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

func (store *Store) answerList(ctx *fasthttp.RequestCtx, objects []object.Object, version uint64, err error) {
	if err != nil {
		answerError(ctx, err)
		return
	}
	rows := make([]listed, 0, len(objects))
	for _, object := range objects {
		rows = append(rows, listed{Key: object.Key(), Value: object.Value(), Version: object.Version()})
	}
	setVersion(ctx, version)
	writeJSON(ctx, rows)
}

func (store *Store) handleObject(ctx *fasthttp.RequestCtx, key string) {
	if string(ctx.Method()) == fasthttp.MethodGet {
		found, err := store.Get(ctx, "", key)
		if err != nil {
			answerError(ctx, err)
			return
		}
		setVersion(ctx, found.Version())
		ctx.SetBody(found.Value())
		return
	}
	version, err := strconv.ParseUint(string(ctx.Request.Header.Peek("If-Object-Version")), 10, 64)
	if err != nil {
		ctx.Error("If-Object-Version is missing", fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Method()) == fasthttp.MethodDelete {
		err = store.Delete(ctx, "", key, version)
	} else {
		version, err = store.Update(ctx, "", key, ctx.PostBody(), version)
	}
	if err != nil {
		answerError(ctx, err)
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

func answerError(ctx *fasthttp.RequestCtx, err error) {
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
