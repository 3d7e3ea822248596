package gateway

import (
	"fmt"
	"testing"
)

// One of hundreds of accounts gets poor service, which no total shows. The metric must
// name it, be bounded in size, and drop accounts without recent requests.
func TestWorstAccountsAreReported(t *testing.T) {
	s := &accountStats{}
	for i := range 9000 {
		account := fmt.Sprint("a", i%300)
		s.note(100, account, account != "a7" || i%2 == 0)
	}
	worst := s.worst(200)
	if len(worst) != maxWorstAccounts || worst["a7"] > 0.6 {
		t.Errorf("%v", worst)
	}
	s.worst(600_000)
	if len(s.accounts) != 0 {
		t.Errorf("%d idle accounts were not removed", len(s.accounts))
	}
}
