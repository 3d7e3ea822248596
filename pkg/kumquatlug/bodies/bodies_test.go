package bodies

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const (
	kb = 1 << 10
	mb = 1 << 20
)

// sender is a simulated request whose body arrives in steps.
type sender struct {
	body      *Body
	size      int64
	got       int64
	chunked   bool
	waits     bool
	holdsFor  int
	served    bool
	refused   bool
	completed bool
}

// simulation plays senders against one memory.
type simulation struct {
	t       *testing.T
	memory  *Memory
	random  *rand.Rand
	limit   int64
	senders []*sender
}

func (s *simulation) begin(r *sender) {
	most := r.size
	if r.chunked {
		most = min(s.limit, s.memory.SmallBytes())
	}
	body, result := s.memory.Begin(most)
	r.body, r.refused = body, result == Refused
	if !r.refused {
		s.senders = append(s.senders, r)
	}
}

// step lets the next bytes of a body arrive, or brings a request that has all of them closer
// to its end.
func (s *simulation) step(r *sender) {
	switch {
	case r.waits || r.refused || r.served:
	case r.completed:
		if r.holdsFor--; r.holdsFor < 0 {
			r.served = true
			s.wake(s.memory.End(r.body))
		}
	case r.got == r.size:
		r.completed = true
		s.wake(s.memory.Complete(r.body, r.size))
	default:
		next := min(r.size, r.got+64*kb)
		if r.chunked && next > r.body.Held() && r.body.most < s.limit {
			s.memory.Enlarge(r.body, s.limit)
		}
		result := Granted
		if next > r.body.Held() {
			result = s.memory.Grow(r.body, next)
		}
		switch result {
		case Granted:
			r.got = next
		case Waiting:
			r.waits = true
		case Refused:
			r.refused = true
			s.wake(s.memory.End(r.body))
		}
	}
	if held := s.memory.Held(); held > s.memory.bytes {
		s.t.Fatalf("%d bytes are held, the memory has %d", held, s.memory.bytes)
	}
}

func (s *simulation) wake(granted []*Body) {
	for _, b := range granted {
		for _, r := range s.senders {
			if r.body == b {
				r.waits, r.got = false, b.Held()
			}
		}
	}
}

// run plays until all requests have ended. If all that are left wait, they block each other.
func (s *simulation) run() (served, refused int) {
	for {
		active := 0
		for _, i := range s.random.Perm(len(s.senders)) {
			r := s.senders[i]
			if !r.waits && !r.refused && !r.served {
				active++
			}
			s.step(r)
		}
		if active == 0 {
			break
		}
	}
	for _, r := range s.senders {
		switch {
		case r.served:
			served++
		case r.refused:
			refused++
		default:
			s.t.Fatalf("a body of %d bytes waits for ever with %d of them; %d of %d bytes are held, %d bodies wait", r.size, r.got, s.memory.Held(), s.memory.bytes, s.memory.Waiting())
		}
	}
	if held := s.memory.Held(); held != 0 {
		s.t.Fatalf("%d bytes are held after the last request", held)
	}
	return served, refused
}

// Bodies of any size and framing arrive at the same time in too little memory. Guards against
// bodies that block each other, each with a part of what all need, and against memory that is
// held beyond the bound or after its request.
func TestBodiesNeverBlockEachOther(t *testing.T) {
	for seed := range uint64(3000) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := &simulation{t: t, random: random, memory: New(1*mb + random.Int64N(120*mb)), limit: 100*kb + random.Int64N(8*mb)}
		for range 1 + random.IntN(80) {
			size := 1 + random.Int64N(s.limit)
			if random.IntN(2) == 0 {
				size = 1 + random.Int64N(min(s.limit, 100*kb))
			}
			s.begin(&sender{size: size, chunked: random.IntN(2) == 0, holdsFor: random.IntN(40)})
		}
		s.run()
	}
}

// Users send 4 MB each at the same time. Guards against memory that lies idle while users whose
// bodies would fit, one after the other, are refused.
func TestManyLargeBodiesAreServed(t *testing.T) {
	for _, c := range []struct {
		memory  int64
		users   int
		chunked bool
		atLeast int
	}{
		{94 * mb, 21, true, 21},
		{94 * mb, 21, false, 21},
		{94 * mb, 42, true, 42},
		{94 * mb, 42, false, 42},
		{94 * mb, 84, true, 42},
		{94 * mb, 84, false, 42},
		{42 * mb, 42, true, 18},
		{666 * mb, 84, true, 84},
	} {
		t.Run(fmt.Sprintf("%d MB, %d users, chunked %t", c.memory/mb, c.users, c.chunked), func(t *testing.T) {
			s := &simulation{t: t, random: rand.New(rand.NewPCG(1, 0)), memory: New(c.memory), limit: 4 * mb}
			for range c.users {
				s.begin(&sender{size: 4*mb - kb, chunked: c.chunked, holdsFor: 20})
			}
			served, refused := s.run()
			t.Logf("%d served, %d refused", served, refused)
			if served < c.atLeast {
				t.Errorf("%d of %d are served, want %d", served, c.users, c.atLeast)
			}
		})
	}
}

// Large bodies take all that they may. Guards against small requests that are refused or wait
// because of them.
func TestSmallBodiesFitBesideLargeOnes(t *testing.T) {
	m := New(94 * mb)
	for {
		b, result := m.Begin(4 * mb)
		if result == Granted {
			result = m.Grow(b, 4*mb)
		}
		if result != Granted {
			break
		}
	}
	for i := range 150 {
		if _, result := m.Begin(m.SmallBytes()); result != Granted {
			t.Fatalf("small body %d: %s with %d bytes held", i, result, m.Held())
		}
	}
}

// Guards against a wait for memory that will never be there.
func TestBodyLargerThanTheMemoryIsRefused(t *testing.T) {
	m := New(4 * mb)
	if _, result := m.Begin(4 * mb); result != Refused {
		t.Errorf("a body of known size: %s", result)
	}
	b, _ := m.Begin(m.SmallBytes())
	m.Enlarge(b, 8*mb)
	if result := m.Grow(b, m.MostBytes()); result != Granted {
		t.Errorf("all that a body may have: %s", result)
	}
	if result := m.Grow(b, m.MostBytes()+1); result != Refused {
		t.Errorf("more than a body may have: %s", result)
	}
}
