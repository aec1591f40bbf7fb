package object

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/plugin"
)

const (
	restTimeout     = 2 * time.Second
	restBodyLimit   = 8 << 20 // bytes
	headerVersion   = "Object-Version"
	headerIfVersion = "If-Object-Version"
)

func init() {
	plugin.Register(plugin.Store, "rest", Opener(OpenREST))
}

// REST is a store reached over HTTP.
type REST struct {
	base   string
	count  func(purpose string)
	client *fasthttp.Client
}

// OpenREST returns a store at address (HOST:PORT) that reports each call's
// purpose to count.
func OpenREST(address string, count func(purpose string)) Store {
	client := &fasthttp.Client{
		MaxConnsPerHost:     256,
		MaxResponseBodySize: restBodyLimit,
		// A call that got no answer may have taken effect, so the caller decides.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return &REST{base: "http://" + address, count: count, client: client}
}

// Get returns one object, or ErrNotFound.
func (rest *REST) Get(ctx context.Context, purpose, key string) (Object, error) {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodGet, path: "/objects/" + key})
	if err != nil {
		return Object{}, err
	}
	return NewObject(key, reply.body, reply.version), nil
}

// Create writes an object that must not exist.
func (rest *REST) Create(ctx context.Context, purpose, key string, value []byte) (uint64, error) {
	return rest.Update(ctx, purpose, key, value, 0)
}

// Update writes an object that must have version; zero says it must not exist.
func (rest *REST) Update(ctx context.Context, purpose, key string, value []byte, version uint64) (uint64, error) {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodPut, path: "/objects/" + key, body: value, ifVersion: &version})
	return reply.version, err
}

// Delete removes an object that must have version.
func (rest *REST) Delete(ctx context.Context, purpose, key string, version uint64) error {
	_, err := rest.call(ctx, purpose, call{method: fasthttp.MethodDelete, path: "/objects/" + key, ifVersion: &version})
	return err
}

// listed is the wire form of an object in a list or watch.
type listed struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// List returns the objects whose keys start with prefix.
func (rest *REST) List(ctx context.Context, purpose, prefix string) ([]Object, error) {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodGet, path: "/list?prefix=" + prefix})
	if err != nil {
		return nil, err
	}
	return parseListed(reply.body)
}

// Watch waits for changes under prefix after version.
func (rest *REST) Watch(ctx context.Context, purpose, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	path := "/watch?prefix=" + prefix + "&after=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
	reply, err := await(ctx, func() (reply, error) {
		return rest.call(ctx, purpose, call{method: fasthttp.MethodGet, path: path, extra: wait})
	})
	if err != nil {
		return nil, after, err
	}
	objects, err := parseListed(reply.body)
	return objects, reply.version, err
}

func parseListed(body []byte) ([]Object, error) {
	var rows []listed
	if err := json.Unmarshal(body, &rows); err != nil {
		return nil, errors.Wrap(err, "parse object list")
	}
	objects := make([]Object, 0, len(rows))
	for _, row := range rows {
		objects = append(objects, NewObject(row.Key, row.Value, row.Version))
	}
	return objects, nil
}

type call struct {
	method    string
	path      string
	body      []byte
	ifVersion *uint64
	extra     time.Duration
}

type reply struct {
	body    []byte
	version uint64
}

func (rest *REST) call(ctx context.Context, purpose string, call call) (reply, error) {
	if ctx.Err() != nil {
		return reply{}, errors.Mark(ctx.Err(), ErrRefused)
	}
	rest.count(purpose)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI(rest.base + call.path)
	request.SetBodyRaw(call.body)
	if call.ifVersion != nil {
		request.Header.Set(headerIfVersion, strconv.FormatUint(*call.ifVersion, 10))
	}
	deadline := time.Now().Add(restTimeout + call.extra)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := rest.client.DoDeadline(request, response, deadline); err != nil {
		return reply{}, errors.Mark(errors.Wrapf(err, "%s %s", call.method, call.path), ErrUnknown)
	}
	return readReply(call, response)
}

// await runs a call that may wait long, and gives it up when ctx ends; the call
// itself ends by its own deadline.
func await(ctx context.Context, run func() (reply, error)) (reply, error) {
	type result struct {
		reply reply
		err   error
	}
	done := make(chan result, 1)
	go func() {
		reply, err := run()
		done <- result{reply: reply, err: err}
	}()
	select {
	case result := <-done:
		return result.reply, result.err
	case <-ctx.Done():
		return reply{}, errors.Mark(ctx.Err(), ErrUnknown)
	}
}

func readReply(call call, response *fasthttp.Response) (reply, error) {
	switch response.StatusCode() {
	case fasthttp.StatusOK:
		version, _ := strconv.ParseUint(string(response.Header.Peek(headerVersion)), 10, 64)
		return reply{body: append([]byte(nil), response.Body()...), version: version}, nil
	case fasthttp.StatusNotFound:
		return reply{}, ErrNotFound
	case fasthttp.StatusConflict:
		return reply{}, ErrConflict
	case fasthttp.StatusTooManyRequests:
		return reply{}, errors.Wrapf(ErrRefused, "%s %s: over the rate", call.method, call.path)
	default:
		return reply{}, errors.Wrapf(ErrUnknown, "%s %s: status %d", call.method, call.path, response.StatusCode())
	}
}
