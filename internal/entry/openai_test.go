package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/pkg/errors"

	"quaybarrow/internal/config"
	"quaybarrow/internal/declare"
	"quaybarrow/internal/standin/cluster"
	"quaybarrow/internal/standin/engine"
	"quaybarrow/internal/standin/suite"
)

const key = "key-of-buyers"

var support = declare.Ref{Model: "support", Version: "1"}

func newCluster(ctx context.Context) *cluster.Cluster {
	c, err := cluster.New(ctx, cluster.Options{
		Memory: true, Hosts: 1, Engines: 1, Services: []string{"payouts"},
		Engine:   engine.Options{Token: 20 * time.Millisecond, Answer: 50},
		Profiles: map[declare.Ref]engine.Profile{support: {Quality: 1}},
		Declarations: cluster.Declared(declare.Declarations{
			Models:   []declare.Model{{Name: "support", Versions: []declare.Version{{Name: "1", State: declare.StateServing}}}},
			Services: []declare.Service{{Name: "payouts", Calls: []declare.Call{{Name: "pay", RequireKey: true}}}},
			Workspaces: []declare.Workspace{{
				Name: "buyers", Keys: []declare.Key{{Name: "a", Hash: config.HashKey(key)}}, Allow: []string{"support"},
				Concurrency: 4, Services: []string{"payouts"},
			}},
		}),
	})
	Expect(err).NotTo(HaveOccurred())
	return c
}

// client returns an unmodified OpenAI client.
func client(c *cluster.Cluster, secret string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+c.Hosts[0].Callers()+"/v1"), option.WithAPIKey(secret),
		option.WithHTTPClient(c.Client()), option.WithMaxRetries(0),
	)
}

func helloRequest() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "support", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
}

// withCluster runs body with a cluster in virtual time.
func withCluster(body func(ctx context.Context, c *cluster.Cluster)) {
	suite.Paused(func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c := newCluster(ctx)
		body(ctx, c)
		c.Close()
		time.Sleep(time.Minute) // abandoned streams still have timers
	})
}

var _ = Describe("an unmodified OpenAI client", func() {
	It("gets a completion", func() {
		withCluster(func(ctx context.Context, c *cluster.Cluster) {
			api := client(c, key)
			answer, err := api.Chat.Completions.New(ctx, helloRequest())
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Choices[0].Message.Content).To(HavePrefix("re: hello t1"))
			Expect(answer.Usage.CompletionTokens).To(Equal(int64(50)))
		})
	})

	It("gets a stream, with usage when it asks for it", func() {
		withCluster(func(ctx context.Context, c *cluster.Cluster) {
			api := client(c, key)
			params := helloRequest()
			params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
			stream := api.Chat.Completions.NewStreaming(ctx, params)
			accumulated := openai.ChatCompletionAccumulator{}
			for stream.Next() {
				accumulated.AddChunk(stream.Current())
			}
			Expect(stream.Err()).NotTo(HaveOccurred())
			Expect(accumulated.Choices[0].Message.Content).To(HaveSuffix("t49"))
			Expect(accumulated.Usage.CompletionTokens).To(Equal(int64(50)))
		})
	})

	It("stops the engine when it disconnects", func() {
		withCluster(func(ctx context.Context, c *cluster.Cluster) {
			api := client(c, key)
			streamContext, cancelStream := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancelStream()
			stream := api.Chat.Completions.NewStreaming(streamContext, helloRequest())
			for stream.Next() {
			}
			Expect(stream.Err()).To(HaveOccurred())
			time.Sleep(2 * time.Second)
			runs := c.Engines[0].Runs()
			Expect(runs).To(HaveLen(1))
			Expect(runs[0].Cancelled).To(BeTrue())
			Expect(runs[0].Tokens).To(BeNumerically("<", 20))
		})
	})

	It("lists models", func() {
		withCluster(func(ctx context.Context, c *cluster.Cluster) {
			api := client(c, key)
			models, err := api.Models.List(ctx)
			Expect(err).NotTo(HaveOccurred())
			var names []string
			for _, m := range models.Data {
				names = append(names, m.ID)
			}
			Expect(names).To(ConsistOf("support", "support@1"))
			one, err := api.Models.Get(ctx, "support")
			Expect(err).NotTo(HaveOccurred())
			Expect(one.ID).To(Equal("support"))
		})
	})

	It("can parse the errors", func() {
		withCluster(func(ctx context.Context, c *cluster.Cluster) {
			unauthorized := client(c, "no-key")
			_, err := unauthorized.Chat.Completions.New(ctx, helloRequest())
			var failed *openai.Error
			Expect(err).To(BeAssignableToTypeOf(failed))
			failed = func() *openai.Error {
				target := &openai.Error{}
				_ = errors.As(err, &target)
				return target
			}()
			Expect(failed.StatusCode).To(Equal(http.StatusUnauthorized))
			Expect(failed.Code).To(Equal("unauthorized"))
			Expect(failed.RawJSON()).To(ContainSubstring(`"run":"not_run"`))
		})
	})
})

// invalidRequests are invalid requests with the status of the answer and a text that it contains.
var invalidRequests = map[string]struct {
	method, path, body string
	header             [2]string
	status             int
	want               string
}{
	"no JSON":                             {"POST", "/v1/chat/completions", "{", [2]string{}, 400, "not a completion request"},
	"no model":                            {"POST", "/v1/chat/completions", `{"messages":[{"role":"user","content":"a"}]}`, [2]string{}, 400, "field model"},
	"no messages":                         {"POST", "/v1/chat/completions", `{"model":"support"}`, [2]string{}, 400, "field messages"},
	"an unknown model":                    {"POST", "/v1/chat/completions", `{"model":"x","messages":[{"role":"user","content":"a"}]}`, [2]string{}, 404, "model_not_found"},
	"a bad timeout":                       {"POST", "/v1/chat/completions", "{}", [2]string{"X-Timeout-Ms", "soon"}, 400, "X-Timeout-Ms"},
	"a bad priority":                      {"POST", "/v1/chat/completions", "{}", [2]string{"X-Priority", "now"}, 400, "X-Priority"},
	"a forged session":                    {"POST", "/v1/chat/completions", `{"model":"support","messages":[{"role":"user","content":"a"}]}`, [2]string{"X-Session-Token", "a~b~c"}, 403, "session_invalid"},
	"a service not declared":              {"POST", "/v1/services/ledger/pay", "", [2]string{}, 404, "ledger"},
	"a call not declared":                 {"POST", "/v1/services/payouts/steal", "", [2]string{}, 404, "steal"},
	"a payout without an idempotency key": {"POST", "/v1/services/payouts/pay", "", [2]string{}, 400, "idempotency_key_required"},
	"a job without a request":             {"POST", "/v1/jobs", "{}", [2]string{}, 400, "field request"},
	"a job with a service but no call":    {"POST", "/v1/jobs", `{"request":{},"service":"payouts"}`, [2]string{}, 400, "go together"},
	"a job that does not exist":           {"GET", "/v1/jobs/j-1", "", [2]string{}, 404, "no such job"},
	"an unknown path":                     {"GET", "/v2/anything", "", [2]string{}, 404, "no such path"},
	"a method that is not allowed":        {"DELETE", "/v1/models", "", [2]string{}, 405, "DELETE"},
	"a body that is too long":             {"POST", "/v1/chat/completions", strings.Repeat("x", 9<<20), [2]string{}, 413, "longer than"},
}

var _ = Describe("an invalid request", func() {
	for name, b := range invalidRequests {
		It("is rejected with a reason: "+name, func() {
			withCluster(func(ctx context.Context, c *cluster.Cluster) {
				request, err := http.NewRequestWithContext(ctx, b.method, "http://"+c.Hosts[0].Callers()+b.path, bytes.NewReader([]byte(b.body)))
				Expect(err).NotTo(HaveOccurred())
				request.Header.Set("Authorization", "Bearer "+key)
				if b.header[0] != "" {
					request.Header.Set(b.header[0], b.header[1])
				}
				response, err := c.Client().Do(request)
				Expect(err).NotTo(HaveOccurred())
				body, err := io.ReadAll(response.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Body.Close()).To(Succeed())
				Expect(response.StatusCode).To(Equal(b.status), string(body))
				Expect(string(body)).To(And(ContainSubstring(b.want), ContainSubstring(`"run"`)))
				Expect(c.Engines[0].Runs()).To(BeEmpty())
				Expect(c.Services["payouts"].Runs()).To(BeEmpty())
			})
		})
	}
})
