package engine

import (
	"bytes"
	"encoding/json"
)

// decodeChunk decodes the JSON of one event. Nearly all events of a response have
// the same few fields, and decoding them by reflection took a sixth of a gateway's
// processor time. Events outside the common form, such as those with an escape, an
// unknown field or a number that is not an integer, are decoded by encoding/json,
// which decides whether they are valid.
func decodeChunk(data []byte, lastChunk Chunk) (Chunk, error) {
	s := scanner{rest: data, lastChunk: lastChunk}
	if c, ok := s.chunk(); ok {
		return c, nil
	}
	var c Chunk
	err := json.Unmarshal(data, &c)
	return c, err
}

// scanner decodes events of the common form. It fails at the first element that it
// doesn't handle.
type scanner struct {
	rest []byte
	// lastChunk is the previous chunk; its strings are reused to avoid allocations.
	lastChunk Chunk
}

// accept consumes char.
func (s *scanner) accept(char byte) bool {
	if len(s.rest) == 0 || s.rest[0] != char {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

func (s *scanner) literal(literal string) bool {
	if !bytes.HasPrefix(s.rest, []byte(literal)) {
		return false
	}
	s.rest = s.rest[len(literal):]
	return true
}

// stringBytes consumes a string of printable ASCII without escapes.
func (s *scanner) stringBytes() ([]byte, bool) {
	if !s.accept('"') {
		return nil, false
	}
	for i, b := range s.rest {
		if b == '"' {
			text := s.rest[:i]
			s.rest = s.rest[i+1:]
			return text, true
		}
		if b < ' ' || b == '\\' || b >= 0x7f {
			return nil, false
		}
	}
	return nil, false
}

// reusedString consumes a string and reuses last if it is equal.
func (s *scanner) reusedString(dst *string, last string) bool {
	text, ok := s.stringBytes()
	if !ok {
		return false
	}
	if string(text) == last {
		*dst = last
		return true
	}
	*dst = string(text)
	return true
}

// integer consumes a non-negative integer.
func (s *scanner) integer(dst *int64) bool {
	const maxDigits = 18 // any number of so many digits fits in an int64
	n := 0
	for n < len(s.rest) && s.rest[n] >= '0' && s.rest[n] <= '9' {
		n++
	}
	if n == 0 || n > maxDigits || n > 1 && s.rest[0] == '0' {
		return false
	}
	var value int64
	for _, digit := range s.rest[:n] {
		value = value*10 + int64(digit-'0')
	}
	s.rest = s.rest[n:]
	*dst = value
	return true
}

// object consumes an object and calls field to decode each value. An object with a
// duplicate field is left to encoding/json, which merges some of them.
func (s *scanner) object(field func(name []byte) (index int, ok bool)) bool {
	if !s.accept('{') {
		return false
	}
	if s.accept('}') {
		return true
	}
	seen := 0
	for {
		name, ok := s.stringBytes()
		if !ok || !s.accept(':') {
			return false
		}
		index, ok := field(name)
		if !ok || seen&(1<<index) != 0 {
			return false
		}
		seen |= 1 << index
		if s.accept('}') {
			return true
		}
		if !s.accept(',') {
			return false
		}
	}
}

func (s *scanner) chunk() (Chunk, bool) {
	var c Chunk
	ok := s.object(func(name []byte) (int, bool) {
		switch string(name) {
		case "id":
			return 0, s.reusedString(&c.ID, s.lastChunk.ID)
		case "object":
			return 1, s.reusedString(&c.Object, s.lastChunk.Object)
		case "created":
			return 2, s.integer(&c.Created)
		case "model":
			return 3, s.reusedString(&c.Model, s.lastChunk.Model)
		case "choices":
			return 4, s.choices(&c.Choices)
		case "usage":
			c.Usage = &Usage{}
			return 5, s.usage(c.Usage)
		default:
			return 0, false
		}
	})
	return c, ok && len(s.rest) == 0
}

// choices consumes an array of one choice or none.
func (s *scanner) choices(dst *[]Choice) bool {
	if !s.accept('[') {
		return false
	}
	if s.accept(']') {
		*dst = []Choice{}
		return true
	}
	list := make([]Choice, 1)
	*dst = list
	return s.choice(&list[0]) && s.accept(']')
}

func (s *scanner) choice(c *Choice) bool {
	return s.object(func(name []byte) (int, bool) {
		switch string(name) {
		case "index":
			var index int64
			ok := s.integer(&index)
			c.Index = int(index)
			return 0, ok
		case "text":
			return 1, s.stringPointer(&c.Text)
		case "delta":
			return 2, s.delta(&c.Delta)
		case "finish_reason":
			if s.literal("null") {
				return 3, true
			}
			return 3, s.stringPointer(&c.FinishReason)
		default:
			return 0, false
		}
	})
}

func (s *scanner) stringPointer(dst **string) bool {
	text, ok := s.stringBytes()
	if !ok {
		return false
	}
	copied := string(text)
	*dst = &copied
	return true
}

// delta consumes an object of strings and copies its JSON.
func (s *scanner) delta(dst *json.RawMessage) bool {
	start := s.rest
	ok := s.object(func(name []byte) (int, bool) {
		_, ok := s.stringBytes()
		switch string(name) {
		case "role":
			return 0, ok
		case "content":
			return 1, ok
		default:
			return 0, false
		}
	})
	*dst = append(json.RawMessage(nil), start[:len(start)-len(s.rest)]...)
	return ok
}

func (s *scanner) usage(u *Usage) bool {
	return s.object(func(name []byte) (int, bool) {
		switch string(name) {
		case "prompt_tokens":
			return 0, s.integer(&u.PromptTokens)
		case "completion_tokens":
			return 1, s.integer(&u.CompletionTokens)
		case "total_tokens":
			return 2, s.integer(&u.TotalTokens)
		case "prompt_tokens_details":
			u.PromptDetails = &PromptDetail{}
			return 3, s.promptDetail(u.PromptDetails)
		default:
			return 0, false
		}
	})
}

func (s *scanner) promptDetail(d *PromptDetail) bool {
	return s.object(func(name []byte) (int, bool) {
		if string(name) != "cached_tokens" {
			return 0, false
		}
		return 0, s.integer(&d.CachedTokens)
	})
}
