package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kumquatlug/kumquatlug/internal/standin/site"
)

// soakCrashPart is the part of prompts that crashes engines, soakCrashID begins the IDs of the requests with it.
const (
	soakCrashPart = "dead"
	soakCrashID   = "crash-"
)

// runCrashingClient sends prompts that share a part which crashes engines, and else nothing, to any gateway.
func (k *soak) runCrashingClient(ctx context.Context, random *rand.Rand) {
	sleep(time.Duration(500+random.IntN(1500)) * time.Millisecond)
	k.CrashOn(time.Duration(500+random.IntN(1500))*time.Millisecond, soakCrashPart)
	for i := 0; ctx.Err() == nil; i++ {
		sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		id, gateway := fmt.Sprintf("%s%d-%d", soakCrashID, k.seed, i), random.IntN(int(k.present.Load()))
		parts := []string{"aa", "bb" + strconv.Itoa(random.IntN(10))}
		parts = slices.Insert(parts, random.IntN(3), soakCrashPart)
		prefix := strings.Join(parts, ":2000,") + ":2000," + id + ":900"
		call, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		k.gateways[gateway].doWith(call, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, http.MethodPost, site.PathResumable+id, id, map[string]string{
			"Model": "m", "Token-Count": "6900,104", "Prefix-Hash": prefix, "Key": northKey, "Deadline-Ms": "2000",
		})
		cancel()
	}
}

// checkCrashes compares the arrivals of the part that crashes engines with the users' rule, and what was refused
// for it. What was in flight at a crash is excused, and what had no engine until it was back.
func (k *soak) checkCrashes() []string {
	var failures []string
	crashes := k.Crashes()
	for _, at := range crashes {
		k.faults = append(k.faults, soakFault{-1, at.Add(-100 * time.Millisecond), at.Add(2*time.Second + soakApply)})
	}
	late := 0
	for _, a := range k.Arrivals(soakCrashPart) {
		if len(crashes) >= 5 && a.At.After(crashes[4].Add(contact)) {
			late++
		}
	}
	if late > maxGuiltyArrivals {
		failures = append(failures, fmt.Sprintf("%d requests with the crashing part reached workers later than %v after the fifth of %d crashes\n", late, contact, len(crashes)))
	}
	refused := 0
	for _, p := range k.gateways {
		for _, line := range p.log(`"refused"`, `"quarantined"`) {
			if refused++; !strings.Contains(line, `"`+soakCrashID) {
				failures = append(failures, "a sound request is refused: "+line+"\n")
			}
		}
	}
	k.Logf("seed %d: %d crashes, %d late arrivals, %d refused", k.seed, len(crashes), late, refused)
	return failures
}
