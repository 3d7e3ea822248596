package engine

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"testing"
)

// sampleEvents are events that engines send, and unusual ones that they may send.
var sampleEvents = []string{
	`{"id":"cmpl-1","object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":" w","finish_reason":null}],` +
		`"usage":{"prompt_tokens":5,"completion_tokens":1,"total_tokens":6,"prompt_tokens_details":{"cached_tokens":0}}}`,
	`{"id":"cmpl-1","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,` +
		`"delta":{"role":"assistant","content":" <w>"},"finish_reason":"stop"}]}`,
	`{"id":"","choices":[],"usage":{"prompt_tokens":5}}`,
	`{"choices":[{"index":0,"text":"\u00e9\n","logprobs":null},{"index":1,"text":"b"}],"usage":null}`,
	`{"ID":"x","choices":[{"index":-1,"text":"é"}],"created":1e3,"usage":{"completion_tokens":007}}`,
	`{"usage":{"prompt_tokens":1},"usage":{"total_tokens":2},"choices":null}`,
	` { "choices" : [ {"index":0,"delta":{"content":"a","content":"b"}} ] } `,
}

// If decodeChunk decoded an event differently from encoding/json, callers would get
// another response than the engine sent. Events with bytes replaced, duplicated and
// removed must give the same chunks and the same errors as with encoding/json.
func TestDecodeChunkMatchesEncodingJSON(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const mutationBytes = `{}[]":,0123456789 nulltrueabcidé\/-+.eE<>&` + "\n\x7f"
	fastDecoded := 0
	for range 200_000 {
		data := []byte(sampleEvents[random.IntN(len(sampleEvents))])
		for range random.IntN(3) {
			i := random.IntN(len(data))
			switch random.IntN(3) {
			case 0:
				data[i] = mutationBytes[random.IntN(len(mutationBytes))]
			case 1:
				data = append(data[:i:i], data[i+1:]...)
			default:
				data = append(data[:i:i], append([]byte{data[i]}, data[i:]...)...)
			}
		}
		var want Chunk
		wantErr := json.Unmarshal(data, &want)
		got, err := decodeChunk(data, Chunk{ID: "cmpl-1", Model: "m"})
		if (err == nil) != (wantErr == nil) || err == nil && !reflect.DeepEqual(got, want) {
			t.Fatalf("%s\ndecoded %+v, %v\nwant %+v, %v", data, got, err, want, wantErr)
		}
		s := scanner{rest: data}
		if _, ok := s.chunk(); ok {
			fastDecoded++
		}
	}
	if fastDecoded == 0 {
		t.Fatal("no event was decoded by the scanner")
	}
}

// Chunks must be encoded to the bytes that encoding/json writes, whatever a token
// contains.
func TestAppendJSONMatchesEncodingJSON(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	fragments := []string{"a", " ", "é", "\u2028", "<", "&", "\"", "\\", "\n", "\x00", "\x7f", "\xff", "w1"}
	text := func() string {
		var s string
		for range random.IntN(4) {
			s += fragments[random.IntN(len(fragments))]
		}
		return s
	}
	deltas := []json.RawMessage{nil, json.RawMessage(` { "content" : "<a>" } `), json.RawMessage(`{"content":"a"}`), json.RawMessage(`{`)}
	for range 50_000 {
		c := Chunk{ID: text(), Object: text(), Created: random.Int64N(9) - 4, Model: text()}
		for range random.IntN(3) {
			choice := Choice{Index: random.IntN(3), Delta: deltas[random.IntN(len(deltas))]}
			if random.IntN(2) == 0 {
				token := text()
				choice.Text = &token
			}
			if random.IntN(2) == 0 {
				reason := text()
				choice.FinishReason = &reason
			}
			c.Choices = append(c.Choices, choice)
		}
		if random.IntN(2) == 0 {
			c.Usage = &Usage{PromptTokens: random.Int64N(9), CompletionTokens: 1, TotalTokens: random.Int64()}
		}
		if c.Usage != nil && random.IntN(2) == 0 {
			c.Usage.PromptDetails = &PromptDetail{CachedTokens: random.Int64N(9)}
		}
		want, wantErr := json.Marshal(c)
		got, err := c.AppendJSON(nil)
		if (err == nil) != (wantErr == nil) || err == nil && string(got) != string(want) {
			t.Fatalf("wrote %s, %v\nwant %s, %v", got, err, want, wantErr)
		}
	}
}

func BenchmarkDecode(b *testing.B) {
	data := []byte(sampleEvents[0])
	b.Run("plain", func(b *testing.B) {
		b.ReportAllocs()
		last, _ := decodeChunk(data, Chunk{})
		for b.Loop() {
			_, _ = decodeChunk(data, last)
		}
	})
	b.Run("encoding/json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var c Chunk
			_ = json.Unmarshal(data, &c)
		}
	})
}
