package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/code"
)

// The headers that callers meet.
const (
	headerCode      = "Endiverill-Code"
	headerRan       = "Endiverill-Ran"
	headerRequestID = "Endiverill-Request-Id"
	headerAttempt   = "Endiverill-Attempt"
	headerDeadline  = "Endiverill-Deadline"
	headerPriority  = "Endiverill-Priority"
	headerReplay    = "Endiverill-Replay"
	headerTarget    = "Endiverill-Target"
	headerIdemKey   = "Idempotency-Key"
	headerAPIKey    = "X-Api-Key"
)

// handle answers one request of a caller.
func (entry *Entry) handle(ctx *fasthttp.RequestCtx) {
	entry.open.Add(1)
	defer entry.open.Add(-1)
	if entry.stopping.Load() {
		ctx.SetConnectionClose()
	}
	entry.Metrics().Add("requests", 1)
	if err := entry.dispatch(ctx); err != nil {
		entry.answerError(ctx, err)
	}
}

// dispatch leads a request to its handler by its path.
func (entry *Entry) dispatch(ctx *fasthttp.RequestCtx) *code.Fault {
	path := string(ctx.URI().PathOriginal())
	if err := checkPath(path); err != nil {
		return err
	}
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
		return nil
	case "/readyz":
		return entry.handleReady(ctx)
	}
	current := entry.snapshot.Load()
	if current == nil {
		return code.New(code.NoConfiguration, code.RanNo, "the instance has no configuration yet").WithRetryAfter(time.Second)
	}
	switch {
	case path == "/v1/models":
		return entry.handleModels(ctx, current)
	case path == "/v1/chat/completions", path == "/v1/completions":
		return entry.handleGenerate(ctx, current)
	case strings.HasPrefix(path, "/v1/requests/"):
		return entry.handleFate(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	default:
		return entry.handleRoute(ctx, current, path)
	}
}

// checkPath refuses paths that a target might read in another way than the
// entry does.
func checkPath(path string) *code.Fault {
	lower := strings.ToLower(path)
	for _, forbidden := range []string{"//", "/./", "/../", "%2e", "%2f", "%5c", "%00", "\\"} {
		if strings.Contains(lower, forbidden) {
			return code.New(code.Malformed, code.RanNo, "the path holds %q", forbidden)
		}
	}
	if !strings.HasPrefix(path, "/") || strings.HasSuffix(path, "/..") || strings.HasSuffix(path, "/.") {
		return code.New(code.Malformed, code.RanNo, "the path is not absolute or ends in a dot segment")
	}
	for _, letter := range []byte(path) {
		if letter <= ' ' || letter >= 0x7f {
			return code.New(code.Malformed, code.RanNo, "the path holds the byte 0x%02x", letter)
		}
	}
	return nil
}

func (entry *Entry) handleReady(ctx *fasthttp.RequestCtx) *code.Fault {
	if entry.stopping.Load() {
		return code.New(code.Stopping, code.RanNo, "the instance is stopping")
	}
	if entry.snapshot.Load() == nil {
		return code.New(code.NoConfiguration, code.RanNo, "the instance has no configuration yet")
	}
	ctx.SetBodyString("ready\n")
	return nil
}

type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Code       int     `json:"code"`
	Type       string  `json:"type"`
	Message    string  `json:"message"`
	Ran        string  `json:"ran"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

func errorBody(err *code.Fault, id string) []byte {
	data, failed := json.Marshal(wireError{Error: wireErrorBody{
		Code: int(err.Code()), Type: err.Code().String(), Message: err.Message(),
		Ran: err.Ran().String(), RequestID: id, RetryAfter: err.RetryAfter().Seconds(),
	}})
	if failed != nil {
		return []byte(`{"error":{"code":1901}}`)
	}
	return data
}

func (entry *Entry) answerError(ctx *fasthttp.RequestCtx, err *code.Fault) {
	entry.countError(err)
	id := string(ctx.Response.Header.Peek(headerRequestID))
	ctx.SetStatusCode(code.Lookup(err.Code()).Status())
	ctx.SetContentType("application/json")
	setResult(ctx, err.Code(), err.Ran())
	if err.RetryAfter() > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(err.RetryAfter().Seconds()))))
	}
	ctx.SetBody(errorBody(err, id))
}

func (entry *Entry) countError(err *code.Fault) {
	entry.Metrics().Add("code."+err.Code().String(), 1)
}

func setResult(ctx *fasthttp.RequestCtx, result code.Code, ran code.Ran) {
	ctx.Response.Header.Set(headerCode, strconv.Itoa(int(result)))
	ctx.Response.Header.Set(headerRan, ran.String())
}

// handleBroken answers requests that the HTTP library cannot read.
func (entry *Entry) handleBroken(ctx *fasthttp.RequestCtx, err error) {
	// An answer to no request could be taken for that to the caller's first one.
	if silent(ctx.Conn()) {
		_ = ctx.Conn().Close()
		return
	}
	entry.Metrics().Add("requests.broken", 1)
	result := code.New(code.Malformed, code.RanNo, "the request cannot be read")
	if strings.Contains(err.Error(), fasthttp.ErrBodyTooLarge.Error()) {
		result = code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", entry.server.MaxRequestBodySize)
	}
	ctx.Response.Reset()
	entry.answerError(ctx, result)
}

type wireModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"`
}

// handleModels lists the models and adapters that the key's customer may use.
func (entry *Entry) handleModels(ctx *fasthttp.RequestCtx, current *snapshot) *code.Fault {
	if !ctx.IsGet() {
		return code.New(code.MethodRefused, code.RanNo, "the path takes GET")
	}
	shown, err := entry.authenticate(ctx)
	if err != nil {
		return err
	}
	rows := []wireModel{}
	for _, model := range current.document.Models() {
		if shown.customer.MayUseModel(model.Name()) {
			rows = append(rows, wireModel{ID: model.Name(), Object: "model"})
		}
	}
	for _, adapter := range current.document.Adapters() {
		if shown.customer.MayUseModel(adapter.Name()) {
			rows = append(rows, wireModel{ID: adapter.Name(), Object: "model", Parent: adapter.Model()})
		}
	}
	data, failed := json.Marshal(map[string]any{"object": "list", "data": rows})
	if failed != nil {
		return code.New(code.Internal, code.RanNo, "the list cannot be encoded")
	}
	setResult(ctx, code.OK, code.RanYes)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	return nil
}
