package daemon

func (d *Daemon) listLeaving() []string  { return nil }
func (d *Daemon) setClaimMembers(v view) {}
