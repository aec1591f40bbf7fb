package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

const (
	defaultMaxTokens    = 16
	bytesPerToken       = 4    // token counts of prompts are estimated from their size
	prefillUnitTokens   = 1000 // Profile.PrefillTime is the time for this many tokens
	maxRecordedRequests = 2000
)

const headerSoftwareVersion = "Software-Version" // of answers to completion requests

// completionRequest is the JSON body of a completion or chat completion request.
type completionRequest struct {
	Model     string            `json:"model"`
	Prompt    string            `json:"prompt"`
	Messages  []json.RawMessage `json:"messages"`
	MaxTokens int               `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

// promptText returns the prompt, or the concatenated JSON of the chat messages.
func (completionRequest *completionRequest) promptText() string {
	if len(completionRequest.Messages) == 0 {
		return completionRequest.Prompt
	}
	var text strings.Builder
	for _, message := range completionRequest.Messages {
		text.Write(message)
	}
	return text.String()
}

// Token returns the token at a position of the completion of a prompt.
func Token(model, prompt string, position int) string {
	seed := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(position))
	return fmt.Sprintf("%08x ", uint32(seed))
}

// versionedToken returns the token that an engine of a software version generates at a
// position. Without a version it is that of Token.
func versionedToken(version, model, prompt string, position int) string {
	if version == "" {
		return Token(model, prompt, position)
	}
	return version + ":" + Token(model, prompt, position)
}

// Completion returns the text of the completion of a prompt with the given number of
// tokens.
func Completion(model, prompt string, tokens int) string {
	return versionedCompletion("", model, prompt, tokens)
}

func versionedCompletion(version, model, prompt string, tokens int) string {
	var text strings.Builder
	for position := range tokens {
		text.WriteString(versionedToken(version, model, prompt, position))
	}
	return text.String()
}

// job is a completion request in progress.
type job struct {
	ctx        context.Context
	request    completionRequest
	prompt     string
	resumeFrom int // position of the first token to send
	chat       bool
	id         string
	cancel     context.CancelFunc
	model      *residentModel
	tokenTime  time.Duration
	cutAfter   int    // Faults.CutAfter when the request arrived
	version    string // Profile.SoftwareVersion when the request arrived
}

func (engine *Engine) handleGenerate(ctx *fasthttp.RequestCtx) {
	job, status, message := engine.newJob(ctx)
	if job == nil {
		ctx.Error(message, status)
		if rest := engine.restSeconds(); rest > 0 && status == fasthttp.StatusServiceUnavailable {
			ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(rest))
		}
		return
	}
	if job.version != "" {
		ctx.Response.Header.Set(headerSoftwareVersion, job.version)
	}
	if job.request.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.Response.ImmediateHeaderFlush = true
		ctx.SetBodyStreamWriter(func(writer *bufio.Writer) { engine.stream(job, writer) })
		return
	}
	engine.unary(job, ctx)
}

func (engine *Engine) restSeconds() int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.faults.RestSeconds
}

// newJob parses a completion request, records it and marks its model as in use. It
// returns nil with an HTTP status and an error message if the request is rejected.
func (engine *Engine) newJob(ctx *fasthttp.RequestCtx) (*job, int, string) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		return nil, fasthttp.StatusBadRequest, err.Error()
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	resumeFrom, _ := strconv.Atoi(string(ctx.Request.Header.Peek("Resume-From")))
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if len(engine.requests) < maxRecordedRequests {
		engine.requests = append(engine.requests, ctx.Request.String())
	}
	if engine.faults.Refuse {
		return nil, fasthttp.StatusServiceUnavailable, "the engine refuses completion requests"
	}
	model := engine.resident[request.Model]
	if model == nil || model.State != stateReady {
		return nil, fasthttp.StatusNotFound, "the model or adapter is not resident and ready"
	}
	model.activeRequests++
	engine.accepted++
	background, cancel := context.WithCancel(context.Background())
	job := &job{
		ctx: background, cancel: cancel, request: request, prompt: request.promptText(), resumeFrom: resumeFrom,
		chat: strings.Contains(string(ctx.Path()), "chat"), id: string(ctx.Request.Header.Peek("Request-Id")),
		model: model, tokenTime: engine.profile.TokenTime, cutAfter: engine.faults.CutAfter,
		version: engine.profile.SoftwareVersion,
	}
	engine.cancelFuncs[job.id] = cancel
	return job, 0, ""
}

// joinBatch waits for a slot in the batch and for the prefill of the prompt, and of
// the tokens before the position to resume from. It returns false if the request
// was cancelled before it got a slot.
func (engine *Engine) joinBatch(job *job) bool {
	engine.addLoad(0, 1)
	select {
	case engine.slots <- struct{}{}:
	case <-job.ctx.Done():
		engine.addLoad(0, -1)
		return false
	}
	engine.addLoad(1, -1)
	engine.mu.Lock()
	uncachedTokens := engine.cache.insert(job.request.Model, job.prompt)
	engine.mu.Unlock()
	sleepContext(job.ctx, engine.profile.PrefillTime*time.Duration(uncachedTokens+job.resumeFrom)/prefillUnitTokens)
	return true
}

// addLoad adds to the numbers of running and waiting requests.
func (engine *Engine) addLoad(running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.running += running
	engine.waiting += waiting
}

// finish releases the job's model and, if it joined the batch, its slot.
func (engine *Engine) finish(job *job, joined bool) {
	if joined {
		<-engine.slots
		engine.addLoad(-1, 0)
	}
	job.cancel()
	engine.mu.Lock()
	defer engine.mu.Unlock()
	delete(engine.cancelFuncs, job.id)
	job.model.activeRequests--
	engine.evictUnused(job.model)
}

// sleepContext waits for duration or until ctx ends.
func sleepContext(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// stream writes the tokens of a job as server-sent events.
func (engine *Engine) stream(job *job, writer *bufio.Writer) {
	joined := engine.joinBatch(job)
	defer engine.finish(job, joined)
	for position := job.resumeFrom; position < job.request.MaxTokens; position++ {
		sleepContext(job.ctx, job.tokenTime)
		if job.ctx.Err() != nil || job.cutBefore(position) {
			return
		}
		engine.waitUnfrozen()
		writeEvent(writer, job, position)
		if writer.Flush() != nil {
			return
		}
	}
	_, _ = writer.WriteString("data: [DONE]\n\n")
	_ = writer.Flush()
}

// cutBefore reports whether the fault CutAfter ends the stream before position.
func (job *job) cutBefore(position int) bool {
	return job.cutAfter > 0 && position-job.resumeFrom >= job.cutAfter
}

// waitUnfrozen blocks while the fault Frozen is set.
func (engine *Engine) waitUnfrozen() {
	engine.mu.Lock()
	frozen, unfrozen := engine.faults.Frozen, engine.unfrozen
	engine.mu.Unlock()
	if frozen {
		<-unfrozen
	}
}

func writeEvent(writer *bufio.Writer, job *job, position int) {
	token := versionedToken(job.version, job.request.Model, job.prompt, position)
	if job.chat {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"object\":\"chat.completion.chunk\",\"model\":%q,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			position, job.request.Model, token)
		return
	}
	_, _ = fmt.Fprintf(writer, "id: %d\ndata: {\"object\":\"text_completion\",\"model\":%q,\"choices\":[{\"index\":0,\"text\":%q}]}\n\n",
		position, job.request.Model, token)
}

// unary waits for all tokens of a job and writes them in one response.
func (engine *Engine) unary(job *job, ctx *fasthttp.RequestCtx) {
	joined := engine.joinBatch(job)
	defer engine.finish(job, joined)
	sleepContext(job.ctx, job.tokenTime*time.Duration(job.request.MaxTokens))
	if job.ctx.Err() != nil {
		ctx.Error("the request was cancelled before its completion was sent", fasthttp.StatusServiceUnavailable)
		return
	}
	engine.waitUnfrozen()
	if job.cutAfter > 0 {
		_ = ctx.Conn().Close()
		return
	}
	text := versionedCompletion(job.version, job.request.Model, job.prompt, job.request.MaxTokens)
	choice := map[string]any{"index": 0, "finish_reason": "length", "text": text}
	object := "text_completion"
	if job.chat {
		choice = map[string]any{"index": 0, "finish_reason": "length", "message": map[string]any{"role": "assistant", "content": text}}
		object = "chat.completion"
	}
	data, err := json.Marshal(map[string]any{
		"id": job.id, "object": object, "model": job.request.Model, "choices": []any{choice},
		"usage": map[string]any{"prompt_tokens": len(job.prompt) / bytesPerToken, "completion_tokens": job.request.MaxTokens},
	})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}
