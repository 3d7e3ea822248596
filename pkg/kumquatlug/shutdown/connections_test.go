package shutdown

import "testing"

// Guards against requests that have been received in part and are counted as nothing.
func TestConnectionsCountWhatHasBeenReceived(t *testing.T) {
	s := NewConnections()
	fresh, parts, kept := s.Accept(0), s.Accept(0), s.Accept(0)
	s.Begin(5, kept)
	s.Finish(20, kept)
	s.Receive(40, parts, 10)
	if n := s.Counts(); n != (Counts{New: 1, Head: 1, Idle: 1}) || fresh.State() != New {
		t.Errorf("%+v", n)
	}
	s.Receive(50, kept, 7)
	s.Begin(900, parts)
	if n := s.Counts(); n != (Counts{New: 1, Head: 1, Active: 1}) || len(s.Unanswered()) != 2 {
		t.Errorf("%+v", n)
	}
	if s.ReceivedAt() != 50 || kept.Bytes() != 7 || kept.Since() != 50 {
		t.Errorf("received at %d, %+v", s.ReceivedAt(), kept)
	}
	if delay := s.HeadDelay(1000); delay != 900 {
		t.Errorf("a delay of %d ms, want 900", delay)
	}
	if delay := s.HeadDelay(900 + delayWindow + 1); delay != 0 {
		t.Errorf("a delay of %d ms after the window", delay)
	}
}
