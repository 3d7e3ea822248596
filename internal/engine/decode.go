package engine

import (
	"bytes"
	"encoding/json"
)

// decodeChunk reads the JSON of one event into c. Nearly every token of every answer
// has the same few fields, and reading them by reflection was a sixth of an
// entry's processor time. Whatever is not plainly of that form, as an escape, a
// field that is not known here or a number that is not whole, goes to
// encoding/json, which stays the judge of it.
func decodeChunk(data []byte, lastChunk Chunk) (Chunk, error) {
	s := scanner{rest: data, lastChunk: lastChunk}
	if c, ok := s.chunk(); ok {
		return c, nil
	}
	var c Chunk
	err := json.Unmarshal(data, &c)
	return c, err
}

// scanner reads the plain form of an event. It gives up for good at the first
// thing that it does not know.
type scanner struct {
	rest []byte
	// lastChunk is the chunk before: what stays the same is not made again.
	lastChunk Chunk
}

// accept takes one mark of the grammar.
func (s *scanner) accept(char byte) bool {
	if len(s.rest) == 0 || s.rest[0] != char {
		return false
	}
	s.rest = s.rest[1:]
	return true
}

func (s *scanner) want(want string) bool {
	if !bytes.HasPrefix(s.rest, []byte(want)) {
		return false
	}
	s.rest = s.rest[len(want):]
	return true
}

// stringBytes takes a string of plain ASCII without escapes.
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

// reusedString takes a string that is likely the one before.
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

// integer takes a whole number that is not negative.
func (s *scanner) integer(dst *int64) bool {
	const maxDigits = 18 // digits that fit in any case
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

// object takes an object and has field read each value. A field that comes
// twice is left to encoding/json, which merges some of them.
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

// choices takes a list of one choice, or of none.
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
			if s.want("null") {
				return 3, true
			}
			return 3, s.stringPointer(&c.Finish)
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

// delta takes an object of strings as it stands.
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
