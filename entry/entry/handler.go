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

// Headers of requests and responses.
const (
	headerCode           = "Endiverill-Code"
	headerRan            = "Endiverill-Ran"
	headerRequestID      = "Endiverill-Request-Id"
	headerAttempt        = "Endiverill-Attempt"
	headerDeadline       = "Endiverill-Deadline"
	headerPriority       = "Endiverill-Priority"
	headerReplay         = "Endiverill-Replay"
	headerTarget         = "Endiverill-Target"
	headerIdempotencyKey = "Idempotency-Key"
	headerAPIKey         = "X-Api-Key"
)

// handle serves one HTTP request of a caller.
func (entry *Entry) handle(ctx *fasthttp.RequestCtx) {
	entry.openRequests.Add(1)
	defer entry.openRequests.Add(-1)
	entry.Metrics().Add("requests", 1)
	if err := entry.handleByPath(ctx); err != nil {
		entry.writeError(ctx, err)
	}
	if entry.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

// handleByPath calls the handler of the request path.
func (entry *Entry) handleByPath(ctx *fasthttp.RequestCtx) *code.Fault {
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
		return entry.handleCompletion(ctx, current)
	case strings.HasPrefix(path, "/v1/requests/"):
		return entry.handleRequestStatus(ctx, strings.TrimPrefix(path, "/v1/requests/"))
	default:
		return entry.handleRoute(ctx, current, path)
	}
}

// checkPath rejects paths that a target might interpret differently from the entry,
// such as those with dot segments, encoded slashes or control characters.
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
	for _, char := range []byte(path) {
		if char <= ' ' || char >= 0x7f {
			return code.New(code.Malformed, code.RanNo, "the path holds the byte 0x%02x", char)
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

type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code       int     `json:"code"`
	Type       string  `json:"type"`
	Message    string  `json:"message"`
	Ran        string  `json:"ran"`
	RequestID  string  `json:"request_id,omitempty"`
	RetryAfter float64 `json:"retry_after_seconds,omitempty"`
}

// encodeError returns the JSON body of an error response.
func encodeError(err *code.Fault, id string) []byte {
	data, encodeErr := json.Marshal(errorResponse{Error: errorDetail{
		Code: int(err.Code()), Type: err.Code().String(), Message: err.Message(),
		Ran: err.Ran().String(), RequestID: id, RetryAfter: err.RetryAfter().Seconds(),
	}})
	if encodeErr != nil {
		return []byte(`{"error":{"code":1901}}`)
	}
	return data
}

func (entry *Entry) writeError(ctx *fasthttp.RequestCtx, err *code.Fault) {
	entry.countFault(err)
	id := string(ctx.Response.Header.Peek(headerRequestID))
	ctx.SetStatusCode(code.Lookup(err.Code()).Status())
	ctx.SetContentType("application/json")
	setResultHeaders(ctx, err.Code(), err.Ran())
	if err.RetryAfter() > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(err.RetryAfter().Seconds()))))
	}
	ctx.SetBody(encodeError(err, id))
}

func (entry *Entry) countFault(err *code.Fault) {
	entry.Metrics().Add("code."+err.Code().String(), 1)
}

func setResultHeaders(ctx *fasthttp.RequestCtx, result code.Code, ran code.Ran) {
	ctx.Response.Header.Set(headerCode, strconv.Itoa(int(result)))
	ctx.Response.Header.Set(headerRan, ran.String())
}

// handleUnreadable answers a request that the HTTP library failed to read.
func (entry *Entry) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	entry.Metrics().Add("requests.broken", 1)
	fault := code.New(code.Malformed, code.RanNo, "the request cannot be read")
	if strings.Contains(err.Error(), fasthttp.ErrBodyTooLarge.Error()) {
		fault = code.New(code.BodyTooLarge, code.RanNo, "the body is over %d bytes", entry.server.MaxRequestBodySize)
	}
	ctx.Response.Reset()
	entry.writeError(ctx, fault)
}

type listedModel struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"`
}

// handleModels lists the models and adapters that the key's customer may use.
func (entry *Entry) handleModels(ctx *fasthttp.RequestCtx, current *snapshot) *code.Fault {
	if !ctx.IsGet() {
		return code.New(code.MethodRefused, code.RanNo, "the path takes GET")
	}
	caller, err := entry.authenticate(ctx)
	if err != nil {
		return err
	}
	models := []listedModel{}
	for _, model := range current.document.Models() {
		if caller.customer.MayUseModel(model.Name()) {
			models = append(models, listedModel{ID: model.Name(), Object: "model"})
		}
	}
	for _, adapter := range current.document.Adapters() {
		if caller.customer.MayUseModel(adapter.Name()) {
			models = append(models, listedModel{ID: adapter.Name(), Object: "model", Parent: adapter.Model()})
		}
	}
	data, encodeErr := json.Marshal(map[string]any{"object": "list", "data": models})
	if encodeErr != nil {
		return code.New(code.Internal, code.RanNo, "the list cannot be encoded")
	}
	setResultHeaders(ctx, code.OK, code.RanYes)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
	return nil
}
