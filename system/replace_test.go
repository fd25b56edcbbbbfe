package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/fake/cloud"
)

// Guards against an entry that is restarted while the log is down and then reports ready but refuses every request,
// because a process that is not a member has no slots.
func TestEntryReplacedInAnOutageServes(t *testing.T) {
	w := smallWorld(t, 3)
	e := w.entries[2]
	earlier := ""
	w.eventually("the entry is a member", 10*time.Second, func() error {
		for _, m := range w.state().Members {
			if m.VM == e.vm {
				earlier = m.ID
				return nil
			}
		}
		return fmt.Errorf("no member runs on %s yet", e.vm)
	})
	w.fault(cloud.Fault{Outage: cloud.OutageRefuse})
	e.kill()
	e.start()
	w.eventually("the replaced entry serves", 20*time.Second, func() error {
		a, err := e.send(request{Method: "POST", Body: "lane 3"})
		if err == nil && a.Status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", a.Status, a.Body)
		}
		return err
	})
	w.fault(cloud.Fault{Clear: true})
	w.eventually("the replaced entry is a member and serves", 20*time.Second, func() error {
		for _, m := range w.state().Members {
			if m.VM == e.vm && m.ID != earlier {
				a, err := e.send(request{Method: "POST", Body: "lane 4"})
				assert.Check(t, err != nil || a.Status == http.StatusOK, a.Body)
				return err
			}
		}
		return fmt.Errorf("no member runs on %s yet", e.vm)
	})
}
