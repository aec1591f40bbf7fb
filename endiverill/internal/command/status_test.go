package command

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"endiverill.example/kernel/proptest"
)

func TestAnswerWithoutStatusOfHTTPIsShownAsData(t *testing.T) {
	server := proptest.StartRawServer(t)
	for _, status := range []string{"000", "020", "101", "600"} {
		server.SetAnswers("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\n{}")
		assert.Check(t, query(context.Background(), server.Address(), "/status", &struct{}{}) != nil, "%s", status)
	}
}
