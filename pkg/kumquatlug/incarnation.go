package kumquatlug

import (
	"crypto/rand"

	"github.com/oklog/ulid/v2"
)

// NewIncarnation returns a unique name for one start of a process on the VM with this
// name. It contains the VM's name, and the rest is not derived from the time alone:
// processes that start at the same moment, as after a power failure, would get the same
// value.
func NewIncarnation(vm string) string {
	return vm + "." + ulid.MustNew(ulid.Now(), rand.Reader).String()
}
