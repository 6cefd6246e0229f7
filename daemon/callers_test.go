package daemon_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/aspenswitch/aspenswitch/standin"
)

var fastEngine = standin.EngineConfig{Slots: 4, TimeToFirstToken: time.Millisecond, TimePerToken: time.Millisecond, CachedPrefixes: 8}

var _ = Describe("the callers' API", func() {
	It("serves the published client library of the API", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(1)
		client := openai.NewClient(option.WithBaseURL(f.routers[0].url+"/v1"), option.WithAPIKey("schools-key"))
		ctx := context.Background()
		models, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
		Expect(models.Data[0].ID).To(Equal("planner"))

		params := openai.ChatCompletionNewParams{
			Model:     "planner",
			MaxTokens: openai.Int(5),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a week's round")},
		}
		completion, err := client.Chat.Completions.New(ctx, params)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Fields(completion.Choices[0].Message.Content)).To(HaveLen(5))

		stream := client.Chat.Completions.NewStreaming(ctx, params)
		var text strings.Builder
		for stream.Next() {
			text.WriteString(stream.Current().Choices[0].Delta.Content)
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(completion.Choices[0].Message.Content))
	})

	It("reports errors in the API's format, with the outcome", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(1)
		m := f.routers[0]
		for _, c := range []struct {
			status            int
			path, key, body   string
			code, mustContain string
		}{
			{401, "/v1/completions", "nobody", `{}`, "invalid_api_key", ""},
			{400, "/v1/completions", "schools-key", `{"model": 7`, "invalid_json", ""},
			{404, "/v1/completions", "schools-key", `{"model": "poet"}`, "model_not_found", "planner"},
			{413, "/v1/completions", "schools-key", strings.Repeat("x", 5000), "body_too_large", ""},
			{404, "/services/none/x", "vans-key", ``, "service_not_found", ""},
			{400, "/services/booking/bookings", "vans-key", ``, "missing_idempotency_key", ""},
		} {
			got := m.call(http.MethodPost, c.path, c.key, c.body, nil)
			Expect(got.status).To(Equal(c.status), got.body)
			Expect(got.outcome).To(Equal("not-run"))
			var body struct {
				Error   struct{ Message, Type, Code string }
				Outcome string
			}
			Expect(json.Unmarshal([]byte(got.body), &body)).To(Succeed())
			Expect(body.Error.Code).To(Equal(c.code))
			Expect(body.Error.Message).To(ContainSubstring(c.mustContain))
			Expect(body.Outcome).To(Equal("not-run"))
		}
	})

	It("passes a plain service's exchange on as it is, without the team's key", func() {
		f := newFleet()
		f.addService(0)
		f.startRouters(1)
		got := f.routers[0].call(http.MethodPut, "/services/booking/a%2Fb?x=1&y=2", "vans-key", "body", map[string]string{
			"Idempotency-Key": "00000000-0000-7000-8000-000000000000", "Connection": "X-Hop", "X-Hop": "1", "X-Request-Id": "mine",
		})
		// A PUT without a repeatable route needs a key whose age the router can determine.
		Expect(got.outcome).To(Equal("unknown"))
		got = f.routers[0].call(http.MethodPost, "/services/booking/a%2Fb?x=1&y=2", "vans-key", "body", map[string]string{"X-Request-Id": "mine"})
		Expect(got.status).To(Equal(http.StatusCreated))
		Expect(got.header.Get("X-Request-Id")).To(Equal("mine"))
		var b standin.ServiceResponse
		Expect(json.Unmarshal([]byte(got.body), &b)).To(Succeed())
		Expect(b).To(Equal(standin.ServiceResponse{Run: 1, Method: "POST", Path: "/a/b", Query: "x=1&y=2", Body: "body"}))
	})

	It("keeps a caller's deadline", func() {
		f := newFleet()
		f.addEngine(standin.EngineConfig{Slots: 1, TimeToFirstToken: time.Minute}, true)
		f.startRouters(1)
		go f.routers[0].requestCompletion("long", 1, true)
		Eventually(func() int { return f.routers[0].dump().Scheduler.Running }, eventuallyTimeout).Should(Equal(1))
		got := f.routers[0].call(http.MethodPost, "/v1/completions", "schools-key", `{"model":"planner","prompt":"x"}`, map[string]string{"Aspenswitch-Timeout": "200ms"})
		Expect(got.outcome).To(Equal("not-run"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("shows operators the state without secrets", func() {
		f := newFleet()
		f.addEngine(fastEngine, true)
		f.startRouters(2)
		raw := string(f.routers[0].adminGet("/dump"))
		Expect(raw).To(ContainSubstring(`"bundleInForce"`))
		for _, secret := range []string{"schools-key", "token", "sha256:"} {
			Expect(raw).NotTo(ContainSubstring(secret))
		}
		resp, err := http.Get("http://" + f.routers[0].daemon.Addresses().Admin + "/dump")
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(string(f.routers[0].adminGet("/metrics"))).NotTo(BeNil())
	})
})
