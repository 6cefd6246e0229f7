package lab

import (
	"embed"
	"os"
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Sheet describes a deployment: its request classes, teams and engines. Only the simulation
// uses it; routers don't.
type Sheet struct {
	// Engines and Routers are the numbers of each.
	Engines int `json:"engines"`
	Routers int `json:"routers"`
	// TokensPerSecond is the published capacity of all engines together.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// The size of a team is proportional to its rank to the power of -Skew.
	Teams   int         `json:"teams"`
	Skew    float64     `json:"skew"`
	Engine  EngineModel `json:"engine"`
	Classes []Class     `json:"classes"`
}

// EngineModel holds the performance parameters of an engine.
type EngineModel struct {
	// Slots is the maximum number of requests in the batch.
	Slots int `json:"slots"`
	// KVTokens is the KV memory in tokens, shared by running requests and cached parts.
	KVTokens int `json:"kvTokens"`
	// A step takes StepMs, plus StepMsPerSlot for each running request and ContextMsPerK for
	// each thousand tokens of its context.
	StepMs        float64 `json:"stepMs"`
	StepMsPerSlot float64 `json:"stepMsPerSlot"`
	ContextMsPerK float64 `json:"contextMsPerK"`
	// Prompts are prefilled in chunks of at most ChunkTokens, at TokensPerMs tokens per
	// millisecond plus PairsMsPerM milliseconds per million token pairs.
	TokensPerMs float64 `json:"tokensPerMs"`
	PairsMsPerM float64 `json:"pairsMsPerM"`
	ChunkTokens int     `json:"chunkTokens"`
	// Tokens arrive FirstTokenDelayMs after they are generated; the engine serves others
	// meanwhile. PromptWorkMs is the fixed part of a prompt's prefill time.
	FirstTokenDelayMs float64 `json:"firstTokenDelayMs"`
	PromptWorkMs      float64 `json:"promptWorkMs"`
	// CopyNsPerToken is the time to copy a cached token from another engine, in nanoseconds.
	CopyNsPerToken int64 `json:"copyNsPerToken"`
	// Stride is the number of tokens per stream event. An answer is late if the pause between
	// two events exceeds PauseMs.
	Stride  int     `json:"stride"`
	PauseMs float64 `json:"pauseMs"`
	// Speeds are factors on the step time, assigned to the engines in turn.
	Speeds []float64 `json:"speeds"`
}

// Class is a class of requests.
type Class struct {
	Name string `json:"name"`
	// PerSecond is the base arrival rate.
	PerSecond float64 `json:"perSecond"`
	// GroupTokens and SessionTokens are the mean sizes of the two shared prompt parts, OwnTokens
	// that of the request's own part. Groups and Sessions are the numbers of distinct shared parts.
	GroupTokens   float64 `json:"groupTokens"`
	SessionTokens float64 `json:"sessionTokens"`
	OwnTokens     float64 `json:"ownTokens"`
	Groups        int     `json:"groups"`
	Sessions      int     `json:"sessions"`
	// OutputTokens is the mean number of generated tokens, MaxOutput the maximum.
	OutputTokens float64 `json:"outputTokens"`
	MaxOutput    int     `json:"maxOutput"`
	// TargetMs is the target for the first event, DeadlineMs the deadline of the whole answer.
	TargetMs   float64 `json:"targetMs"`
	DeadlineMs float64 `json:"deadlineMs"`
	// Worth is earned by an answer on time, LateWorth by a late one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (c *Class) target() time.Duration   { return milliseconds(c.TargetMs) }
func (c *Class) deadline() time.Duration { return milliseconds(c.DeadlineMs) }

// Fleet returns the fleet of the deployment.
func (s *Sheet) Fleet() Fleet { return Fleet{Engines: s.Engines, Routers: s.Routers} }

func (e *EngineModel) copyPerToken() time.Duration { return time.Duration(e.CopyNsPerToken) }

//go:embed sheets/*.json
var builtinSheets embed.FS

// BuiltinSheet returns an embedded sheet: midlands, vilaine-grown, cooling, cooling-grown, ledger
// or helpline. It panics if there is no such sheet or the sheet is invalid; the tests read all of
// them.
func BuiltinSheet(name string) *Sheet {
	file := "sheets/" + name + ".json"
	raw, err := builtinSheets.ReadFile(file)
	if err != nil {
		panic(err)
	}
	s, err := parseSheet(file, raw)
	if err != nil {
		panic(err)
	}
	return s
}

// ReadSheet reads a sheet from a JSON file with comments. The error holds all findings.
func ReadSheet(file string) (*Sheet, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return parseSheet(file, raw)
}

func parseSheet(file string, raw []byte) (*Sheet, error) {
	var s Sheet
	d := jsonc.Decode(file, raw, &s)
	s.check(d)
	if err := d.Findings().Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// check adds findings for values that can't be simulated.
func (s *Sheet) check(d *jsonc.Document) {
	positive := func(path string, x float64) {
		if x <= 0 {
			d.Add(path, "must be above 0")
		}
	}
	positive("/engines", float64(s.Engines))
	positive("/routers", float64(s.Routers))
	positive("/teams", float64(s.Teams))
	positive("/tokensPerSecond", s.TokensPerSecond)
	positive("/engine/slots", float64(s.Engine.Slots))
	positive("/engine/kvTokens", float64(s.Engine.KVTokens))
	positive("/engine/stepMs", s.Engine.StepMs)
	positive("/engine/tokensPerMs", s.Engine.TokensPerMs)
	positive("/engine/chunkTokens", float64(s.Engine.ChunkTokens))
	positive("/engine/stride", float64(s.Engine.Stride))
	if len(s.Engine.Speeds) == 0 {
		d.Add("/engine/speeds", "must contain at least one speed")
	}
	if len(s.Classes) == 0 {
		d.Add("/classes", "must contain at least one request class")
	}
	for i := range s.Classes {
		s.Classes[i].check(d, "/classes/"+strconv.Itoa(i))
	}
}

func (c *Class) check(d *jsonc.Document, path string) {
	if c.Groups <= 0 || c.Sessions <= 0 {
		d.Add(path, "groups and sessions must be above 0")
	}
	if c.PerSecond <= 0 || c.TargetMs <= 0 || c.DeadlineMs <= 0 || c.Worth <= 0 || c.OutputTokens <= 0 {
		d.Add(path, "perSecond, targetMs, deadlineMs, worth and outputTokens must be above 0")
	}
}

// PerHome returns the deployment as seen by one of homeCount homes, with its share of the
// engines, capacity, requests and sessions.
func (s *Sheet) PerHome(homeCount int) *Sheet {
	perHome := *s
	perHome.Engines = s.Engines / homeCount
	perHome.TokensPerSecond /= float64(homeCount)
	perHome.Classes = make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.PerSecond /= float64(homeCount)
		c.Sessions /= homeCount
		perHome.Classes[i] = c
	}
	return &perHome
}
