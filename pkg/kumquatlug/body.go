package kumquatlug

import "io"

// Body is the complete body of a request. It consists of parts, so that one of unknown size can
// be read without being copied while it grows. It must not be changed.
type Body struct {
	parts [][]byte
	size  int
}

// NewBody returns a body of these parts.
func NewBody(parts ...[]byte) Body {
	b := Body{parts: parts}
	for _, part := range parts {
		b.size += len(part)
	}
	return b
}

// Len returns the size in bytes.
func (b Body) Len() int { return b.size }

// Parts returns the parts in order.
func (b Body) Parts() [][]byte { return b.parts }

// WriteTo writes the body to w.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for _, part := range b.parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
