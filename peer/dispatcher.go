package peer

import (
	"context"
	"encoding/json"

	"github.com/sourcegraph/jsonrpc2"
)

// dispatcher passes messages to the handler: notifications in order, each call in its
// own goroutine, so that a slow call doesn't block other messages.
type dispatcher struct{ handler Handler }

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	switch {
	case d.handler == nil:
	case req.Notif:
		d.handler.Notify(req.Method, params)
	default:
		go d.reply(ctx, conn, req, params)
	}
}

func (d *dispatcher) reply(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, params json.RawMessage) {
	result, err := d.handler.Call(ctx, req.Method, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, req.ID, result)
}
