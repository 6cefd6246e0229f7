package fleet

import (
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/quarantine"
)

// packet is one datagram. Structs are encoded as arrays, to keep datagrams small.
type packet struct {
	_ struct{} `cbor:",toarray"`
	// From is the sender's router ID, a random number chosen at each start.
	From      uint64
	Heartbeat *heartbeat
	Ask       *placeRequest
	Reply     *placeReply
	Report    *report
	// Infrequent keeps frequent packets small: they encode one empty field instead of one
	// for each rarely sent message.
	Infrequent *infrequent
	// Stream is encoded by streamPacket.
	Stream *streamMessage `cbor:"-"`
	// Extension is encoded by extensionPacket.
	Extension *extension `cbor:"-"`
}

// streamMessageKind is the purpose of a streamMessage.
type streamMessageKind uint8

const (
	// streamBegan has a router record where a stream began.
	streamBegan streamMessageKind = iota
	// streamQuery asks a router whether it has recorded a stream.
	streamQuery
	// streamKnown and streamNotKnown answer a streamQuery.
	streamKnown
	streamNotKnown
)

// streamMessage contains where a stream began, so that it can continue at the same software version. The
// origin is set with streamBegan and streamKnown.
type streamMessage struct {
	_               struct{} `cbor:",toarray"`
	Kind            streamMessageKind
	Stream          uint64
	Service         string
	SoftwareVersion string
}

// infrequent holds the messages that are rarely sent.
type infrequent struct {
	_          struct{} `cbor:",toarray"`
	Shed       *shedReport
	Usage      *usageReport
	Quarantine *quarantineUpdate
	Leaving    *leavingReport
	Broken     *brokenNotice
}

// brokenNotice reports that an upstream closed a connection while handling a request.
type brokenNotice struct {
	_        struct{} `cbor:",toarray"`
	Upstream uint32
	// Announced distinguishes the announcement to all routers by the hub responsible for the
	// upstream (see hubFor) from a report to that hub.
	Announced bool
}

// leavingReport reports that an upstream is shutting down.
type leavingReport struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	Started  int64
}

// heartbeat reports that the sender is alive, and the age of its state.
type heartbeat struct {
	heartbeatFields
	// PlatformUnreachable is set if the sender's last call to the platform failed.
	PlatformUnreachable bool
	// Epoch is that of Revision, which is a counter, see package revision.
	Epoch int64
}

// heartbeatFields are the fields that routers of all versions send.
type heartbeatFields struct {
	_ struct{} `cbor:",toarray"`
	// Sent is the sender's boot clock in nanoseconds.
	Sent int64
	// Echo is the newest Sent that the sender has received from the receiver, 0 if none.
	// It proves that the heartbeat was sent after that time.
	Echo int64
	// EchoIncarnation is the low half of the ID of the router that sent Echo. A later
	// incarnation at the same address has another ID, and may have a different boot clock.
	EchoIncarnation uint32
	IP              string
	Domain          string
	// Weight is the sender's processor share, in cores.
	Weight float64
	// Leaving is set while the sender is stopping. It can't be a home then.
	Leaving bool
	// ReplyRequested asks the receiver to send a heartbeat at once.
	ReplyRequested bool
	// ReceiverIsHub is set if the sender has chosen the receiver as a hub.
	ReceiverIsHub bool
	// Revision is the counter of the sender's published state; AgeNanos is how long before Sent
	// the state was confirmed.
	Revision int64
	AgeNanos int64
	// Peers are the addresses of some members of the sender.
	Peers []string
	// QuarantineDigest is the digest of the sender's quarantine table.
	QuarantineDigest uint16
}

// placeRequest asks the home of a group to place a request.
type placeRequest struct {
	placeRequestFields
	// Version is the software version at which the request must run, "" for any.
	Version string
}

// placeRequestFields are the fields that routers of all releases send.
type placeRequestFields struct {
	_         struct{} `cbor:",toarray"`
	Seq       uint64
	ID        string
	Service   string
	Group     groupNumber
	Team      string
	Priority  int
	Prompt    int
	Output    int
	Parts     []part
	TargetMs  int32
	TimeoutMs int32
	CacheHint string
	Avoid     []string
	Regions   []string
}

type part struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// placeReply is a home's decision on a placeRequest.
type placeReply struct {
	_                    struct{} `cbor:",toarray"`
	Seq                  uint64
	Service              string
	Group                groupNumber
	Verdict              dispatch.Verdict
	Upstream             string
	CopyFrom             string
	RetryAfterMs         int32
	PredictedFirstByteMs int32
	SinceFirstAttemptMs  int32
	OverShare            bool
	// Warming is set if the upstream is warming up.
	Warming bool
	// Allowance limits the requests that the receiver may send for the team, in tokens per
	// second: 0 if the home gives none, infinity if there is no limit.
	Allowance float32
}

// reportKind is the event that a report is about.
type reportKind uint8

const (
	// reportStarted: the first byte of the response was received.
	reportStarted reportKind = iota
	// reportEnded: the request has ended.
	reportEnded
	// reportInFlight: the sender has sent the request to an upstream. It is sent to a new
	// home.
	reportInFlight
)

// report is the progress of a request that was placed.
type report struct {
	_          struct{} `cbor:",toarray"`
	Kind       reportKind
	Seq        uint64
	Service    string
	Group      int
	Outcome    dispatch.Outcome
	DurationMs int32
	// Request and Upstream are set with reportInFlight; ResponseStarted if the first byte of
	// the response was received.
	Request  *placeRequest
	Upstream string
	// Started is when the upstream's process that has the request was started. With reportStarted,
	// it is the packedLoad that the upstream stated.
	Started         int64
	ResponseStarted bool
}

// shedReport reports to a home the requests of a team that a router has refused without asking
// it, so that the home recognizes their callers when they retry.
type shedReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Group    int
	Team     string
	Tokens   int
	Requests []shedRequest
}

// usageReport is the usage of teams at the sender's groups or, if IsReply is set, at the groups
// of all routers but the receiver.
type usageReport struct {
	_       struct{} `cbor:",toarray"`
	IsReply bool
	Teams   []teamUsage
}

// teamUsage is the usage of a team, in tokens.
type teamUsage struct {
	_              struct{} `cbor:",toarray"`
	Team           string
	Window, Recent float32
}

// quarantineUpdate carries crashes and successes to the hub responsible for a key (see hubFor),
// and notices to all members.
type quarantineUpdate struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []crashReport
	Successes []successReport
	Notices   []statusNotice
	Trial     *trialMessage
}

// trialMessage asks the hub responsible for the key (see hubFor) to grant a trial or, if
// Answer is set, carries the hub's answer. With Granted alone it reports that a trial has ended without a result.
type trialMessage struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Hash    uint64
	Answer  bool
	Granted bool
}

func (m *trialMessage) ends() bool { return m.Granted && !m.Answer }

// successReport reports that a key is harmless.
type successReport struct {
	_    struct{} `cbor:",toarray"`
	Team string
	Hash uint64
}

// crashReport reports that an upstream crashed while handling a request with a key.
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
	_       struct{} `cbor:",toarray"`
	Team    string
	Hash    uint64
	Status  quarantine.Status
	Version uint32
	LeftS   int32
	// FailedTrials includes provenFlag.
	FailedTrials uint8
}

type shedRequest struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint uint64
	// AgeMs is how long ago the request arrived, TimeoutMs how long its caller would wait
	// from then on.
	AgeMs     int32
	TimeoutMs int32
}
