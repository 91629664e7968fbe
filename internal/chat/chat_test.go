package chat_test

import (
	"encoding/json"
	"testing"

	"quaybarrow/internal/chat"
)

func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a"}]}`, `{"model":1}`, `[]`, `{"stream_options":{"include_usage":true}}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"stream":true,"max_tokens":-1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		request, err := chat.ParseRequest(data)
		if err != nil {
			return
		}
		_ = request.WantsUsage()
		body, err := request.WithModel("m@1")
		if err != nil || !json.Valid(body) {
			t.Errorf("WithModel returns an error or invalid JSON: %q, %v", body, err)
		}
	})
}
