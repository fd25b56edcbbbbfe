package soak

import (
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"gotest.tools/v3/assert"

	"sassafrasvalve/platform"
)

// injectFault injects a random fault, and sometimes also sends malformed input.
func (s *soak) injectFault() {
	e := s.entries[s.rng.IntN(len(s.entries))]
	if s.extraRng.IntN(malformedEvery) == 0 {
		addr := []string{e.front, e.peer}[s.extraRng.IntN(2)]
		n := s.extraRng.IntN(len(malformed))
		s.logEvent("malformed input %d to %s of %s", n, addr, e.name)
		s.sendMalformed(addr, malformed[n])
	}
	if s.platRng.IntN(platformFaultEvery) == 0 {
		s.injectPlatformFault()
	}
	if s.restRng.IntN(restartEvery) == 0 {
		s.injectVMFault()
	}
	s.injectAccountFault()
	s.lengths.injectFault()
	switch s.rng.IntN(8) {
	case 0:
		s.logEvent("kill %s", e.name)
		s.noteDisturbed(e.name)
		e.replace(syscall.SIGKILL)
	case 1:
		s.logEvent("stop %s", e.name)
		s.noteDisturbed(e.name)
		go e.replace(syscall.SIGTERM)
	case 2:
		s.logEvent("pause %s", e.name)
		s.setDisturbed(e.name, true)
		e.signal(syscall.SIGSTOP)
		time.AfterFunc(time.Duration(500+s.rng.IntN(4000))*time.Millisecond, func() {
			e.signal(syscall.SIGCONT)
			s.setDisturbed(e.name, false)
		})
	case 3:
		f := fault(s.rng.Int32N(int32(faultKinds)))
		s.logEvent("store of %s: fault %d", e.name, f)
		e.store.fault.Store(int32(f))
		s.setDisturbed(e.store.addr(), f != healthy)
	case 4:
		s.logEvent("store of %s: reset", e.name)
		s.noteDisturbed(e.name)
		e.store.reset()
	case 5:
		vms := s.listVMProxies()
		i := s.rng.IntN(len(vms))
		f := fault(s.rng.Int32N(int32(faultKinds)))
		s.logEvent("vm %d: fault %d", i, f)
		vms[i].fault.Store(int32(f))
	case 6:
		i := s.rng.IntN(vmCount)
		s.logEvent("crash of machine %d", i)
		assert.NilError(s.t, s.plat.Crash(i))
	case 7:
		down, silent := s.rng.IntN(2) == 0, s.extraRng.IntN(2) == 0
		s.logEvent("log down %v, lost answers silent %v", down, silent)
		s.plat.Log.SetSilent(silent)
		s.plat.Log.SetFaults(down, []int{0, 3, 9}[s.rng.IntN(3)])
		s.setDisturbed(logSource, down)
	}
}

// restartEvery is the mean number of faults per restart of a VM under its ID.
const restartEvery = 3

// injectVMFault delays starts by seconds or lets a VM start again under its ID, or both.
func (s *soak) injectVMFault() {
	kind := s.restRng.IntN(3)
	if kind != 0 {
		n := 1 + s.restRng.IntN(4)
		s.logEvent("one in %d starts late", n)
		s.plat.SetLateStarts(n)
	}
	if kind != 1 {
		s.restartVM()
	}
}

// restartVM lets a VM start again under its ID, and mostly cuts it off soon after.
func (s *soak) restartVM() {
	i, downMs := s.restRng.IntN(vmCount), 100+s.restRng.Int64N(900)
	addr := s.plat.VMAddr(i)
	cutAfter, cutFor := time.Duration(200+s.restRng.IntN(2500))*time.Millisecond, time.Duration(1000+s.restRng.IntN(9000))*time.Millisecond
	s.logEvent("restart of the vm of machine %d after %d ms, cut off %v later for %v", i, downMs, cutAfter, cutFor)
	s.plat.Restart(i, downMs)
	for _, v := range s.listVMProxies() {
		if v.addr() == addr && s.restRng.IntN(4) > 0 {
			time.AfterFunc(time.Duration(downMs)*time.Millisecond+cutAfter, func() {
				if !s.ended.Load() {
					v.fault.Store(int32(silent))
				}
			})
			time.AfterFunc(time.Duration(downMs)*time.Millisecond+cutAfter+cutFor, func() {
				v.fault.Store(int32(healthy))
				v.reset()
			})
		}
	}
}

// repeatEvery is the mean number of requests per repeated one.
const repeatEvery = 10

// platformFaultEvery is the mean number of faults per fault of the platform that injectPlatformFault adds.
const platformFaultEvery = 4

// injectPlatformFault takes a partition of the log away, moves the queue to another service, or lets the entries of the VMs
// expire in an outage in which entries are killed.
func (s *soak) injectPlatformFault() {
	switch s.platRng.IntN(3) {
	case 0:
		topic, part := platform.TopicJobs, s.platRng.IntN(3)
		if s.platRng.IntN(3) == 0 {
			topic, part = platform.TopicOperator, 0
		}
		s.logEvent("partition %d of %s down", part, topic)
		s.plat.Log.SetPartDown(topic, part, true)
		isConfig := topic == platform.TopicOperator
		if isConfig {
			s.setDisturbed(topicSource, true)
		}
		time.AfterFunc(time.Duration(1000+s.platRng.IntN(4000))*time.Millisecond, func() {
			s.plat.Log.SetPartDown(topic, part, false)
			if isConfig {
				s.setDisturbed(topicSource, false)
			}
		})
	case 1:
		s.logEvent("queue moved")
		s.plat.MoveQueue()
	case 2:
		s.expireInOutage()
	}
}

// expireInOutage takes the log away for some seconds and lets the entries of the VMs expire meanwhile. Shortly before its end it
// kills some of the entries of the system. The VMs are listed again within 2 s.
func (s *soak) expireInOutage() {
	s.plat.Log.SetFaults(true, 0)
	s.setDisturbed(logSource, true)
	time.Sleep(300 * time.Millisecond) // owners start items without a record meanwhile
	s.plat.ExpireEntries()
	time.Sleep(time.Duration(500+s.platRng.IntN(2500)) * time.Millisecond)
	var killed []string
	for _, e := range s.entries {
		if s.platRng.IntN(3) > 0 {
			killed = append(killed, e.name)
			s.noteDisturbed(e.name)
			go e.replace(syscall.SIGKILL)
		}
	}
	s.logEvent("entries of the VMs expired in an outage of the log; kill %s", strings.Join(killed, ", "))
	time.Sleep(time.Duration(s.platRng.IntN(400)) * time.Millisecond)
	s.plat.Log.SetFaults(false, 0)
	s.setDisturbed(logSource, false)
	for i := range s.plat.MachineCount() {
		time.AfterFunc(time.Duration(s.platRng.IntN(maxListingMs))*time.Millisecond, func() { s.plat.RenewEntry(i) })
	}
}

// maxListingMs is the time in ms after an outage of the log within which the VMs are listed again.
const maxListingMs = 2000

// malformedEvery is the mean number of faults per malformed input.
const malformedEvery = 4

// malformed are inputs to the listeners of an entry that no correct caller sends. A first byte of 0 selects the relay
// protocol.
var malformed = []string{
	"", "\x00", "\x00\xff\xff\xff\xff\xff\xff\xff\xff", "{", "[[[[[[[[", `{"jsonrpc":"2.0","method":"Store","params":{"Part":-1,"Records":[{"Key":"","Value":"!"}]},"id":1}` + "\n",
	`{"jsonrpc":"2.0","method":"Relieve","params":{"Share":"x"},"id":{}}` + "\n", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: \x01\xff\r\n\r\n", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
}

// sendMalformed sends bytes to a listener, reads the answer for up to 200 ms, and disconnects.
func (s *soak) sendMalformed(addr, text string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return // the process is being replaced
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
	_, _ = io.WriteString(c, text) // the process may exit in the meantime
	_, _ = io.Copy(io.Discard, c)
}

// clearFaults ends all faults.
func (s *soak) clearFaults() {
	s.ended.Store(true)
	s.plat.SetLateStarts(0)
	s.plat.Log.SetFaults(false, 0)
	s.plat.Log.ClearPartsDown()
	s.setDisturbed(logSource, false)
	s.setDisturbed(topicSource, false)
	for i := range s.plat.MachineCount() {
		s.plat.RenewEntry(i)
	}
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.store.fault.Store(int32(healthy))
		e.store.reset()
		s.setDisturbed(e.name, false)
		s.setDisturbed(e.store.addr(), false)
	}
	for _, v := range s.listVMProxies() {
		v.fault.Store(int32(healthy))
		v.reset()
	}
}
