package object

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/connection"
	"endiverill.example/kernel/head"
	"endiverill.example/kernel/plugin"
)

const (
	restTimeout     = 2 * time.Second // or until the deadline of the caller's context, if earlier
	restBodyLimit   = 8 << 20         // bytes
	restMaxConns    = 256
	headerVersion   = "Object-Version"
	headerEpoch     = "Object-Epoch" // number of the API's epoch, in all responses
	headerIfVersion = "If-Object-Version"
)

func init() {
	plugin.Register(plugin.Store, "rest", Opener(OpenREST))
}

// REST is a client of an object API over HTTP.
type REST struct {
	base   string
	count  func(purpose string)
	client *fasthttp.Client
	epochs Epochs
}

// Epoch returns the latest epoch that the object API has named, 0 if it has named none.
func (rest *REST) Epoch() uint64 { return rest.epochs.Current() }

// OpenREST returns a client of the object API at address (HOST:PORT). It calls
// count with the purpose of each call that it sends.
func OpenREST(address string, count func(purpose string)) Store {
	client := &fasthttp.Client{
		MaxConnsPerHost:     restMaxConns,
		MaxResponseBodySize: restBodyLimit,
		// An unanswered call may have taken effect, so the caller decides whether to
		// retry it.
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			conn, err := fasthttp.Dial(address)
			if err != nil {
				return nil, err
			}
			return head.NewConn(connection.Conn{Conn: conn}), nil
		},
	}
	return &REST{base: "http://" + address, count: count, client: client}
}

// Get returns the object at key, or ErrNotFound.
func (rest *REST) Get(ctx context.Context, purpose, key string) (Object, error) {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodGet, path: "/objects/" + key})
	if err != nil {
		return Object{}, err
	}
	return NewObject(key, reply.body, reply.version), nil
}

// Create writes a new object and returns its version, or ErrConflict if the object
// exists.
func (rest *REST) Create(ctx context.Context, purpose, key string, value []byte) (uint64, error) {
	return rest.Update(ctx, purpose, key, value, 0)
}

// Update replaces the object if it has the given version, where zero means that it
// must not exist, and returns its new version.
func (rest *REST) Update(ctx context.Context, purpose, key string, value []byte, version uint64) (uint64, error) {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodPut, path: "/objects/" + key, body: value, ifVersion: &version})
	if err != nil {
		return 0, err
	}
	return rest.epochs.CheckWritten(reply.epoch, RevisionOf(reply.version), version)
}

// Delete removes the object if it has the given version.
func (rest *REST) Delete(ctx context.Context, purpose, key string, version uint64) error {
	reply, err := rest.call(ctx, purpose, call{method: fasthttp.MethodDelete, path: "/objects/" + key, ifVersion: &version})
	if err != nil {
		return err
	}
	_, err = rest.epochs.CheckWritten(reply.epoch, 0, version)
	return err
}

// listedObject is the wire form of an object in the response to a list or watch.
type listedObject struct {
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
	return parseObjects(reply.body, reply.epoch)
}

// Watch waits at most wait for changes under prefix that are newer than the version
// after, and returns them with the version to watch from next. In another epoch than
// that of after, all objects count as changed.
func (rest *REST) Watch(ctx context.Context, purpose, prefix string, after uint64, wait time.Duration) ([]Object, uint64, error) {
	if rest.epochs.Outdated(after) {
		after = JoinVersion(rest.epochs.Current(), 0)
	}
	path := "/watch?prefix=" + prefix + "&after=" + strconv.FormatUint(RevisionOf(after), 10) + "&wait=" + wait.String()
	reply, err := await(ctx, func() (reply, error) {
		return rest.call(ctx, purpose, call{method: fasthttp.MethodGet, path: path, extraTime: wait})
	})
	if err != nil {
		return nil, after, err
	}
	if after != 0 && EpochOf(after) != reply.epoch {
		return nil, after, errors.Wrapf(ErrUnknown, "the watch is from epoch %d of the object API, which is in %d", EpochOf(after), reply.epoch)
	}
	objects, err := parseObjects(reply.body, reply.epoch)
	return objects, reply.version, err
}

func parseObjects(body []byte, epoch uint64) ([]Object, error) {
	var listedObjects []listedObject
	if err := json.Unmarshal(body, &listedObjects); err != nil {
		return nil, errors.Wrap(err, "parse object list")
	}
	objects := make([]Object, 0, len(listedObjects))
	for _, listed := range listedObjects {
		objects = append(objects, NewObject(listed.Key, listed.Value, JoinVersion(epoch, listed.Version)))
	}
	return objects, nil
}

// call is a request to the object API. If ifVersion is set, the call takes effect
// only if the object has that version, or does not exist if it is zero.
type call struct {
	method    string
	path      string
	body      []byte
	ifVersion *uint64
	extraTime time.Duration // added to restTimeout, for calls that the server holds open
}

// reply is a successful response of the object API.
type reply struct {
	body    []byte
	version uint64
	epoch   uint64
}

func (rest *REST) call(ctx context.Context, purpose string, call call) (reply, error) {
	if ctx.Err() != nil {
		return reply{}, errors.Mark(ctx.Err(), ErrRefused)
	}
	if call.ifVersion != nil && rest.epochs.Outdated(*call.ifVersion) {
		return reply{}, errors.Wrapf(ErrConflict, "version %d is of an earlier epoch of the object API", *call.ifVersion)
	}
	rest.count(purpose)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.method)
	request.SetRequestURI(rest.base + call.path)
	request.SetBodyRaw(call.body)
	if call.ifVersion != nil {
		request.Header.Set(headerIfVersion, strconv.FormatUint(RevisionOf(*call.ifVersion), 10))
	}
	deadline := time.Now().Add(restTimeout + call.extraTime)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	if err := rest.client.DoDeadline(request, response, deadline); err != nil {
		return reply{}, errors.Mark(errors.Wrapf(err, "%s %s", call.method, call.path), ErrUnknown)
	}
	epoch, err := rest.epochs.Observe(string(response.Header.Peek(headerEpoch)))
	if err != nil {
		return reply{}, errors.Wrapf(err, "%s %s", call.method, call.path)
	}
	reply, err := readReply(call, response)
	reply.epoch, reply.version = epoch, rest.epochs.Join(epoch, reply.version)
	return reply, err
}

// await runs a call that may take long and returns early if ctx is cancelled. The
// call then continues in the background until its own deadline.
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
		return reply{}, errors.Wrapf(ErrRefused, "%s %s: rate limit exceeded", call.method, call.path)
	default:
		return reply{}, errors.Wrapf(ErrUnknown, "%s %s: unexpected status %d", call.method, call.path, response.StatusCode())
	}
}
