package fleet

import (
	"strconv"
	"strings"

	"github.com/aspenswitch/aspenswitch/boottime"
	"github.com/aspenswitch/aspenswitch/dispatch"
	"github.com/aspenswitch/aspenswitch/obs"
)

// handOverPrefix is the prefix of the CopyFrom of a refusal by which a home hands a request over to another
// group. The index of the group follows it. The Upstream of such a refusal is the one that has most of the
// prompt cached. Routers of earlier releases use neither field of a refusal, and refuse the request.
const handOverPrefix = "group/"

// encodeHandOver sets the fields of a reply by which a request is handed over.
func encodeHandOver(r *placeReply, d *dispatch.Decision) {
	if d.HandOver {
		r.Upstream, r.CopyFrom = d.CopyFrom, handOverPrefix+strconv.Itoa(d.HandOverGroup)
	}
}

// decodeHandOver moves the fields of a reply by which a request is handed over to those of the decision.
func decodeHandOver(d *dispatch.Decision) {
	text, found := strings.CutPrefix(d.CopyFrom, handOverPrefix)
	if d.Verdict != dispatch.Refuse || !found {
		return
	}
	if group, err := strconv.Atoi(text); err == nil && group >= 0 && group < maxGroups {
		d.HandOver, d.HandOverGroup, d.CopyFrom, d.Upstream = true, group, d.Upstream, ""
	}
}

// handOver asks the home of another group to place a request of this router. It returns false if the
// request must be refused.
func (n *Node) handOver(now boottime.Time, p *pending, d dispatch.Decision) bool {
	key := groupKey{service: p.key.service, index: d.HandOverGroup}
	if !d.HandOver || p.request.HandedOver || key == p.key {
		return false
	}
	g := n.group(now, key)
	if g == nil {
		return false
	}
	n.limited.Info("handover", func(e *obs.Event) {
		e.Str("request", p.request.ID).Str("team", p.request.Team).Str("group", p.group.name).Str("to", g.name).Str("cached_at", d.CopyFrom).
			Msg("request handed over to another group")
	})
	p.key, p.group, p.homesAsked = key, g, 0
	p.askedAt = now
	p.deductQueueTime()
	p.request.HandedOver, p.request.CacheHint = true, d.CopyFrom
	p.queuedByHome, p.timeoutAt = false, now.Add(n.cfg.PlacementTimeout)
	n.requestPlacement(now, p)
	return true
}
