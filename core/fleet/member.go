package fleet

import (
	"fmt"
	"slices"
	"strconv"
)

// EndedProcess identifies the last process on a VM that is no longer a member.
type EndedProcess struct {
	Epoch  int64 // start of the process, a Unix time in milliseconds
	Offset int64 // of the record that ended it
}

// Departure is a fenced voting member that still counts towards the size of its region's group.
// An isolated entry that has not folded the fence counts the member too. The member stops counting
// when more than half of the others have acknowledged the fence. The group that an isolated entry
// counts and the group that evicts this entry therefore overlap.
type Departure struct {
	Member string
	Region string
	Offset int64 // of the Fence record
}

// Suspicion is an accepted Suspect record. An Ack of the target through Offset or later withdraws it.
type Suspicion struct {
	Target string
	By     string
	Offset int64
}

// MemberID returns the ID of the process that started on a VM at epoch, a Unix time in milliseconds.
func MemberID(vm string, epoch int64) string { return vm + "#" + strconv.FormatInt(epoch, 10) }

func (s *State) join(r Record) error {
	m := r.Join.Member
	if m.VM == "" || m.ID != MemberID(m.VM, m.Epoch) {
		return fmt.Errorf("member ID %q is not the VM %q and epoch %d", m.ID, m.VM, m.Epoch)
	}
	if e, ok := s.Ended[m.VM]; ok && m.Epoch <= e.Epoch {
		return fmt.Errorf("epoch %d of VM %q is not above %d of its last process", m.Epoch, m.VM, e.Epoch)
	}
	if old := s.memberOnVM(m.VM); old != nil {
		if m.Epoch <= old.Epoch {
			return fmt.Errorf("epoch %d of VM %q is not above %d of its present member", m.Epoch, m.VM, old.Epoch)
		}
		s.recordLoss(old, r)
		s.endMember(old, r, false)
	}
	m.Phase, m.Voting = MemberLive, false
	m.Joined, m.Through, m.Evicted = s.Offset, -1, 0
	s.Members[m.ID] = &m
	s.updateVotes(m.Region)
	return nil
}

func (s *State) suspect(r Record) error {
	by, target := s.Members[r.Suspect.By], s.Members[r.Suspect.Target]
	switch {
	case r.Writer != r.Suspect.By:
		return fmt.Errorf("writer %q suspects in the name of %q", r.Writer, r.Suspect.By)
	case by == nil || by.Phase != MemberLive:
		return fmt.Errorf("member %q is not live", r.Suspect.By)
	case target == nil || target.Phase != MemberLive:
		return fmt.Errorf("target %q is not a live member", r.Suspect.Target)
	case by == target:
		return fmt.Errorf("member %q suspects itself", by.ID)
	case by.Region != target.Region:
		return fmt.Errorf("member %q is in region %q, the target in %q", by.ID, by.Region, target.Region)
	case s.HasSuspicion(by.ID, target.ID):
		return fmt.Errorf("member %q already suspects %q", by.ID, target.ID)
	}
	s.Suspicions = append(s.Suspicions, Suspicion{target.ID, by.ID, s.Offset})
	return nil
}

// HasSuspicion reports whether by suspects target and the target has not withdrawn the suspicion by an Ack.
func (s *State) HasSuspicion(by, target string) bool {
	return slices.ContainsFunc(s.Suspicions, func(p Suspicion) bool { return p.By == by && p.Target == target })
}

func (s *State) evict(e Evict) error {
	target := s.Members[e.Target]
	if target == nil || target.Phase != MemberLive {
		return fmt.Errorf("target %q is not a live member", e.Target)
	}
	if err := s.checkSuspects(target); err != nil && !e.VMGone {
		return err
	}
	target.Phase, target.Evicted = MemberEvicted, s.Offset
	return nil
}

// CanEvict reports whether an Evict of the target because of suspicions would be accepted.
// If not, it returns the reason.
func (s *State) CanEvict(target string) (bool, string) {
	m := s.Members[target]
	if m == nil || m.Phase != MemberLive {
		return false, fmt.Sprintf("target %q is not a live member", target)
	}
	if err := s.checkSuspects(m); err != nil {
		return false, err.Error()
	}
	return true, ""
}

// checkSuspects returns an error unless at least half of the target's group suspects it.
// Suspicions of evicted members do not count, so that two halves of a group cannot evict each other.
func (s *State) checkSuspects(target *Member) error {
	n := 0
	for _, p := range s.Suspicions {
		by := s.Members[p.By]
		if p.Target == target.ID && by != nil && by.Voting && by.Phase == MemberLive {
			n++
		}
	}
	if size := s.GroupSize(target.Region); 2*n < size || n == 0 {
		return fmt.Errorf("%d of %d voting members suspect %q, at least half are needed", n, size, target.ID)
	}
	return nil
}

func (s *State) fence(r Record) error {
	target := s.Members[r.Fence.Target]
	if target == nil || target.Phase != MemberEvicted {
		return fmt.Errorf("target %q is not an evicted member", r.Fence.Target)
	}
	if target.Evicted != r.Fence.EvictOffset {
		return fmt.Errorf("target %q was evicted at offset %d, not %d", target.ID, target.Evicted, r.Fence.EvictOffset)
	}
	s.recordLoss(target, r)
	s.endMember(target, r, true)
	return nil
}

func (s *State) leave(r Record) error {
	m := s.Members[r.Leave.Member]
	switch {
	case r.Writer != r.Leave.Member:
		return fmt.Errorf("writer %q leaves in the name of %q", r.Writer, r.Leave.Member)
	case m == nil:
		return fmt.Errorf("%q is not a member", r.Leave.Member)
	}
	s.endMember(m, r, false)
	return nil
}

// maxLosses bounds the stored losses. Readers only distinguish none, one and several losses
// within a few minutes.
const maxLosses = 32

// recordLoss records that a member ended without a graceful Leave.
func (s *State) recordLoss(m *Member, r Record) {
	s.Losses = append(s.Losses, Loss{Member: m.ID, Region: m.Region, Offset: s.Offset, At: r.At.UTC().Round(0)})
	if len(s.Losses) > maxLosses {
		s.Losses = s.Losses[1:]
	}
}

// endMember removes a member. A process that left or was replaced no longer runs and makes no further
// promises. A fenced process may still make promises, so its vote stays counted.
func (s *State) endMember(m *Member, r Record, fenced bool) {
	delete(s.Members, m.ID)
	s.Ended[m.VM] = EndedProcess{m.Epoch, s.Offset}
	s.Suspicions = slices.DeleteFunc(s.Suspicions, func(p Suspicion) bool { return p.By == m.ID || p.Target == m.ID })
	if fenced && m.Voting {
		s.Unsettled = append(s.Unsettled, Departure{m.ID, m.Region, s.Offset})
	}
	s.releaseJobs(m.ID)
	s.updateVotes(m.Region)
	s.completeDrains(m.Region, r)
}

func (s *State) ack(r Record) error {
	a := *r.Ack
	m := s.Members[a.Member]
	switch {
	case r.Writer != a.Member:
		return fmt.Errorf("writer %q acknowledges in the name of %q", r.Writer, a.Member)
	case m == nil:
		return fmt.Errorf("%q is not a member", a.Member)
	case a.Through >= s.Offset:
		return fmt.Errorf("acknowledges offset %d, which was not yet written", a.Through)
	case a.Through < m.Joined:
		return fmt.Errorf("acknowledges offset %d, before its own join at %d", a.Through, m.Joined)
	}
	m.Through = max(m.Through, a.Through)
	s.Suspicions = slices.DeleteFunc(s.Suspicions, func(p Suspicion) bool { return p.Target == m.ID && p.Offset <= a.Through })
	for _, v := range a.VMs {
		s.ackVM(m, a.Through, v, r)
	}
	s.updateVotes(m.Region)
	return nil
}

// ackVM records the member's acknowledgement of a drain. It ignores the acknowledgement
// if the generation of the VM has changed, because it then belongs to an older drain.
func (s *State) ackVM(m *Member, through int64, v VMGen, r Record) {
	vm := s.VMs[v.VM]
	if vm == nil || vm.Phase != Draining || vm.Gen != v.Gen || through < vm.Gen || vm.Region != m.Region {
		return
	}
	vm.Acked = insertSorted(vm.Acked, m.ID)
	s.completeDrain(vm, r)
}

// updateVotes gives votes to new members and removes departures as far as the
// acknowledgements allow. It repeats this because each change may allow another one.
func (s *State) updateVotes(region string) {
	if len(s.Voters(region)) == 0 {
		s.Unsettled = slices.DeleteFunc(s.Unsettled, func(d Departure) bool { return d.Region == region })
		for _, id := range s.LiveMembers(region) {
			s.Members[id].Voting = true
		}
		return
	}
	for s.settleDeparture(region) || s.promoteMember(region) {
	}
}

func (s *State) settleDeparture(region string) bool {
	for i, d := range s.Unsettled {
		if d.Region == region && 2*s.countAcks(region, d.Offset) > s.GroupSize(region)-1 {
			s.Unsettled = slices.Delete(s.Unsettled, i, i+1)
			return true
		}
	}
	return false
}

func (s *State) promoteMember(region string) bool {
	for _, id := range s.LiveMembers(region) {
		m := s.Members[id]
		if !m.Voting && 2*s.countAcks(region, m.Joined) > s.GroupSize(region) {
			m.Voting = true
			return true
		}
	}
	return false
}

// countAcks returns the number of voting members of the region that acknowledged the offset.
func (s *State) countAcks(region string, offset int64) int {
	n := 0
	for _, m := range s.Members {
		if m.Region == region && m.Voting && m.Through >= offset {
			n++
		}
	}
	return n
}

func (s *State) memberOnVM(vm string) *Member {
	for _, m := range s.Members {
		if m.VM == vm {
			return m
		}
	}
	return nil
}

// Voters returns the IDs of the voting members of a region that are not fenced, sorted.
func (s *State) Voters(region string) []string {
	return s.selectMembers(func(m *Member) bool { return m.Region == region && m.Voting })
}

// PendingVoters returns the IDs of the live members of a region that do not vote yet, sorted.
func (s *State) PendingVoters(region string) []string {
	return s.selectMembers(func(m *Member) bool {
		return m.Region == region && m.Phase == MemberLive && !m.Voting
	})
}

// GroupSize returns the number of votes in a region. Promises and evictions need a majority or half of
// this number. Fenced members count until their departure is removed from Unsettled.
func (s *State) GroupSize(region string) int {
	n := 0
	for _, m := range s.Members {
		if m.Region == region && m.Voting {
			n++
		}
	}
	for _, d := range s.Unsettled {
		if d.Region == region {
			n++
		}
	}
	return n
}

// LiveMembers returns the IDs of the members of a region that are not evicted, sorted.
func (s *State) LiveMembers(region string) []string {
	return s.selectMembers(func(m *Member) bool { return m.Region == region && m.Phase == MemberLive })
}

func (s *State) selectMembers(keep func(*Member) bool) []string {
	var ids []string
	for _, id := range sortedKeys(s.Members) {
		if keep(s.Members[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// AckDue reports whether an Ack of the member would change the state. That is so if a join or a fence
// that the member did not acknowledge waits for votes, or if the member is suspected.
// DrainsToAck returns the drains that wait for an Ack.
func (s *State) AckDue(member string) bool {
	m := s.Members[member]
	if m == nil {
		return false
	}
	for _, o := range s.Members {
		if o.Region == m.Region && !o.Voting && m.Through < o.Joined {
			return true
		}
	}
	return slices.ContainsFunc(s.Unsettled, func(d Departure) bool { return d.Region == m.Region && m.Through < d.Offset }) ||
		slices.ContainsFunc(s.Suspicions, func(p Suspicion) bool { return p.Target == m.ID })
}
