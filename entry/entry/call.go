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

// call is one request of a caller as every handler needs it.
type call struct {
	current  *snapshot
	customer config.Customer // zero on open routes
	keyID    string
	id       string
	chosen   bool // the caller chose the ID
	first    bool // the caller declared its first attempt
	priority int
	begun    time.Time
	deadline time.Time
}

// shownKey is the key that came with a request.
type shownKey struct {
	customer config.Customer
	keyID    string
}

// authenticate finds the customer of the key that came with the request.
func (entry *Entry) authenticate(ctx *fasthttp.RequestCtx) (shownKey, *code.Fault) {
	secret, err := secretOf(ctx)
	if err != nil {
		return shownKey{}, err
	}
	// The newest document counts, also where the snapshot is being rebuilt.
	document := entry.Follower().Document()
	key, ok := document.KeyBySecret(secret)
	if !ok {
		return shownKey{}, code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	customer, ok := document.Customer(key.Customer())
	if !ok {
		return shownKey{}, code.New(code.KeyUnknown, code.RanNo, "the key is not granted")
	}
	return shownKey{customer: customer, keyID: key.ID()}, nil
}

const bearer = "bearer "

// secretOf returns the key in the request's headers. It refuses two keys that
// differ, since a target or a proxy might choose the other.
func secretOf(ctx *fasthttp.RequestCtx) (string, *code.Fault) {
	secrets := map[string]bool{}
	for _, value := range ctx.Request.Header.PeekAll(fasthttp.HeaderAuthorization) {
		text := string(value)
		if len(text) <= len(bearer) || !strings.EqualFold(text[:len(bearer)], bearer) {
			return "", code.New(code.KeyMissing, code.RanNo, "the Authorization header does not hold a bearer key")
		}
		secrets[strings.TrimSpace(text[len(bearer):])] = true
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

// headerReader reads one of the headers that every request may carry.
type headerReader func(ctx *fasthttp.RequestCtx, call *call) *code.Fault

// newCall reads the headers that every request may carry.
func (entry *Entry) newCall(ctx *fasthttp.RequestCtx, current *snapshot) (*call, *code.Fault) {
	call := &call{current: current, begun: entry.Clock().Now()}
	for _, read := range []headerReader{readID, entry.readDeadline, readPriority} {
		if err := read(ctx, call); err != nil {
			return nil, err
		}
	}
	ctx.Response.Header.Set(headerRequestID, call.id)
	return call, nil
}

// single returns a header that may come at most once.
func single(ctx *fasthttp.RequestCtx, name string) (string, *code.Fault) {
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
	id, err := single(ctx, headerRequestID)
	if err != nil {
		return err
	}
	other, err := single(ctx, headerIdemKey)
	if err != nil {
		return err
	}
	if id != "" && other != "" && id != other {
		return code.New(code.HeaderConflict, code.RanNo, "%s and %s differ", headerRequestID, headerIdemKey)
	}
	if id == "" {
		id = other
	}
	if id == "" {
		call.id = uuid.NewString()
		return nil
	}
	if !validID(id) {
		return code.New(code.InvalidID, code.RanNo, "a request ID has 1 to %d letters, digits and -._:", maxIDBytes)
	}
	attempt, err := single(ctx, headerAttempt)
	if err != nil {
		return err
	}
	call.id, call.chosen, call.first = id, true, attempt == "1"
	return nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, letter := range []byte(id) {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		case strings.IndexByte("-._:", letter) >= 0:
		default:
			return false
		}
	}
	return true
}

func (entry *Entry) readDeadline(ctx *fasthttp.RequestCtx, call *call) *code.Fault {
	call.deadline = call.begun.Add(entry.limits.deadline)
	text, err := single(ctx, headerDeadline)
	if err != nil || text == "" {
		return err
	}
	limit, failed := time.ParseDuration(text)
	if failed != nil || limit <= 0 {
		return code.New(code.Malformed, code.RanNo, "the header %s is not a duration such as 1500ms", headerDeadline)
	}
	call.deadline = call.begun.Add(min(limit, entry.limits.maxDeadline))
	return nil
}

const maxPriority = 9

func readPriority(ctx *fasthttp.RequestCtx, call *call) *code.Fault {
	text, err := single(ctx, headerPriority)
	if err != nil || text == "" {
		return err
	}
	priority, failed := strconv.Atoi(text)
	if failed != nil || priority < 0 || priority > maxPriority {
		return code.New(code.Malformed, code.RanNo, "the header %s is not a number from 0 to %d", headerPriority, maxPriority)
	}
	call.priority = priority
	return nil
}

// show gives the call the key's customer.
func (call *call) show(shown shownKey) {
	call.customer = shown.customer
	call.keyID = shown.keyID
}

// passedOn are the headers that go on to a target.
var passedOn = []string{
	fasthttp.HeaderContentType, fasthttp.HeaderAccept, fasthttp.HeaderAcceptLanguage,
	fasthttp.HeaderContentLanguage, fasthttp.HeaderIfMatch, fasthttp.HeaderIfNoneMatch,
}

// request returns the message that every dispatch of the call starts from.
func (entry *Entry) request(ctx *fasthttp.RequestCtx, call *call) *wire.Request {
	request := &wire.Request{
		ID: call.id, Customer: call.customer.Name(), KeyID: call.keyID,
		Generation: call.current.document.Generation(),
		Method:     string(ctx.Method()), Path: pathWithoutKeys(ctx),
		Priority: call.priority, Weight: call.customer.Weight(), Entry: entry.peerAddress,
	}
	for _, name := range passedOn {
		if value := ctx.Request.Header.Peek(name); len(value) > 0 {
			request.Headers = append(request.Headers, wire.Header{Name: name, Value: string(value)})
		}
	}
	return request
}

// keyArgs are the query parameters in which callers may put keys.
var keyArgs = map[string]bool{
	"key": true, "api_key": true, "api-key": true, "apikey": true, "access_token": true, "token": true, "x-api-key": true, "authorization": true,
}

// pathWithoutKeys returns the path with its query less what may hold a key.
func pathWithoutKeys(ctx *fasthttp.RequestCtx) string {
	path := string(ctx.URI().PathOriginal())
	args := ctx.QueryArgs()
	kept := fasthttp.AcquireArgs()
	defer fasthttp.ReleaseArgs(kept)
	for name, value := range args.All() {
		if !keyArgs[strings.ToLower(string(name))] {
			kept.AddBytesKV(name, value)
		}
	}
	if kept.Len() == 0 {
		return path
	}
	return path + "?" + kept.String()
}
