package flow

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jacinthladder.dev/internal/entry/call"
	"jacinthladder.dev/internal/entry/meter"
	"jacinthladder.dev/internal/entry/price"
	"jacinthladder.dev/internal/entry/relay"
	"jacinthladder.dev/internal/entry/send"
)

// reply writes an answer to a caller. Begun says that bytes have left, so that
// a refusal can no longer be the whole answer.
type reply struct {
	writer http.ResponseWriter
	flush  *http.ResponseController
	call   *call.Call
	begun  bool
	text   strings.Builder
	first  func()
	take   relay.Sink
}

func newReply(w http.ResponseWriter, c *call.Call, m *meter.Metrics) *reply {
	p := &reply{writer: w, flush: http.NewResponseController(w), call: c}
	p.first = func() { m.FirstToken(c.Service().Name(), time.Since(c.AcceptedAt())) }
	p.take = relay.Sink{Chunk: p.collect, End: p.whole}
	if c.Chat().Stream {
		p.take = relay.Sink{Chunk: p.event, End: p.lastEvent}
	}
	return p
}

func newPlainReply(w http.ResponseWriter) *reply {
	p := &reply{writer: w}
	p.take = relay.Sink{End: p.answer}
	return p
}

func (p *reply) sink() relay.Sink { return p.take }

// event writes one chunk of a stream, and sends it unless more is at hand.
func (p *reply) event(data string, more bool) error {
	if !p.begun {
		p.begun = true
		p.first()
		p.writer.Header().Set("Content-Type", "text/event-stream")
		p.writer.Header().Set("Cache-Control", "no-cache")
		p.writer.Header().Set(call.OutcomeHeader, string(call.Answered))
		p.writer.WriteHeader(http.StatusOK)
	}
	for _, part := range []string{"data: ", data, "\n\n"} {
		if _, err := io.WriteString(p.writer, part); err != nil {
			return err
		}
	}
	if more {
		return nil
	}
	return p.flush.Flush()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunkText struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage,omitempty"`
}

// lastEvent writes the last chunk, the usage if the caller asked for it, and
// the end mark.
func (p *reply) lastEvent(data string, _ price.Usage) error {
	var c chunkText
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return errors.Wrap(err, "relay: last chunk")
	}
	usage := c.Usage
	c.Usage = nil
	for _, part := range []struct {
		usage  json.RawMessage
		wanted bool
	}{{nil, true}, {usage, p.call.Chat().IncludeUsage}} {
		if !part.wanted {
			continue
		}
		if part.usage != nil {
			c.Usage, c.Choices = part.usage, []json.RawMessage{}
		}
		line, err := json.Marshal(c)
		if err != nil {
			return errors.Wrap(err, "relay: last chunk")
		}
		if err := p.event(string(line), true); err != nil {
			return err
		}
	}
	return p.event("[DONE]", false)
}

type pieceText struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// collect adds one chunk to an answer that is sent whole.
func (p *reply) collect(data string, _ bool) error {
	var t pieceText
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return errors.Wrap(err, "relay: chunk")
	}
	for _, c := range t.Choices {
		p.text.WriteString(c.Delta.Content)
	}
	return nil
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage"`
}

type completionChoice struct {
	Index   int     `json:"index"`
	Message message `json:"message"`
	Finish  string  `json:"finish_reason"`
}

// whole writes the collected answer.
func (p *reply) whole(data string, _ price.Usage) error {
	var end chunkText
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return errors.Wrap(err, "relay: last chunk")
	}
	var t pieceText
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return errors.Wrap(err, "relay: last chunk")
	}
	finish := "stop"
	for _, c := range t.Choices {
		p.text.WriteString(c.Delta.Content)
		if c.Finish != nil {
			finish = *c.Finish
		}
	}
	body, err := json.Marshal(completion{
		ID: p.call.ID(), Object: "chat.completion", Created: time.Now().Unix(), Model: p.call.Chat().Model,
		Choices: []completionChoice{{Message: message{Role: "assistant", Content: p.text.String()}, Finish: finish}},
		Usage:   end.Usage,
	})
	if err != nil {
		return errors.Wrap(err, "relay: answer")
	}
	return p.send(http.StatusOK, "application/json", body)
}

func (p *reply) send(status int, kind string, body []byte) error {
	p.begun = true
	if kind != "" {
		p.writer.Header().Set("Content-Type", kind)
	}
	p.writer.Header().Set(call.OutcomeHeader, string(call.Answered))
	p.writer.WriteHeader(status)
	_, err := p.writer.Write(body)
	return err
}

// answer writes the answer of a plain service.
func (p *reply) answer(data string, _ price.Usage) error {
	var a send.Response
	if err := json.Unmarshal([]byte(data), &a); err != nil {
		return errors.Wrap(err, "relay: answer")
	}
	return p.send(a.Status, a.ContentType, a.Body)
}

// encodeAnswer puts a plain service's answer in the form that answers are kept.
func encodeAnswer(a send.Response) string {
	data, err := json.Marshal(a)
	if err != nil {
		return "{}" // bytes, text and a number always encode
	}
	return string(data)
}

// end tells the caller how its request ended, if it doesn't know already.
func (f *Pipeline) end(w http.ResponseWriter, c *call.Call, out *reply, err error) {
	switch {
	case err == nil:
		f.Metrics.Answered(c.Service().Name(), time.Since(c.AcceptedAt()))
		f.Logger.Infof("flow: request %s answered in %s", c.ID(), time.Since(c.AcceptedAt()).Round(time.Microsecond))
	case errors.Is(err, relay.ErrCallerGone):
		f.Metrics.CallerGone(c.Service().Name())
		f.Logger.Infof("flow: request %s lost its caller", c.ID())
	case out.begun:
		f.breakOff(out, c, err)
	default:
		f.refuse(w, c, err)
	}
}

// breakOff ends a stream that has begun with an error event, and breaks the
// connection so that no client takes the part for the whole.
func (f *Pipeline) breakOff(out *reply, c *call.Call, err error) {
	f.Logger.Warnf("flow: request %s broke off: %s", c.ID(), err)
	r := asRefusal(err)
	f.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	if err := out.event(string(r.Body()), false); err == nil {
		panic(http.ErrAbortHandler)
	}
}

// Refuse tells a caller why its request was not accepted.
func (f *Pipeline) Refuse(w http.ResponseWriter, err error) { f.refuse(w, nil, err) }

func (f *Pipeline) refuse(w http.ResponseWriter, c *call.Call, err error) {
	r := asRefusal(err)
	id := "-"
	if c != nil {
		id = c.ID()
	}
	f.Logger.Infof("flow: request %s refused, %s, %s", id, r.Outcome(), r)
	f.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	r.Write(w)
}

func asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return call.Indeterminate(call.Failed, "%s", err)
}
