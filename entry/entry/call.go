package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
	"endiverill.example/kernel/config"
	"endiverill.example/kernel/wire"
)

// call holds what the handlers of completions and plain services need of one
// request: the customer, the ID, the priority, the deadline and the snapshot that was
// current at its arrival.
type call struct {
	snapshot      *snapshot
	customer      config.Customer // zero on open routes
	keyID         string
	id            string
	callerChoseID bool // false where the entry generated the ID
	firstAttempt  bool // the caller declared that no earlier attempt used this ID
	priority      int  // 0 to maxPriority; a higher one runs earlier among the customer's requests
	receivedAt    time.Time
	deadline      time.Time
}

// identity is the authenticated key of a request and the customer it belongs to.
type identity struct {
	customer config.Customer
	keyID    string
}

// authenticate returns the key and the customer that the request authenticates as.
func (entry *Entry) authenticate(ctx *fasthttp.RequestCtx) (identity, *code.Fault) {
	secret, err := keySecret(ctx)
	if err != nil {
		return identity{}, err
	}
	// The snapshot may lag behind while it is rebuilt, so the key is looked up in
	// the newest configuration.
	document := entry.Follower().Document()
	key, ok := document.KeyBySecret(secret)
	if !ok {
		return identity{}, code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	customer, ok := document.Customer(key.Customer())
	if !ok {
		return identity{}, code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	return identity{customer: customer, keyID: key.ID()}, nil
}

const bearerPrefix = "bearer "

// keySecret returns the secret of the key in the request's headers. It rejects two
// different keys, since a target or a proxy might choose the other one.
func keySecret(ctx *fasthttp.RequestCtx) (string, *code.Fault) {
	secrets := map[string]bool{}
	for _, value := range ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization) {
		text := string(value)
		if len(text) <= len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
			return "", code.New(code.KeyMissing, code.RanNo, "the Authorization header does not hold a bearer key")
		}
		secrets[strings.TrimSpace(text[len(bearerPrefix):])] = true
	}
	for _, value := range ctx.Request.Header.PeekAll(headerAPIKey) {
		secrets[string(value)] = true
	}
	if len(secrets) > 1 {
		return "", code.New(code.HeaderConflict, code.RanNo, "the request shows several keys")
	}
	for secret := range secrets {
		if secret != "" {
			return secret, nil
		}
	}
	return "", code.New(code.KeyMissing, code.RanNo, "the request shows no key")
}

// headerReader parses one of the common request headers into the call.
type headerReader func(ctx *fasthttp.RequestCtx, call *call) *code.Fault

// newCall parses the common request headers: ID, deadline and priority.
func (entry *Entry) newCall(ctx *fasthttp.RequestCtx, current *snapshot) (*call, *code.Fault) {
	call := &call{snapshot: current, receivedAt: entry.Clock().Now()}
	for _, read := range []headerReader{readID, entry.readDeadline, readPriority} {
		if err := read(ctx, call); err != nil {
			return nil, err
		}
	}
	ctx.Response.Header.Set(headerRequestID, call.id)
	return call, nil
}

// singleHeader returns the value of a header, empty if absent. A repeated header is
// a conflict.
func singleHeader(ctx *fasthttp.RequestCtx, name string) (string, *code.Fault) {
	values := ctx.Request.Header.PeekAll(name)
	if len(values) > 1 {
		return "", code.New(code.HeaderConflict, code.RanNo, "the header %s comes %d times", name, len(values))
	}
	if len(values) == 0 {
		return "", nil
	}
	return string(values[0]), nil
}

const maxIDBytes = 128

func readID(ctx *fasthttp.RequestCtx, call *call) *code.Fault {
	id, err := singleHeader(ctx, headerRequestID)
	if err != nil {
		return err
	}
	idempotencyKey, err := singleHeader(ctx, headerIdempotencyKey)
	if err != nil {
		return err
	}
	if id != "" && idempotencyKey != "" && id != idempotencyKey {
		return code.New(code.HeaderConflict, code.RanNo, "%s and %s differ", headerRequestID, headerIdempotencyKey)
	}
	if id == "" {
		id = idempotencyKey
	}
	if id == "" {
		call.id = uuid.NewString()
		return nil
	}
	if !validID(id) {
		return code.New(code.InvalidID, code.RanNo, "a request ID has 1 to %d letters, digits and -._:", maxIDBytes)
	}
	attempt, err := singleHeader(ctx, headerAttempt)
	if err != nil {
		return err
	}
	call.id, call.callerChoseID, call.firstAttempt = id, true, attempt == "1"
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, char := range []byte(id) {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		case strings.IndexByte("-._:", char) >= 0:
		default:
			return false
		}
	}
	return true
}

func (entry *Entry) readDeadline(ctx *fasthttp.RequestCtx, call *call) *code.Fault {
	call.deadline = call.receivedAt.Add(entry.limits.deadline)
	text, err := singleHeader(ctx, headerDeadline)
	if err != nil || text == "" {
		return err
	}
	timeout, parseErr := time.ParseDuration(text)
	if parseErr != nil || timeout <= 0 {
		return code.New(code.Malformed, code.RanNo, "the header %s is not a duration such as 1500ms", headerDeadline)
	}
	call.deadline = call.receivedAt.Add(min(timeout, entry.limits.maxDeadline))
	return nil
}

const maxPriority = 9

func readPriority(ctx *fasthttp.RequestCtx, call *call) *code.Fault {
	text, err := singleHeader(ctx, headerPriority)
	if err != nil || text == "" {
		return err
	}
	priority, parseErr := strconv.Atoi(text)
	if parseErr != nil || priority < 0 || priority > maxPriority {
		return code.New(code.Malformed, code.RanNo, "the header %s is not a number from 0 to %d", headerPriority, maxPriority)
	}
	call.priority = priority
	return nil
}

// setIdentity records whom the call is authenticated as.
func (call *call) setIdentity(identity identity) {
	call.customer = identity.customer
	call.keyID = identity.keyID
}

// forwardedHeaders lists the request headers that are forwarded to a target.
var forwardedHeaders = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderContentLanguage, fasthttp.HeaderIfMatch, fasthttp.HeaderIfNoneMatch,
}

// newRequest returns the message to the agents with the fields that do not depend on
// the kind of the request. An attempt may replace Generation by a newer one.
func (entry *Entry) newRequest(ctx *fasthttp.RequestCtx, call *call) *wire.Request {
	request := &wire.Request{
		ID: call.id, Customer: call.customer.Name(), KeyID: call.keyID,
		Generation: call.snapshot.document.Generation(),
		Method:     string(ctx.Method()), Path: pathWithoutKeys(ctx),
		Priority: call.priority, Weight: call.customer.Weight(), Entry: entry.peerAddress,
	}
	for _, name := range forwardedHeaders {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			request.Headers = append(request.Headers, wire.Header{Name: name, Value: string(value)})
		}
	}
	return request
}

// keyQueryArgs lists the query parameters in which callers may send keys. They are
// removed, so that no key reaches a target.
var keyQueryArgs = map[string]bool{
	"key": true, "api_key": true, "api-key": true, "apikey": true, "access_token": true, "token": true, "x-api-key": true, "authorization": true,
}

// pathWithoutKeys returns the path and query without the parameters that may hold a
// key.
func pathWithoutKeys(ctx *fasthttp.RequestCtx) string {
	path := string(ctx.URI().PathOriginal())
	args := ctx.QueryArgs()
	forwarded := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(forwarded)
	for name, value := range args.All() {
		if !keyQueryArgs[strings.ToLower(string(name))] {
			forwarded.AddBytesKV(name, value)
		}
	}
	if forwarded.Len() == 0 {
		return path
	}
	return path + "?" + forwarded.String()
}
