package lab

import (
	"embed"
	"os"
	"strconv"
	"time"

	"github.com/aspenswitch/aspenswitch/jsonc"
)

// Sheet is a deployment as its operators describe it: kinds of request, teams and
// engines. The laboratory plays it; the routers never see one.
type Sheet struct {
	// Engines and Routers are how many there are.
	Engines int `json:"engines"`
	Routers int `json:"routers"`
	// TokensPerSecond is what the operators publish for all engines.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// Teams' sizes fall as the rank to the power of Skew.
	Teams   int         `json:"teams"`
	Skew    float64     `json:"skew"`
	Engine  EngineModel `json:"engine"`
	Classes []Class     `json:"classes"`
}

// EngineModel is an engine's data sheet.
type EngineModel struct {
	// Slots is how many requests run at once.
	Slots int `json:"slots"`
	// KVTokens is the memory that running requests and kept parts share.
	KVTokens int `json:"kvTokens"`
	// A step takes StepMs, and more for each running request and each thousand tokens
	// of their context.
	StepMs        float64 `json:"stepMs"`
	StepMsPerSlot float64 `json:"stepMsPerSlot"`
	ContextMsPerK float64 `json:"contextMsPerK"`
	// Prompts are read in chunks of ChunkTokens, TokensPerMs in a millisecond, and
	// PairsMsPerM more for a million pairs of tokens.
	TokensPerMs float64 `json:"tokensPerMs"`
	PairsMsPerM float64 `json:"pairsMsPerM"`
	ChunkTokens int     `json:"chunkTokens"`
	// CopyNsPerToken is how long copying a kept token from another engine takes.
	CopyNsPerToken int64 `json:"copyNsPerToken"`
	// Stride is how many tokens an event of a stream holds; a pause between two events
	// over PauseMs makes an answer late.
	Stride  int     `json:"stride"`
	PauseMs float64 `json:"pauseMs"`
	// Speeds are the engines' step times against the sheet's, in turn.
	Speeds []float64 `json:"speeds"`
}

// Class is a kind of request.
type Class struct {
	Name string `json:"name"`
	// PerSecond is how many arrive on a usual day.
	PerSecond float64 `json:"perSecond"`
	// GroupTokens and SessionTokens are the mean sizes of the two shared parts,
	// OwnTokens of the request's part; Groups and Sessions how many of each there are.
	GroupTokens   float64 `json:"groupTokens"`
	SessionTokens float64 `json:"sessionTokens"`
	OwnTokens     float64 `json:"ownTokens"`
	Groups        int     `json:"groups"`
	Sessions      int     `json:"sessions"`
	// OutputTokens is the mean number of tokens generated, MaxOutput the most.
	OutputTokens float64 `json:"outputTokens"`
	MaxOutput    int     `json:"maxOutput"`
	// TargetMs is the time to the first event, DeadlineMs that to the last.
	TargetMs   float64 `json:"targetMs"`
	DeadlineMs float64 `json:"deadlineMs"`
	// Worth is what an answer in time earns, LateWorth a late one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"lateWorth"`
}

func inMillis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (c *Class) target() time.Duration   { return inMillis(c.TargetMs) }
func (c *Class) deadline() time.Duration { return inMillis(c.DeadlineMs) }

// Fleet is the sheet's fleet.
func (s *Sheet) Fleet() Fleet { return Fleet{Engines: s.Engines, Routers: s.Routers} }

func (e *EngineModel) copyPerToken() time.Duration { return time.Duration(e.CopyNsPerToken) }

//go:embed sheets/*.json
var builtin embed.FS

// BuiltinSheet returns a sheet that comes with the laboratory: midlands, vilaine-grown,
// cooling or cooling-grown. It panics if there is none of that name, or it has findings:
// the tests read them all.
func BuiltinSheet(name string) *Sheet {
	file := "sheets/" + name + ".json"
	raw, err := builtin.ReadFile(file)
	if err != nil {
		panic(err)
	}
	s, err := parseSheet(file, raw)
	if err != nil {
		panic(err)
	}
	return s
}

// ReadSheet reads a file, JSON with comments. Its error holds all findings.
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

// check adds findings on values that can't be played.
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
		d.Add("/engine/speeds", "must name one speed at least")
	}
	if len(s.Classes) == 0 {
		d.Add("/classes", "must name one kind of request at least")
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

// PerHome is what one of so many homes decides for: its part of the engines, the requests
// and the sessions.
func (s *Sheet) PerHome(homes int) *Sheet {
	part := *s
	part.Engines = s.Engines / homes
	part.TokensPerSecond /= float64(homes)
	part.Classes = make([]Class, len(s.Classes))
	for i, c := range s.Classes {
		c.PerSecond /= float64(homes)
		c.Sessions /= homes
		part.Classes[i] = c
	}
	return &part
}
