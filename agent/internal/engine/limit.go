package engine

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"endiverill.example/kernel/directory"
	"endiverill.example/kernel/permit"
)

// headerPolicy is the header of draft-ietf-httpapi-ratelimit-headers in which a target names
// how many requests it takes within a number of seconds, as in "default";q=12;w=10.
const headerPolicy = "RateLimit-Policy"

// limiter keeps the requests of the agent, which alone sends any, within the limit that its
// target names. It is safe for concurrent use.
type limiter struct {
	mu      sync.Mutex
	limit   permit.Limit
	permits *permit.Issuer
}

// record records what a response to a request sent at the given time says of the limit.
func (limiter *limiter) record(httpResponse *fasthttp.Response, sentAt, now time.Time) {
	perSecond, limited := parsePolicy(string(httpResponse.Header.Peek(headerPolicy)))
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	if limited {
		limiter.limit.Name(perSecond, now)
	} else if httpResponse.StatusCode() < fasthttp.StatusMultipleChoices {
		limiter.limit.Clear(sentAt)
	}
}

// take takes a permit, see permit.Issuer.
func (limiter *limiter) take(maxWait time.Duration, now time.Time) (granted bool, wait time.Duration) {
	limiter.mu.Lock()
	defer limiter.mu.Unlock()
	perSecond, limited := limiter.limit.InForce()
	if !limited {
		return true, 0
	}
	return limiter.permits.Take(directory.TargetKey{}, perSecond, maxWait, now)
}

// parsePolicy returns the requests a second of the first policy in a header; false if there
// is none that can be read.
func parsePolicy(text string) (perSecond float64, ok bool) {
	policy, _, _ := strings.Cut(text, ",")
	values := map[string]float64{}
	for _, parameter := range strings.Split(policy, ";") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if number, err := strconv.Atoi(value); err == nil {
			values[name] = float64(number)
		}
	}
	quota, known := values["q"]
	window := values["w"]
	if !known || quota < 0 || window <= 0 || quota/window > permit.MaxPerSecond {
		return 0, false
	}
	return quota / window, true
}
