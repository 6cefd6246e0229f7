package fleet

import (
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// packet is one datagram. Fields are arrays on the wire, for their size.
type packet struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's incarnation.
	From   uint64
	Beat   *beat
	Ask    *ask
	Reply  *reply
	Report *report
	// Infrequent keeps frequent packets small: they encode one empty field instead of one
	// for each rarely sent message.
	Infrequent *infrequent
}

// infrequent holds the messages that are rarely sent.
type infrequent struct {
	_          struct{} `cbor:",toarray"`
	Shed       *shed
	Tally      *tally
	Quarantine *quarantineUpdate
	Leaving    *leavingReport
	Broken     *brokenNotice
}

// brokenNotice reports that an upstream closed a connection while handling a request.
type brokenNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32
	// Announced distinguishes the hub's announcement to all routers from a report to the hub.
	Announced bool
}

// leavingReport reports that an upstream is shutting down.
type leavingReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Started  int64
}

// beat is a heartbeat.
type beat struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the sender's boot clock in nanoseconds.
	Sent int64
	// Echo is the newest Sent that the sender has from the receiver, 0 if none.
	// It proves that the sender's other words were said after that moment.
	Echo int64
	// EchoOf is the low half of the incarnation that Echo is from. The next one at
	// the address may have another clock.
	EchoOf uint32
	IP     string
	Domain string
	// Weight is the sender's share of a core.
	Weight float64
	// Leaving routers are no home to anything.
	Leaving bool
	// Answer asks for a heartbeat in return, at once.
	Answer bool
	// Hub tells the receiver that the sender takes it for a hub.
	Hub bool
	// Revision of the published state that the sender has, and how long before
	// Sent it was confirmed.
	Revision int64
	AgeNanos int64
	// Peers are some routers that the sender hears.
	Peers []string
	// Quarantine is the digest of the sender's quarantine table.
	Quarantine uint16
}

// ask is a request to be placed.
type ask struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	ID       string
	Service  string
	Group    groupNumber
	Team     string
	Rank     int
	Prompt   int
	Output   int
	Parts    []part
	TargetMs int32
	LeftMs   int32
	Warm     string
	Avoid    []string
	Regions  []string
}

type part struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// reply is a decision.
type reply struct {
	_        struct{} `cbor:",toarray"`
	Seq      uint64
	Service  string
	Group    groupNumber
	Verdict  dispatch.Verdict
	Upstream string
	CopyFrom string
	RetryMs  int32
	WaitMs   int32
	WaitedMs int32
	Over     bool
	// Warming is set if the upstream is warming up.
	Warming bool
	// Allowance is what the asker may ask for the team, in tokens a second: 0 if nothing
	// is told, infinity if there is no bound.
	Allowance float32
}

// reportKind is what a report tells.
type reportKind uint8

const (
	// began: the first byte of the answer came.
	began reportKind = iota
	// ended: the request is over.
	ended
	// holds: the sender has this request at an upstream; told to a new home.
	holds
)

// report is what became of a request that was placed.
type report struct {
	_       struct{} `cbor:",toarray"`
	Kind    reportKind
	Seq     uint64
	Service string
	Group   int
	Outcome dispatch.Outcome
	TookMs  int32
	// Held and Upstream are set with holds; Begun if the answer has begun.
	Held     *ask
	Upstream string
	// Started tells which start of the upstream has the request.
	Started int64
	Begun   bool
}

// shed tells a home of a team's requests that a router has refused by itself, so
// that their callers are known when they come back.
type shed struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Group    int
	Team     string
	Tokens   int
	Requests []shedRequest
}

// tally tells what teams got: from the sender's homes, or in return from all others.
type tally struct {
	_      struct{} `cbor:",toarray"`
	Return bool
	Teams  []teamGot
}

// teamGot is what a team got, in tokens.
type teamGot struct {
	_              struct{} `cbor:",toarray"`
	Team           string
	Window, Lately float32
}

// quarantineUpdate carries crashes and successes to the hub of a content, and notices to
// all members.
type quarantineUpdate struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []crashReport
	Successes []successReport
	Notices   []statusNotice
	Trial     *trialMessage
}

// trialMessage asks the hub of a content to grant a trial or, if Answer is set, carries the
// hub's answer.
type trialMessage struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Hash    uint64
	Answer  bool
	Granted bool
}

// successReport reports that a request with a content received a complete response.
type successReport struct {
	_    struct{} `cbor:",toarray"`
	Team string
	Hash uint64
}

// crashReport reports that an upstream crashed while handling a request with a content.
type crashReport struct {
	_        struct{} `cbor:",toarray"`
	Team     string
	Hash     uint64
	Upstream uint32
	// RanMs is the time from sending the request to the crash.
	RanMs int32
}

// statusNotice is the encoding of a quarantine.Notice.
type statusNotice struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	Hash         uint64
	Status       quarantine.Status
	Version      uint32
	LeftS        int32
	FailedTrials uint8
}

type shedRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// AgoMs is how long ago the request came, LeftMs how long its caller then waited.
	AgoMs  int32
	LeftMs int32
}
