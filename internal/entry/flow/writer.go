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

// responseWriter writes the response to one request to its caller.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	call       *call.Call
	started    bool            // the response has been started, so a refusal can't replace it
	content    strings.Builder // text of the chunks received so far, if the response is not streamed
	onFirst    func()          // called before the first event of a streamed response is written
	target     relay.Sink      // sink that writes the chunks of the response to the caller
}

// newChatWriter returns a writer for the response to the model call c. The writer
// sends server-sent events if the caller asked for a stream, otherwise one JSON
// object. It records the time to the first event of a stream in m.
func newChatWriter(w http.ResponseWriter, c *call.Call, m *meter.Metrics) *responseWriter {
	out := &responseWriter{writer: w, controller: http.NewResponseController(w), call: c}
	out.onFirst = func() { m.FirstToken(c.Service().Name(), time.Since(c.AcceptedAt())) }
	out.target = relay.Sink{Chunk: out.appendChunk, End: out.writeCompletion}
	if c.Chat().Stream {
		out.target = relay.Sink{Chunk: out.writeEvent, End: out.writeLastEvent}
	}
	return out
}

// newPlainWriter returns a writer for the response to a call of a plain service. Its
// sink has only the function End.
func newPlainWriter(w http.ResponseWriter) *responseWriter {
	out := &responseWriter{writer: w}
	out.target = relay.Sink{End: out.writePlain}
	return out
}

// sink returns the sink that writes what it receives to the caller.
func (w *responseWriter) sink() relay.Sink { return w.target }

// writeEvent writes data as one server-sent event. If more is true, the next event
// follows at once and this one is not flushed yet.
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

// chatMessage is the message of a chat completion that is sent as one JSON object.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatChunk is one chunk of a streamed chat completion.
type chatChunk struct {
	ID      string            `json:"id"`
	Object  string            `json:"object"`
	Created int64             `json:"created"`
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
	Usage   json.RawMessage   `json:"usage,omitempty"`
}

// writeLastEvent ends a stream. It writes the last chunk of the response without its
// usage. If the caller asked for the usage, it then writes a chunk with only the
// usage. Finally it writes the event [DONE].
func (w *responseWriter) writeLastEvent(data string, _ price.Usage) error {
	var chunk chatChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return errors.Wrap(err, "flow: decode last chunk of the engine's stream")
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
			return errors.Wrap(err, "flow: encode last chunk for the caller")
		}
		if err := w.writeEvent(string(line), true); err != nil {
			return err
		}
	}
	return w.writeEvent("[DONE]", false)
}

// chunkContent holds the text of a chunk and, in the chunk that ends the response, the
// reason for the end.
type chunkContent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// appendChunk adds the text of one chunk to the collected text of a response that is
// not streamed.
func (w *responseWriter) appendChunk(data string, _ bool) error {
	var content chunkContent
	if err := json.Unmarshal([]byte(data), &content); err != nil {
		return errors.Wrap(err, "flow: decode chunk of the engine's stream")
	}
	for _, c := range content.Choices {
		w.content.WriteString(c.Delta.Content)
	}
	return nil
}

// chatCompletion is a chat completion that is sent as one JSON object.
type chatCompletion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage"`
}

// completionChoice is one choice of a chat completion.
type completionChoice struct {
	Index   int         `json:"index"`
	Message chatMessage `json:"message"`
	Finish  string      `json:"finish_reason"`
}

// writeCompletion writes a response that is not streamed as one chat completion. Its
// text is the collected text followed by that of the last chunk, which is data.
func (w *responseWriter) writeCompletion(data string, _ price.Usage) error {
	var end chatChunk
	if err := json.Unmarshal([]byte(data), &end); err != nil {
		return errors.Wrap(err, "flow: decode last chunk of the engine's stream")
	}
	var content chunkContent
	if err := json.Unmarshal([]byte(data), &content); err != nil {
		return errors.Wrap(err, "flow: decode last chunk of the engine's stream")
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
		return errors.Wrap(err, "flow: encode chat completion")
	}
	return w.writeBody(http.StatusOK, "application/json", body)
}

// writeBody writes a complete HTTP response with the outcome Answered.
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

// writePlain writes the response of a plain service to the caller. The argument data
// is this response as encodeResponse encodes it.
func (w *responseWriter) writePlain(data string, _ price.Usage) error {
	var resp send.Response
	if err := json.Unmarshal([]byte(data), &resp); err != nil {
		return errors.Wrap(err, "flow: decode response of the plain service")
	}
	return w.writeBody(resp.Status, resp.ContentType, resp.Body)
}

// encodeResponse encodes the response of a plain service as JSON. In this form it is
// passed to a sink and stored in a claim.
func encodeResponse(resp send.Response) string {
	data, err := json.Marshal(resp)
	if err != nil {
		return "{}" // unreachable: bytes, strings and integers always encode
	}
	return string(data)
}

// endRequest counts and logs how the request of the call c ended. The argument err is
// nil if the response is complete. Otherwise, and if the caller is still connected,
// endRequest sends the caller an error.
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

// abortStream sends an error event on a stream that has started. It then panics with
// http.ErrAbortHandler, which closes the connection, so that no client takes a partial
// response for a complete one. It does not panic if the event could not be written.
func (p *Pipeline) abortStream(out *responseWriter, c *call.Call, err error) {
	p.Logger.Warnf("flow: request %s: response interrupted: %s", c.ID(), err)
	r := asRefusal(err)
	p.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	if err := out.writeEvent(string(r.Body()), false); err == nil {
		panic(http.ErrAbortHandler)
	}
}

// Refuse sends err as the response to a request that was refused before it became a
// call.
func (p *Pipeline) Refuse(w http.ResponseWriter, err error) { p.refuse(w, nil, err) }

// refuse logs and counts err and sends it as the response to the call c. The argument
// c is nil if the request was refused before it became a call.
func (p *Pipeline) refuse(w http.ResponseWriter, c *call.Call, err error) {
	r := asRefusal(err)
	id := "-"
	if c != nil {
		id = c.ID()
	}
	p.Logger.Infof("flow: request %s refused with outcome %s: %s", id, r.Outcome(), r)
	p.Metrics.Refused(string(r.Code()), string(r.Outcome()))
	r.Write(w)
}

// asRefusal returns the refusal in err. If err has none, it returns a refusal with the
// code Failed, the outcome Unknown and the text of err.
func asRefusal(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return call.Indeterminate(call.Failed, "%s", err)
}
