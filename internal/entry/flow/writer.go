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

// responseWriter writes a response to a caller. Started is set once bytes have
// been sent; a refusal can then no longer replace the response.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	call       *call.Call
	started    bool
	content    strings.Builder
	onFirst    func()
	target     relay.Sink
}

// newChatWriter returns a writer for a model call: as server-sent events if the
// caller asked for a stream, else as one JSON object.
func newChatWriter(w http.ResponseWriter, c *call.Call, m *meter.Metrics) *responseWriter {
	out := &responseWriter{writer: w, controller: http.NewResponseController(w), call: c}
	out.onFirst = func() { m.FirstToken(c.Service().Name(), time.Since(c.AcceptedAt())) }
	out.target = relay.Sink{Chunk: out.appendChunk, End: out.writeCompletion}
	if c.Chat().Stream {
		out.target = relay.Sink{Chunk: out.writeEvent, End: out.writeLastEvent}
	}
	return out
}

// newPlainWriter returns a writer for a call of a plain service.
func newPlainWriter(w http.ResponseWriter) *responseWriter {
	out := &responseWriter{writer: w}
	out.target = relay.Sink{End: out.writePlain}
	return out
}

func (w *responseWriter) sink() relay.Sink { return w.target }

// writeEvent writes one chunk as an event, and flushes it unless the next chunk
// is already buffered.
func (w *responseWriter) writeEvent(data string, more bool) error {
	if !w.started {
		w.started = true
		w.onFirst()
		w.writer.Header().Set("Content-Type", "text/event-stream")
		w.writer.Header().Set("Cache-Control", "no-cache")
		w.writer.Header().Set(call.OutcomeHeader, string(call.Answered))
		w.writer.WriteHeader(http.StatusOK)
	}
	for _, part := range []string{"data: ", data, "\n\n"} {
		if _, err := io.WriteString(w.writer, part); err != nil {
			return err
		}
	}
	if more {
		return nil
	}
	return w.controller.Flush()
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage,omitempty"`
}

// writeLastEvent writes the last chunk, the usage if the caller asked for it, and
// the [DONE] event.
func (w *responseWriter) writeLastEvent(data string, _ price.Usage) error {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "relay: decode last chunk")
	}
	usage := chunk.Usage
	chunk.Usage = nil
	for _, part := range []struct {
		usage  json.RawMessage
		wanted bool
	}{{nil, true}, {usage, w.call.Chat().IncludeUsage}} {
		if !part.wanted {
			continue
		}
		if part.usage != nil {
			chunk.Usage, chunk.Choices = part.usage, []json.RawMessage{}
		}
		line, err := json.Marshal(chunk)
		if err != nil {
			return errors.Wrap(err, "relay: encode last chunk")
		}
		if err := w.writeEvent(string(line), true); err != nil {
			return err
		}
	}
	return w.writeEvent("[DONE]", false)
}

type chunkContent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// appendChunk adds one chunk to a response that is not streamed.
func (w *responseWriter) appendChunk(data string, _ bool) error {
	var content chunkContent
	if err := json.Unmarshal([]byte(data), &content); err != nil {
		return errors.Wrap(err, "relay: decode chunk")
	}
	for _, c := range content.Choices {
		w.content.WriteString(c.Delta.Content)
	}
	return nil
}

type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage"`
}

type completionChoice struct {
	Index   int         `json:"index"`
	Message chatMessage `json:"message"`
	Finish  string      `json:"finish_reason"`
}

// writeCompletion writes the collected chunks as one chat completion.
func (w *responseWriter) writeCompletion(data string, _ price.Usage) error {
	var end chatChunk
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return errors.Wrap(err, "relay: decode last chunk")
	}
	var content chunkContent
	if err := json.Unmarshal([]byte(data), &content); err != nil {
		return errors.Wrap(err, "relay: decode last chunk")
	}
	finish := "stop"
	for _, c := range content.Choices {
		w.content.WriteString(c.Delta.Content)
		if c.Finish != nil {
			finish = *c.Finish
		}
	}
	body, err := json.Marshal(chatCompletion{
		ID: w.call.ID(), Object: "chat.completion", Created: time.Now().Unix(), Model: w.call.Chat().Model,
		Choices: []completionChoice{{Message: chatMessage{Role: "assistant", Content: w.content.String()}, Finish: finish}},
		Usage:   end.Usage,
	})
	if err != nil {
		return errors.Wrap(err, "relay: encode response")
	}
	return w.writeBody(http.StatusOK, "application/json", body)
}

func (w *responseWriter) writeBody(status int, contentType string, body []byte) error {
	w.started = true
	if contentType != "" {
		w.writer.Header().Set("Content-Type", contentType)
	}
	w.writer.Header().Set(call.OutcomeHeader, string(call.Answered))
	w.writer.WriteHeader(status)
	_, err := w.writer.Write(body)
	return err
}

// writePlain writes the response of a plain service.
func (w *responseWriter) writePlain(data string, _ price.Usage) error {
	var resp send.Response
	if err := json.Unmarshal([]byte(data), &resp); err != nil {
		return errors.Wrap(err, "relay: decode response")
	}
	return w.writeBody(resp.Status, resp.ContentType, resp.Body)
}

// encodeResponse encodes the response of a plain service as it is stored.
func encodeResponse(resp send.Response) string {
	data, err := json.Marshal(resp)
	if err != nil {
		return "{}" // unreachable: bytes, strings and integers always encode
	}
	return string(data)
}

// endRequest records how a request ended, and sends an error to the caller if the
// response is not complete.
func (p *Pipeline) endRequest(w http.ResponseWriter, c *call.Call, out *responseWriter, err error) {
	switch {
	case err == nil:
		p.Metrics.Answered(c.Service().Name(), time.Since(c.AcceptedAt()))
		p.Logger.Infof("flow: request %s answered in %s", c.ID(), time.Since(c.AcceptedAt()).Round(time.Microsecond))
	case errors.Is(err, relay.ErrCallerGone):
		p.Metrics.CallerGone(c.Service().Name())
		p.Logger.Infof("flow: request %s: caller disconnected", c.ID())
	case out.started:
		p.abortStream(out, c, err)
	default:
		p.refuse(w, c, err)
	}
}

// abortStream sends an error event on a stream that has started and closes the
// connection, so that no client takes a partial response for a complete one.
func (p *Pipeline) abortStream(out *responseWriter, c *call.Call, err error) {
	p.Logger.Warnf("flow: request %s: response interrupted: %s", c.ID(), err)
	r := asRefusal(err)
	p.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	if err := out.writeEvent(string(r.Body()), false); err == nil {
		panic(http.ErrAbortHandler)
	}
}

// Refuse sends err as the response to a request that was not accepted.
func (p *Pipeline) Refuse(w http.ResponseWriter, err error) { p.refuse(w, nil, err) }

func (p *Pipeline) refuse(w http.ResponseWriter, c *call.Call, err error) {
	r := asRefusal(err)
	id := "-"
	if c != nil {
		id = c.ID()
	}
	p.Logger.Infof("flow: request %s refused, %s, %s", id, r.Outcome(), r)
	p.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	r.Write(w)
}

// asRefusal returns the refusal in err, or a refusal with an unknown outcome.
func asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return call.Indeterminate(call.Failed, "%s", err)
}
